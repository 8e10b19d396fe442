"""Case: a new process of a node crashes one second after it has taken over."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common.case import run_case  # noqa: E402
from common.discovery import Discovery, endpoint  # noqa: E402
from common.load import Clients  # noqa: E402
from common.platform import (  # noqa: E402
    CannotRunError,
    NodeProcess,
    Platform,
    request_class,
    settings,
)
from common.record import Record  # noqa: E402
from common.server import Server  # noqa: E402

SERVERS = 10
OUT = "s-0"  # the server that operators take out
RATE = 80.0  # requests a second
WORK_S = (0.03, 0.06)
TIMEOUT_MS = 6000
CRASH_AFTER_S = 1.0  # after taking over
HEALTH_INTERVAL_S = 2.0  # at which the platform asks a new process
YES_WITHIN_S = 6.0
LOG_INTERVAL_S = 0.02
KILL_AFTER_S = 3.7  # after SIGTERM
QUIET_S = 2.0  # between two steps
GRACE_S = 0.25 + 0.05  # of the rule on drains, with the slack of the rules on sockets
TAKEN_OVER = "node taken over from the predecessor"


async def scenario(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Take a server out, upgrade the node, and check that the server gets nothing more."""
    draw = random.Random(14)
    servers = [Server(f"s-{i}", record.add, draw, WORK_S) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [endpoint(server.name, server.port) for server in servers])
    await discovery.start()
    wanted = settings([request_class("look", "pure"), request_class("book", "side_effect")])
    platform.write_config(discovery.port, discovery.listing(), wanted)
    old = await platform.start(control=True)
    await platform.wait_until_ready()
    clients = Clients(record, platform.port)
    load = asyncio.create_task(send_load(clients, draw))
    await asyncio.sleep(QUIET_S)
    out = next(server for server in servers if server.name == OUT)
    if not out.runs:
        raise CannotRunError(f"{OUT} got no request before the call")
    told_at = await take_out(old, record)
    await asyncio.sleep(QUIET_S)
    new = await upgrade(platform, record, crash=trouble)
    if new is None:
        new = await upgrade(platform, record, crash=False)
    if new is None:
        raise CannotRunError("no new process of the node became healthy")
    await end(old, record)
    await asyncio.sleep(QUIET_S)
    load.cancel()
    return [
        f"{OUT} got {request_id} {came_at - told_at:.2f} s after it was taken out"
        for request_id, came_at in out.runs
        if came_at > told_at + GRACE_S
    ]


async def send_load(clients: Clients, draw: random.Random) -> None:
    """Send requests until cancelled."""
    tasks = []
    while True:
        body = draw.choice([None, b"x" * 200])
        name = "look" if body is None else "book"
        tasks.append(asyncio.create_task(clients.send(name, TIMEOUT_MS, body=body)))
        await asyncio.sleep(draw.expovariate(RATE))


async def take_out(node: NodeProcess, record: Record) -> float:
    """Have a node take the server out; return when it said yes."""
    answer = await node.call(f"OFFLINE {OUT}")
    told_at = record.add(f"operator: OFFLINE {OUT}: {answer}")
    if not answer.startswith("YES"):
        raise CannotRunError(f"the node did not take {OUT} out")
    return told_at


async def upgrade(platform: Platform, record: Record, *, crash: bool) -> NodeProcess | None:
    """Start a new process beside the running one; return it once it says yes, None if it died."""
    taken_over = platform.log().count(TAKEN_OVER)
    new = await platform.start(control=True)
    crashing = asyncio.create_task(crash_after_take_over(platform, record, new, taken_over))
    if not crash:
        crashing.cancel()
    until = record.now() + YES_WITHIN_S
    while record.now() < until:
        await asyncio.sleep(HEALTH_INTERVAL_S)
        answer = await new.call("HEALTH")
        record.add(f"platform: HEALTH: {answer or 'no answer'}")
        if answer.startswith("YES"):
            return new
        if new.process.returncode is not None:
            return None
    return None


async def crash_after_take_over(
    platform: Platform, record: Record, new: NodeProcess, taken_over: int
) -> None:
    """Kill the new process a second after it has taken over."""
    for _ in range(int(YES_WITHIN_S / LOG_INTERVAL_S)):
        if platform.log().count(TAKEN_OVER) > taken_over:
            break
        await asyncio.sleep(LOG_INTERVAL_S)
    else:
        return
    record.add("the new process has taken over")
    await asyncio.sleep(CRASH_AFTER_S)
    new.signal(signal.SIGKILL)
    record.add("the new process crashed")


async def end(old: NodeProcess, record: Record) -> None:
    """End the old process, as the new one has said yes."""
    old.signal(signal.SIGTERM)
    record.add("platform: SIGTERM to the old process")
    try:
        async with asyncio.timeout(KILL_AFTER_S):
            await old.process.wait()
    except TimeoutError:
        old.signal(signal.SIGKILL)
        record.add("platform: SIGKILL to the old process")


run_case(FOLDER, scenario)
