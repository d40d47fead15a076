"""Two control hosts are replaced as planned, one shortly after the other; the control log has no quorum any more.

VARIANT=disk replaces one control host only; another one loses its disk shortly afterwards.
"""
import asyncio
import json
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from fleet import (BROKEN, HELD, TROUBLE, Caller, CouldNotRun, Platform, Service, http, play,  # noqa: E402
                   succeeded)

CATCH_UP_S = 4  # bounds.catchUpS of the small deployments
SUCCESSOR_AHEAD_S = 10  # the successors run for more than twice that time before an old host gets SIGTERM
# From the end of the first old host to the SIGTERM of the second one, or to the loss of a disk.
GAP_S = float(os.environ.get("GAP", "2.5" if TROUBLE else "10"))
VARIANT = os.environ.get("VARIANT", "planned")
DOWN_S = 1.0  # how long the host that loses its disk is down
RECOVERY_S = 12  # bounds.recoveryS
READ_S = 10  # more than twice contactMs
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-1", "dbName": "booking", "pathPrefix": "/", "kind": "primary", "timeoutMs": 1000,
                "targetLatencyMs": 250, "priority": 1, "service": "svc", "maxAttempts": 2}],
    "services": [{"name": "svc", "healthPath": "/health", "maxConns": 36, "protocol": "h1", "tls": False,
                  "syncReplicas": 0}],
    "limits": {"txIdleMs": 3000},
}


async def read_back(fleet, record, seconds):
    """Asks all control hosts for the configuration; returns the version that came, or None."""
    end = time.monotonic() + seconds
    answers = {}
    while time.monotonic() < end:
        for host in fleet.control_hosts:
            status, body = await http(host, fleet.control, "GET", "/config/read")
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                record(f"operator: reads version {json.loads(body)['version']} from {host}")
                return json.loads(body)["version"]
        await asyncio.sleep(0.2)
    record(f"operator: read for {seconds} s, answers by status (0: none): {answers}")
    return None


async def write_once(fleet, seconds):
    """True if a write is acknowledged at some entry host in this time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for host in fleet.entry_hosts:
            caller = Caller(fleet, host, "booking")
            try:
                if await caller.open() == "READY I -" and succeeded((await caller.execute("WRITE a one"))[1]):
                    return True
            except OSError:
                pass
            finally:
                caller.close()
        await asyncio.sleep(0.3)
    return False


async def remove(fleet, record, process):
    """Stops a control host for good."""
    record(f"planned: {process.name} gets SIGTERM and is removed")
    process.signal(signal.SIGTERM)
    await process.wait(fleet.grace_s)
    record(f"planned: {process.name} has ended with status {process.child.returncode}")
    fleet.control_hosts.remove(process.address)


async def lose_disk(fleet, record):
    """A control host dies and is back at its address with an empty disk."""
    lost = fleet.processes[0]
    record(f"disruption: {lost.name} loses its disk")
    lost.signal(signal.SIGKILL)
    await lost.child.wait()
    shutil.rmtree(os.path.join(fleet.folder, lost.name))
    await asyncio.sleep(DOWN_S)
    fleet.processes[0] = fleet.process("control", 0, bootstrap=False)
    await fleet.processes[0].start()
    record(f"{lost.name} is back at its address with an empty disk")


async def main(fleet, record):
    service = Service(fleet, "svc", 3)
    await service.start()
    platform = Platform(fleet, [service])
    await platform.start()
    await fleet.start(CONFIGURATION)
    record("operator: version 7 is acknowledged")
    if await read_back(fleet, record, 5) != 7 or not await write_once(fleet, 5):
        raise CouldNotRun("the deployment does not work before the disruption")
    await asyncio.sleep(CATCH_UP_S)

    # The new hosts first.
    for number in (3, 4) if VARIANT == "planned" else (3,):
        successor = fleet.process("control", number, bootstrap=False)
        fleet.control_hosts.append(successor.address)
        fleet.processes.append(successor)
        await successor.start()
        record(f"planned: {successor.name} starts with an empty disk")
    await asyncio.sleep(SUCCESSOR_AHEAD_S)
    await remove(fleet, record, fleet.processes[2])
    await asyncio.sleep(GAP_S)
    if VARIANT == "planned":
        await remove(fleet, record, fleet.processes[1])
    elif TROUBLE:
        await lose_disk(fleet, record)
    await asyncio.sleep(CATCH_UP_S + RECOVERY_S)

    version = await read_back(fleet, record, READ_S)
    serves = await write_once(fleet, READ_S)
    record(f"{CATCH_UP_S + RECOVERY_S} s after the last change: the configuration read back is {version}; "
           f"a write is {'acknowledged' if serves else 'not acknowledged at any entry host'}")
    if version != 7:
        record("CONFIG: read back at the end, the acknowledged configuration does not come")
    return HELD if version == 7 else BROKEN


play(main, FOLDER)
