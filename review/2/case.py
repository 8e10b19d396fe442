"""Case: some clients offer to change the protocol in a request that has a body."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common.case import run_case  # noqa: E402
from common.discovery import Discovery, endpoint  # noqa: E402
from common.load import Clients, Sent  # noqa: E402
from common.platform import Platform, request_class, settings  # noqa: E402
from common.record import Record  # noqa: E402
from common.server import Server, digest  # noqa: E402

SERVERS = 10
RATE = 60.0  # requests a second
LENGTH_S = 15.0
OFFER_SHARE = 0.05  # of the requests
WORK_S = (0.03, 0.06)
TIMEOUT_MS = 6000
BODY_BYTES = 200
# A client that also speaks HTTP/2 offers it so; a server that does not goes on with HTTP/1.1.
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAAQAAP__",
)


async def scenario(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Send a steady load, and compare the body of each run with the one that was sent."""
    draw = random.Random(15)
    servers = [Server(f"s-{i}", record.add, draw, WORK_S) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [endpoint(server.name, server.port) for server in servers])
    await discovery.start()
    wanted = settings([request_class("look", "pure"), request_class("book", "side_effect")])
    platform.write_config(discovery.port, discovery.listing(), wanted)
    await platform.start()
    await platform.wait_until_ready()
    clients = Clients(record, platform.port)
    tasks: dict[asyncio.Task[Sent], bytes] = {}  # the requests, and the body of each
    end = record.now() + LENGTH_S
    while record.now() < end:
        body = b"" if draw.random() < 0.5 else draw.randbytes(BODY_BYTES // 2).hex().encode()
        offers = draw.random() < OFFER_SHARE and trouble
        tasks[asyncio.create_task(send(clients, record, body, offers))] = body
        await asyncio.sleep(draw.expovariate(RATE))
    await asyncio.wait(tasks, timeout=TIMEOUT_MS / 1000 + 1)
    clients.close()
    bodies = {task.result().request_id: body for task, body in tasks.items() if task.done()}
    return breaks_of(clients.sent, bodies, servers)


async def send(clients: Clients, record: Record, body: bytes, offers: bool) -> Sent:
    """Send a request: "book" with a body, "look" without one; it may offer another protocol."""
    if not body:
        return await clients.send("look", TIMEOUT_MS)
    if not offers:
        return await clients.send("book", TIMEOUT_MS, body=body)
    sent = await clients.send_once("book", TIMEOUT_MS, body=body, headers=OFFER)
    record.add(f"client: {sent.request_id} had offered another protocol")
    return sent


def breaks_of(sent: list[Sent], bodies: dict[str, bytes], servers: list[Server]) -> list[str]:
    """Return the requests that ran with a body that no client sent."""
    found = []
    statuses = {one.request_id: one.status for one in sent}
    for server in servers:
        for request_id, seen in server.digests:
            body = bodies[request_id]
            if seen != digest(body):
                what = "an empty body" if seen == digest(b"") else "another body"
                found.append(
                    f"{server.name} ran {request_id} with {what}; the client sent {len(body)} bytes"
                    f" and was answered {statuses[request_id]}"
                )
    return found


run_case(FOLDER, scenario)
