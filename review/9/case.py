"""A backend server fails part of its requests; statements run with the session values of another client.

First under load, when the clients share connections; then with connections that are checked while they are idle.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from fleet import BROKEN, HELD, TROUBLE, Caller, CouldNotRun, Platform, Service, play, succeeded  # noqa: E402

FAILING_SHARE = 0.4  # the default x of srv_grey; 0.45 in grown/nilerack-pool-grown.toml
FOR_S = 6.0  # 6.5 in that site file
CLIENTS = 12  # for each entry host
ENTRIES = 7  # as on haddow-hire
QUIET_S = 12.0  # without any client; idle connections are checked after 15 s
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-1", "dbName": "booking", "pathPrefix": "/", "kind": "primary", "timeoutMs": 1000,
                "targetLatencyMs": 250, "priority": 1, "service": "svc", "maxAttempts": 2}],
    "services": [{"name": name, "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0} for name in ("svc", "other", "third")],
    "limits": {"txIdleMs": 3000},
}


async def work(fleet, host, depot, stop, depot_of, kept):
    """A client that sets a value, unless it has none, and then writes, one statement after the other."""
    while not stop.is_set():
        caller = Caller(fleet, host, "booking")
        try:
            if await caller.open() != "READY I -":
                await asyncio.sleep(0.1)
                continue
            if depot is not None and not succeeded((await caller.execute(f"SET depot {depot}"))[1]):
                continue
            while not stop.is_set():
                query = Caller.next_id()
                depot_of[query] = depot
                caller.send(f"WRITE stock-{depot} minus-one", query)
                lines = await caller.answer(query)
                if succeeded(lines):
                    kept.add(query)
                if lines[-1] == "closed":
                    break
                await asyncio.sleep(0.02)
        except OSError:
            await asyncio.sleep(0.1)
        finally:
            caller.close()


async def main(fleet, record):
    # Three services of three servers, as on the small deployments; one server of nine fails.
    services = [Service(fleet, name, 3) for name in ("svc", "other", "third")]
    service = services[0]
    for each in services:
        await each.start()
    platform = Platform(fleet, services)
    await platform.start()
    await fleet.start(CONFIGURATION)
    await fleet.until_writing("booking")
    depot_of, kept, wrong, runs = {}, set(), [], 0

    def check(session, query):
        nonlocal runs
        if query not in depot_of:
            return
        runs += 1
        if session.values.get("depot") != depot_of[query]:
            wrong.append(query)
            record(f"PINNED: {query} runs with depot={session.values.get('depot')}; its client has set "
                   f"depot={depot_of[query]}, and that was acknowledged")

    for server in service.servers:
        server.on_run = check
    async def load(depots, seconds, failing_from=None):
        """Runs the clients of each entry host; the primary fails requests from a time on for FOR_S seconds."""
        stop = asyncio.Event()
        clients = [asyncio.create_task(work(fleet, host, depot, stop, depot_of, kept))
                   for depot in depots for host in fleet.entry_hosts]
        if failing_from is not None:
            await asyncio.sleep(failing_from)
            if runs < 100 or wrong:
                raise CouldNotRun(f"before the disruption {runs} writes ran, {len(wrong)} of them with wrong values")
            await fail_requests()
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(*clients)

    async def fail_requests():
        failing = service.primary
        if TROUBLE:
            record(f"disruption: {failing.id} fails {FAILING_SHARE} of its requests for {FOR_S} s")
            failing.failing_share = FAILING_SHARE
        await asyncio.sleep(FOR_S)
        failing.failing_share = 0.0
        record("end of the disruption")

    await load([f"d{number}" for number in range(CLIENTS)], 2, failing_from=3)
    under_load = list(wrong)
    await load(["last"], 1)
    await asyncio.sleep(QUIET_S)
    await fail_requests()
    await load([None, None], 3)
    after_quiet = wrong[len(under_load):]
    committed = {query for _, entry in fleet.commits for query in entry[4]}
    for when, each in (("while the server failed requests under load", under_load),
                       ("of clients that came after it, to connections that had been idle", after_quiet)):
        record(f"{when}: {len(each)} of {runs} writes ran with the values of another client or without their own; "
               f"{sum(query in committed for query in each)} of these were committed, and "
               f"{sum(query in kept for query in each)} acknowledged to their clients")
    return BROKEN if wrong else HELD


play(main, FOLDER, entries=ENTRIES)
