"""Plays the demo: five servers (one slow, one failing) behind a real node; one drains and one joins by file."""

from __future__ import annotations

import asyncio
import socket
import sys
import tempfile
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand
from oakbridge.demo.load import LoadGenerator, Tally
from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandInServer

START_S = 20.0  # in which the node must be there
AIMS = {"car-nearby": 0.5, "price": 1.0}

CONFIG = """\
[node]
name = "demo"
listen = ["127.0.0.1:{port}"]

[servers]
file = "servers.toml"
saved = "servers.saved"

[[class]]
name = "car-nearby"
aim = "500ms"
deadline = "2s"
worth = 3
repeat = "safe"

[[class]]
name = "price"
aim = "1s"
deadline = "3s"
repeat = "safe"

[control]
socket = "{socket}"
"""


class DemoError(Exception):
    """The demo could not be played; the text says why."""


@dataclass(slots=True)
class Scene:
    """What is there at a moment, for whoever draws it."""

    tally: Tally
    status: dict[str, Any] = field(default_factory=dict)
    roles: dict[str, str] = field(default_factory=dict)
    messages: list[str] = field(default_factory=list)
    elapsed_s: float = 0.0
    total_s: float = 0.0


Draw = Callable[[Scene], None]


def _servers() -> dict[str, tuple[str, Behaviour]]:
    usual = Behaviour(latency=0.015)
    return {
        "harbour": ("usual", usual),
        "station": ("usual", usual),
        "airport": ("usual", usual),
        "hill": ("slow: 15 times", Behaviour(latency=0.225)),
        "quay": ("fails half", Behaviour(latency=0.015, errors=0.5)),
        "late": ("joins later", usual),
    }


def write_servers(path: Path, servers: dict[str, StandInServer], states: dict[str, str]) -> None:
    """Write the server file whole: a temporary file and a rename, as anyone should."""
    rows = [
        f'[[server]]\nname = "{name}"\naddress = "127.0.0.1:{servers[name].address[1]}"\nstate = "{state}"\n'
        for name, state in states.items()
    ]
    temporary = path.with_suffix(".new")
    temporary.write_text("\n".join(rows))
    temporary.rename(path)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def _wait_ready(path: Path, process: asyncio.subprocess.Process, log: Path) -> ControlClient:
    loop = asyncio.get_running_loop()
    until = loop.time() + START_S
    while loop.time() < until and process.returncode is None:
        with suppress(NodeUnreachableError):
            return ControlClient(path)
        await asyncio.sleep(0.05)
    log_end = log.read_text()[-2000:]  # noqa: ASYNC240 - the demo ends here
    raise DemoError(f"the node did not start:\n{log_end}")


async def run_demo(rate: float, seconds: float, seed: int, draw: Draw) -> Scene:
    """Play it to its end; returns the last scene.  Raises :class:`DemoError`."""
    plan = _servers()
    servers = {
        name: StandInServer(name, behaviour, seed + i)
        for i, (name, (_, behaviour)) in enumerate(plan.items())
    }
    with tempfile.TemporaryDirectory(prefix="oakbridge-demo-") as folder:
        at = Path(folder)
        for server in servers.values():
            await server.start()
        states = {name: "ready" for name in plan if name != "late"}
        write_servers(at / "servers.toml", servers, states)
        port, sock, log = _free_port(), at / "demo.sock", at / "node.log"
        (at / "oakbridge.toml").write_text(CONFIG.format(port=port, socket=sock))
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(at / "oakbridge.toml"),
                stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
            )  # fmt: skip
        try:
            client = await _wait_ready(sock, process, log)
            load = LoadGenerator(("127.0.0.1", port), AIMS, rate, seconds, seed)
            scene = Scene(
                load.tally, roles={n: role for n, (role, _) in plan.items()}, total_s=seconds
            )
            scene.messages.append(
                f"node on 127.0.0.1:{port}, {len(states)} servers, {rate:g} requests/s"
            )
            director = asyncio.create_task(_direct(scene, client, draw, seconds))
            changes = asyncio.create_task(
                _change(scene, at / "servers.toml", servers, states, seconds)
            )
            await load.run()
            changes.cancel()
            director.cancel()
            scene.status, scene.elapsed_s = client.request(ControlCommand.STATUS), seconds
            client.close()
            draw(scene)
            return scene
        finally:
            await _end(process)
            for server in servers.values():
                server.stop()


async def _end(process: asyncio.subprocess.Process) -> None:
    """End the node as a planned restart does; it is killed if it does not."""
    if process.returncode is None:
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), 10)
        except TimeoutError:
            process.kill()
            await process.wait()


async def _direct(scene: Scene, client: ControlClient, draw: Draw, seconds: float) -> None:
    """Show the state several times a second."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    while True:
        scene.status = await asyncio.to_thread(client.request, ControlCommand.STATUS)
        scene.elapsed_s = min(seconds, loop.time() - begin)
        draw(scene)
        await asyncio.sleep(0.25)


async def _change(
    scene: Scene,
    path: Path,
    servers: dict[str, StandInServer],
    states: dict[str, str],
    seconds: float,
) -> None:
    """In the midst of it, one server drains and another joins, by the file."""
    await asyncio.sleep(0.4 * seconds)
    states["station"] = "draining"
    states["late"] = "ready"
    write_servers(path, servers, states)
    scene.messages.append("servers.toml replaced: station drains, late joins (it counts as cold)")
    await asyncio.sleep(0.25 * seconds)
    path.with_suffix(".bad").write_text('[[server]]\nname = "harbour"\naddress = "somewhere"\n')
    path.with_suffix(".bad").rename(path)
    scene.messages.append(
        "servers.toml replaced by a broken one: not used, the last good one stays"
    )
