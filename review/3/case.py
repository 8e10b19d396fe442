"""Case: many long bodies at a time, within the sizes that the pages allow."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from common.case import run_case  # noqa: E402
from common.discovery import Discovery, endpoint  # noqa: E402
from common.load import NO_ANSWER, Clients  # noqa: E402
from common.platform import NodeProcess, Platform, request_class, settings  # noqa: E402
from common.record import Record  # noqa: E402
from common.server import Server  # noqa: E402

SERVERS = 12
CLIENTS = 200  # each sends one request at a time
LENGTH_S = 15.0
START_S = 3.0  # within which the clients begin
WORK_S = (0.7, 1.0)
REFUSED_WAIT_S = 0.5  # of a client before it sends another request
BODY_BYTES = 520_000
SHORT_BODY_BYTES = 2_000  # without the disruption
TIMEOUT_MS = 6000
MEMORY_MB = 192
KIB_PER_MB = 1024
SERVED = 200
CHECK_INTERVAL_S = 0.05


class MemoryLimit:
    """The platform's limit on a node's memory: a node above it is killed."""

    def __init__(self, node: NodeProcess, record: Record) -> None:
        self._status = Path(f"/proc/{node.pid}/status")
        self._node = node
        self._record = record
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Check the resident memory until the node is killed."""
        while not self.killed:
            self.peak_mb = max(self.peak_mb, self._resident_mb())
            if self.peak_mb > MEMORY_MB:
                self.killed = True
                self._node.process.kill()
                self._record.add(f"platform: killed the node at {self.peak_mb:.0f} MB")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _resident_mb(self) -> float:
        lines = self._status.read_text("utf-8").splitlines()
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(sizes[0]) / KIB_PER_MB if sizes else 0.0


async def scenario(platform: Platform, record: Record, trouble: bool) -> list[str]:
    """Have all clients send bodies, and hold the node to its memory limit."""
    draw = random.Random(12)
    servers = [Server(f"s-{i}", record.add, draw, WORK_S) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [endpoint(server.name, server.port) for server in servers])
    await discovery.start()
    wanted = settings([request_class("look", "pure"), request_class("close", "token")])
    platform.write_config(discovery.port, discovery.listing(), wanted, memory_mb=MEMORY_MB)
    node = await platform.start()
    await platform.wait_until_ready()
    limit = MemoryLimit(node, record)
    watching = asyncio.create_task(limit.watch())
    clients = Clients(record, platform.port)
    body = b"x" * (BODY_BYTES if trouble else SHORT_BODY_BYTES)
    end = record.now() + LENGTH_S

    async def client() -> None:
        await asyncio.sleep(draw.uniform(0, START_S))
        while record.now() < end and not limit.killed:
            sent = await clients.send("close", TIMEOUT_MS, body=body, keyed=True)
            if sent.status != SERVED:
                await asyncio.sleep(REFUSED_WAIT_S)

    await asyncio.gather(*(client() for _ in range(CLIENTS)), return_exceptions=True)
    watching.cancel()
    clients.close()
    record.add(f"platform: the node's memory peaked at {limit.peak_mb:.0f} MB")
    if not limit.killed:
        return []
    lost = sum(sent.status in (None, NO_ANSWER) for sent in clients.sent)
    return [f"the node crashed: killed for memory over {MEMORY_MB} MB, with {lost} requests open"]


run_case(FOLDER, scenario)
