"""Stand-ins for the scripts of the second review: backend servers, the platform, the operator and callers.

They follow PROTOCOL.md and DEPLOY.md. Everything runs on loopback addresses, in one asyncio loop; the project's own
programs are started as separate processes with the commands of deploy/system.toml and the templates of deploy/.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# Settings templates, as DEPLOY.md describes them.

def look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def show(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(show(each) for each in value)
    return str(value)


def render(text, fields):
    def section(match):
        value = look_up(fields, match.group(1))
        if value in (None, False):
            return ""
        return render(match.group(2).replace("{{.}}", show(value)), fields)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: show(look_up(fields, match.group(1))), text)


def free_ports(addresses, count):
    """Ports that are free on all addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 30000)
        if port in ports:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        ports.append(port)
    return ports


class Process:
    """One of the project's processes."""

    def __init__(self, name, address, role, settings, environment, log):
        self.name, self.address, self.role = name, address, role
        self.settings, self.environment, self.log = settings, environment, log
        self.child = None

    async def start(self):
        self.child = await asyncio.create_subprocess_exec(
            *self.role["run"].split(), cwd=REPOSITORY, stdin=asyncio.subprocess.DEVNULL,
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT,
            env={**self.environment, "RAGWORTMUX_CONFIG": self.settings})

    def signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def wait(self, timeout):
        await asyncio.wait_for(self.child.wait(), timeout)
        return self.child.returncode


