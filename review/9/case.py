"""One client prepares, executes and deallocates one large statement after the other; the entry processes keep all of
their texts and outgrow the memory of their machines."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from fleet import BROKEN, HELD, TROUBLE, Caller, CouldNotRun, Platform, Service, play, succeeded  # noqa: E402

MEMORY_MB = 260  # limits.memoryMb of the front machines of the small deployments
SHAPE_BYTES = 1_040_000  # a message is 1 MiB at most
ROUNDS = 256  # statements that the client prepares in one session at most
MACHINES = 2
ENDS = 3
RESTART_S = 0.5
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-1", "dbName": "booking", "pathPrefix": "/", "kind": "primary", "timeoutMs": 1000,
                "targetLatencyMs": 250, "priority": 1, "service": "svc", "maxAttempts": 2}],
    "services": [{"name": "svc", "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
}


def resident_mb(process):
    """Memory that a process of this test uses."""
    with open(f"/proc/{process.child.pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024


async def prepare_many(fleet, record, process, shape_bytes):
    """A session of the client; it always waits for the answer before it sends the next statement."""
    caller = Caller(fleet, process.address, "booking")
    most = 0.0
    try:
        if await caller.open() != "READY I -":
            return most
        for number in range(ROUNDS):
            shape = f"{number}-".ljust(shape_bytes, "x")
            for text in (f"PREPARE s1 READ {shape}", "EXECUTE s1 a", "DEALLOC s1"):
                if not succeeded((await caller.execute(text))[1]):
                    record(f"client: '{text[:20]}' did not succeed")
                    return most
            most = max(most, resident_mb(process))
            if most > MEMORY_MB:
                record(f"{process.name} uses {most:.0f} MB after {number + 1} statements, more than {MEMORY_MB} MB")
                return most
        record(f"{process.name} uses {most:.0f} MB at most after {ROUNDS} statements")
        return most
    finally:
        caller.close()


async def main(fleet, record):
    service = Service(fleet, "svc", 3)
    await service.start()
    platform = Platform(fleet, [service])
    await platform.start()
    await fleet.start(CONFIGURATION)
    await fleet.until_writing("booking")
    ends = {}
    for _ in range(ENDS):
        for process in fleet.processes[3:3 + MACHINES]:
            if await prepare_many(fleet, record, process, SHAPE_BYTES if TROUBLE else 1000) <= MEMORY_MB:
                continue
            # "A process that uses more than memoryMb is killed", and is "restarted after a short delay" (DEPLOY.md).
            ends[process.name] = ends.get(process.name, 0) + 1
            record(f"platform: kills {process.name}, for the {ends[process.name]}. time")
            process.signal(signal.SIGKILL)
            await process.child.wait()
            await asyncio.sleep(RESTART_S)
            await process.start()
            await fleet.until(lambda: fleet.is_ready(process.address), 15, "the process did not come back")
            await fleet.until_writing("booking")
    record(f"ends for want of memory: {ends}")
    broken = sum(1 for count in ends.values() if count >= ENDS) >= MACHINES
    return BROKEN if broken else HELD


play(main, FOLDER)