class Fleet:
    """The processes of a small deployment and everything around them."""

    def __init__(self, record, entries=3, controls=3, grace_s=6, heartbeat_ms=1200):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="rwm-review-")
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
        self.heartbeat_s = heartbeat_ms / 1000
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.entry_hosts = [self.net + str(10 + number) for number in range(entries)]
        self.control_hosts = [self.net + str(50 + number) for number in range(controls)]
        self.seeds = list(self.control_hosts[:3])
        self.platform_host = self.net + "90"
        hosts = self.entry_hosts + self.control_hosts
        self.front, self.ready, self.control, self.internal = free_ports(hosts, 4)
        if not all(self.is_free(host, 9464) for host in hosts):
            raise CouldNotRun("port 9464 is in use")
        self.platform_port = free_ports([self.platform_host], 1)[0]
        self.grace_s = grace_s
        self.processes = []
        self.servers = []
        self.commits = []  # (id of the server, log entry)
        self.alone = set()  # ids of the writes that ran outside of a transaction
        self.tasks = []
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        program = os.path.join(REPOSITORY, self.roles["entry"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CouldNotRun(f"{program} is not built")

    @staticmethod
    def is_free(host, port):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
        return True

    def process(self, role, number, bootstrap=True):
        host = self.net + str((10 if role == "entry" else 50) + number)
        name = f"{role}-{number}"
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        fields = {
            "nodeName": name, "ip": host, "zone": self.zones[number % len(self.zones)],
            "listen": {"front": f"{host}:{self.front}", "readyAddr": f"{host}:{self.ready}",
                       "control": f"{host}:{self.control}"},
            "internalPorts": [self.internal, self.internal + 1],
            "seeds": [f"{each}:{self.control}" for each in self.seeds],
            "bootstrap": bootstrap, "dataDir": data if role == "control" else "",
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"graceS": self.grace_s},
            "cloudApi": {"address": f"{self.platform_host}:{self.platform_port}"},
        }
        settings = os.path.join(self.folder, name + ".settings")
        with open(os.path.join(REPOSITORY, self.roles[role]["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder, "LANG": "C", **self.roles[role].get("env", {})}
        return Process(name, host, self.roles[role], settings, environment, os.path.join(self.folder, name + ".log"))

    async def start(self, configuration):
        """Starts all processes and waits until the configuration is accepted and all entry hosts are ready."""
        for number in range(len(self.control_hosts)):
            self.processes.append(self.process("control", number))
        for number in range(len(self.entry_hosts)):
            self.processes.append(self.process("entry", number))
        for process in self.processes:
            await process.start()
        for server in self.servers:
            self.tasks.append(asyncio.create_task(server.beat()))
        await self.until(lambda: self.replace(configuration), 30, "the configuration was not accepted")
        for host in self.entry_hosts:
            await self.until(lambda: self.is_ready(host), 30, f"{host} did not get ready")

    async def until_writing(self, database):
        """Waits until every entry host acknowledges a write."""
        for host in self.entry_hosts:
            await self.until(lambda: self.writes(host, database), 20, f"{host} serves no writes")

    async def writes(self, host, database):
        caller = Caller(self, host, database)
        try:
            return await caller.open() == "READY I -" and succeeded((await caller.execute("WRITE probe one"))[1])
        except OSError:
            return False
        finally:
            caller.close()

    async def is_ready(self, host):
        status, _ = await http(host, self.ready, "GET", "/ready")
        return status == 200

    async def replace(self, configuration):
        host = random.choice(self.control_hosts)
        status, _ = await http(host, self.control, "POST", "/config/replace", json.dumps(configuration))
        return status == 200

    async def until(self, condition, seconds, failure):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(failure)

    async def stop(self):
        """Ends all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.child is not None:
                await process.child.wait()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(host, port, method, path, body="", headers=(), timeout=1.0):
    """One call; returns the status and the body, or (0, "") without a clear answer."""
    async def call():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers)
            writer.write(f"{head}Content-Length: {len(body.encode())}\r\nConnection: close\r\n\r\n{body}".encode())
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            return status, (await reader.readexactly(length)).decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, ""


class Service:
    """A database of one primary and its replicas: the log of each, terms and promotions."""

    def __init__(self, fleet, name, count, lag_s=0.02, promote_s=0.3, slots=5, work_s=0.005):
        self.fleet, self.name, self.lag_s, self.promote_s = fleet, name, lag_s, promote_s
        self.slots, self.work_s = slots, work_s
        self.term = 1
        self.promotions = []  # (time of the effect, id, term)
        first = 130 + len(fleet.servers)
        self.servers = [Server(self, f"i-{name}{number}", fleet.net + str(first + number),
                               fleet.zones[number % 3]) for number in range(count)]
        self.servers[0].lead(1)
        fleet.servers += self.servers

    @property
    def primary(self):
        return max((each for each in self.servers if each.is_primary), key=lambda each: each.term, default=None)

    def find(self, server_id):
        return next((each for each in self.servers if each.id == server_id), None)

    async def start(self):
        for server in self.servers:
            await server.listen()

    async def replicate(self, source, entry):
        await asyncio.sleep(self.lag_s)
        for server in self.servers:
            follows = server is not source and server.is_alive and not server.is_primary
            if follows and server.term == source.term and len(server.log) == entry[1] - 1:
                server.log.append(entry)

    async def promote(self, server):
        """Some hundred ms after the call the server leads the next term with what it has received."""
        await asyncio.sleep(self.promote_s)
        if server.is_primary and server.term == self.term:
            return
        old = self.primary
        self.term += 1
        server.lead(self.term)
        self.promotions.append((time.monotonic(), server.id, self.term))
        self.fleet.record(f"platform: {server.id} leads term {self.term} from number {len(server.log)}")
        for other in self.servers:
            if other is server or other is old:
                continue
            other.follow(server)
        if old is not None and old is not server:
            # It reaches the new primary, so it goes on for a second at most.
            await asyncio.sleep(1.0)
            if old.term < self.term:
                old.follow(self.primary)


class Server:
    """A backend server."""

    def __init__(self, service, server_id, host, zone):
        self.service, self.id, self.host, self.zone = service, server_id, host, zone
        self.fleet = service.fleet
        self.port = free_ports([host], 1)[0]
        self.born = int(time.time() * 1000)
        self.term, self.log = 1, []
        self.is_primary, self.is_alive, self.is_draining, self.is_dark = False, True, False, False
        self.sequence, self.busy = 0, 0
        self.failing_share = 0.0  # part of its requests that the server fails while it looks well
        self.on_run = None  # called with the session and the id of each read and write that runs
        self.writers = set()
        self.listener = None
        self.beat_now = asyncio.Event()

    def lead(self, term):
        self.is_primary, self.term = True, term
        self.beat_now.set()

    def follow(self, primary):
        # What it had beyond the new primary is rolled back.
        self.is_primary, self.term = False, primary.term
        self.log = list(primary.log)
        self.beat_now.set()

    @property
    def position(self):
        return self.term, len(self.log)

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, limit=4 << 20)

    def close(self):
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.close()

    def crash(self):
        """Ends the server; its connections are reset and its port refuses."""
        self.is_alive = self.is_primary = False
        self.fleet.record(f"{self.id}: crashes")
        self.close()

    def go_dark(self):
        """The server runs no more and answers nothing; its connections stay open and silent."""
        self.is_alive = self.is_primary = False
        self.is_dark = True
        self.fleet.record(f"{self.id}: goes dark")

    async def beat(self):
        while self.is_alive:
            self.beat_now.clear()
            await self.announce()
            try:
                await asyncio.wait_for(self.beat_now.wait(), self.fleet.heartbeat_s)
            except asyncio.TimeoutError:
                pass

    async def announce(self):
        self.sequence += 1
        body = {"service": self.service.name, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.service.slots, "state": "draining" if self.is_draining else "ready",
                "coldRemainingMs": 0, "dbRole": "primary" if self.is_primary else "replica",
                "sequence": self.sequence, "born": self.born}
        hosts = random.sample(self.fleet.control_hosts, len(self.fleet.control_hosts))
        for host in hosts:
            status, _ = await http(host, self.fleet.control, "POST", f"/instances/{self.id}/heartbeat",
                                   json.dumps(body))
            if 200 <= status < 300:
                return True
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session()
        try:
            if self.is_dark:
                await asyncio.sleep(3600)
            words = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1").split(" ")
            if words[0] != "STARTUP" or words[1] != self.service.name or words[3:4] not in ([], [self.id]):
                writer.write(f"ERROR MISROUTED {self.id}\r\n".encode("latin-1"))
                return
            writer.write(self.ready(session))
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                word, _, rest = line.partition(" ")
                if self.is_dark:
                    await asyncio.sleep(3600)
                if word != "QUERY" or not self.is_alive:
                    return
                query, _, text = rest.partition(" ")
                answer = await self.run(session, query, text)
                if self.is_dark:
                    await asyncio.sleep(3600)
                if answer is None:
                    return
                writer.write(answer.encode("latin-1") + self.ready(session))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def ready(self, session):
        return f"READY {session.state} {self.term}.{len(self.log)}\r\n".encode("latin-1")

    async def run(self, session, query, text):
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            point, _, text = rest.partition(" ")
            if tuple(int(part) for part in point.split(".")) > self.position:
                return "ERROR LAGGING behind\r\n"
            word, _, rest = text.partition(" ")
        if word in ("READ", "WRITE", "COMMIT", "EXECUTE", "STATUS"):
            if self.busy >= self.service.slots:
                return "ERROR BUSY\r\n"
            self.busy += 1
            try:
                await asyncio.sleep(self.service.work_s)
                if self.is_dark:
                    await asyncio.sleep(3600)
                return self.apply(session, query, word, rest)
            finally:
                self.busy -= 1
        return self.apply(session, query, word, rest)

    def apply(self, session, query, word, rest):
        if random.random() < self.failing_share:
            return "ERROR FAILED internal error\r\n"
        if self.on_run is not None and word in ("READ", "WRITE", "EXECUTE"):
            self.on_run(session, query)
        signed = f"COMPLETE {self.id}.{query}\r\n"
        plain = "COMPLETE -\r\n"
        if word == "STATUS":
            role = "primary" if self.is_primary else "replica"
            return f"ROW {role} {self.term} {self.term}.{len(self.log)} 0 {self.busy} {len(self.writers)} 0\r\n{plain}"
        if word == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
            return plain
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            session.prepared[name] = shape
            return plain
        if word == "DISCARD":
            session.values, session.prepared = {}, {}
            return plain
        if word == "ROLLBACK":
            session.end()
            return plain
        if session.state == "E" and word != "COMMIT":
            return "ERROR MALFORMED the transaction failed\r\n"
        if word == "BEGIN":
            if rest != "READ" and not self.is_primary:
                return f"ERROR READONLY {self.id}\r\n"
            session.state, session.is_plain = "T", rest != "READ"
            return plain
        wrote_nothing = word == "COMMIT" and not session.writes
        if session.state == "T" and session.is_plain and not self.is_primary and not wrote_nothing:
            session.state = "I" if word == "COMMIT" else "E"
            session.writes = []
            return f"ERROR READONLY {self.id}\r\n"
        if word == "COMMIT":
            failed, writes = session.state == "E", session.writes
            session.end()
            if failed:
                return "ERROR ABORTED rolled back\r\n"
            self.commit(writes)
            return signed
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in session.prepared:
                return "ERROR NOSTMT\r\n"
            word, rest = session.prepared[name].split(" ")[0], arguments
        if word == "READ":
            value = next((each[3] for each in reversed(self.log) if each[2] == rest), "")
            self.fleet.record(f"{self.id}: runs {query} READ {rest} at {self.term}.{len(self.log)}")
            return f"ROW {value}\r\n{signed}"
        if word == "WRITE":
            if not self.is_primary:
                return f"ERROR READONLY {self.id}\r\n"
            item, _, data = rest.partition(" ")
            where = "in a transaction" if session.state == "T" else "alone"
            self.fleet.record(f"{self.id}: runs {query} WRITE {item} {data[:40]} {where}")
            if session.state == "T":
                session.writes.append((item, data, query))
            else:
                self.fleet.alone.add(query)
                self.commit([(item, data, query)])
            return signed
        return "ERROR MALFORMED\r\n"

    def commit(self, writes):
        if not writes:
            return
        entry = (self.term, len(self.log) + 1, writes[-1][0], writes[-1][1], [each[2] for each in writes],
                 time.monotonic())
        self.log.append(entry)
        self.fleet.record(f"{self.id}: commits {entry[0]}.{entry[1]} of {' '.join(entry[4])}")
        self.fleet.commits.append((self.id, entry))
        asyncio.ensure_future(self.service.replicate(self, entry))


class Session:
    """The state of a backend connection."""

    def __init__(self):
        self.state, self.is_plain = "I", False
        self.values, self.prepared, self.writes = {}, {}, []

    def end(self):
        self.state, self.writes = "I", []


class Platform:
    """Takes POST /promotion; answers and acts after a delay."""

    def __init__(self, fleet, services):
        self.fleet, self.services = fleet, {each.name: each for each in services}
        self.delay_s = 0.0
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.fleet.platform_host, self.fleet.platform_port)

    async def serve(self, reader, writer):
        try:
            await reader.readline()
            length, token = 0, ""
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                length = int(value) if name.lower() == "content-length" else length
                token = value.strip() if name == "Ragwortmux-Fencing-Token" else token
            body = json.loads(await reader.readexactly(length))
            self.fleet.record(f"platform: receives the order to promote {body['id']}, token {token}")
            await asyncio.sleep(self.delay_s)
            server = self.services[body["service"]].find(body["id"])
            status = 200 if server is not None and server.is_alive else 409
            self.fleet.record(f"platform: answers {status} to the order to promote {body['id']}, token {token}")
            if status == 200:
                asyncio.ensure_future(self.services[body["service"]].promote(server))
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Caller:
    """A session of a client."""

    last = 0

    def __init__(self, fleet, host, database):
        self.fleet, self.host, self.database = fleet, host, database
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.fleet.front, limit=4 << 20)
        self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
        return (await self.reader.readline()).decode().strip()

    @staticmethod
    def next_id():
        Caller.last += 1
        return f"q{Caller.last:06d}"

    def send(self, text, query=None):
        query = query or self.next_id()
        self.fleet.record(f"client: sends {query} {text[:60]}")
        self.writer.write(f"QUERY {query} {text}\r\n".encode("latin-1"))
        return query

    async def answer(self, query):
        """Returns the lines of the answer; fewer if the connection ended."""
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await self.reader.readline()
            if not line.endswith(b"\r\n"):
                lines.append("closed")
                break
            lines.append(line[:-2].decode("latin-1"))
        self.fleet.record(f"client: gets for {query} " + " | ".join(each[:50] for each in lines))
        return lines

    async def execute(self, text):
        query = self.send(text)
        return query, await self.answer(query)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def succeeded(lines):
    return len(lines) >= 2 and lines[-2].startswith("COMPLETE")


def play(main, folder, limit_s=110, entries=3):
    """Runs a case and exits with its result."""
    record = Record(folder)

    async def run():
        fleet = None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            fleet = Fleet(record, entries)
            return await asyncio.wait_for(main(fleet, record), limit_s)
        except (CouldNotRun, asyncio.CancelledError, asyncio.TimeoutError, OSError) as error:
            record(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            if fleet is not None:
                await fleet.stop()

    result = asyncio.run(run())
    record({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[result])
    sys.exit(result)
