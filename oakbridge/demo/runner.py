"""Runs the demo: a node process in front of stand-in servers, which it reads from a server file.

Five servers are listed at first; one of them is slow and one fails half of its requests.  During
the run the file is replaced twice: first one server drains and another joins, then the file is
malformed.
"""

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

NODE_START_TIMEOUT_S = 20.0
LATENCY_OBJECTIVES_S = {"car-nearby": 0.5, "price": 1.0}

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
    """The demo could not run; the text says why."""


@dataclass(slots=True)
class Scene:
    """A snapshot of the running demo, to be rendered."""

    tally: Tally
    status: dict[str, Any] = field(default_factory=dict)  # as the node's control socket gives it
    roles: dict[str, str] = field(default_factory=dict)  # each server's behaviour, in words
    messages: list[str] = field(default_factory=list)  # events so far
    elapsed_s: float = 0.0
    total_s: float = 0.0


Render = Callable[[Scene], None]


def _server_roles() -> dict[str, tuple[str, Behaviour]]:
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
    """Replace the server file atomically: write a temporary file, then rename it."""
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


async def _connect_control(
    socket_path: Path, process: asyncio.subprocess.Process, log: Path
) -> ControlClient:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + NODE_START_TIMEOUT_S
    while loop.time() < deadline and process.returncode is None:
        with suppress(NodeUnreachableError):
            return ControlClient(socket_path)
        await asyncio.sleep(0.05)
    log_tail = log.read_text()[-2000:]  # noqa: ASYNC240 - the demo stops here
    raise DemoError(f"the node did not start:\n{log_tail}")


async def run_demo(rate: float, seconds: float, seed: int, render: Render) -> Scene:
    """Run the demo to its end; return the last scene.

    ``rate``: requests per second.  ``render`` is called with the scene several times a second.
    Raises DemoError if the node does not start.
    """
    plan = _server_roles()
    servers = {
        name: StandInServer(name, behaviour, seed + index)
        for index, (name, (_, behaviour)) in enumerate(plan.items())
    }
    with tempfile.TemporaryDirectory(prefix="oakbridge-demo-") as folder:
        directory = Path(folder)
        for server in servers.values():
            await server.start()
        states = {name: "ready" for name in plan if name != "late"}
        write_servers(directory / "servers.toml", servers, states)
        port, socket_path, log = _free_port(), directory / "demo.sock", directory / "node.log"
        (directory / "oakbridge.toml").write_text(CONFIG.format(port=port, socket=socket_path))
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(directory / "oakbridge.toml"),
                stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
            )  # fmt: skip
        try:
            client = await _connect_control(socket_path, process, log)
            load = LoadGenerator(("127.0.0.1", port), LATENCY_OBJECTIVES_S, rate, seconds, seed)
            scene = Scene(
                load.tally,
                roles={server_name: role for server_name, (role, _) in plan.items()},
                total_s=seconds,
            )
            scene.messages.append(
                f"node on 127.0.0.1:{port}, {len(states)} servers, {rate:g} requests/s"
            )
            rendering = asyncio.create_task(_render_repeatedly(scene, client, render, seconds))
            changes = asyncio.create_task(
                _change_server_file(scene, directory / "servers.toml", servers, states, seconds)
            )
            await load.run()
            changes.cancel()
            rendering.cancel()
            scene.status, scene.elapsed_s = client.request(ControlCommand.STATUS), seconds
            client.close()
            render(scene)
            return scene
        finally:
            await _stop_node(process)
            for server in servers.values():
                server.stop()


async def _stop_node(process: asyncio.subprocess.Process) -> None:
    """Stop the node by SIGTERM, as a planned restart does; kill it if it does not exit in 10 s."""
    if process.returncode is None:
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), 10)
        except TimeoutError:
            process.kill()
            await process.wait()


async def _render_repeatedly(
    scene: Scene, client: ControlClient, render: Render, duration_s: float
) -> None:
    """Update and render the scene four times a second."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while True:
        scene.status = await asyncio.to_thread(client.request, ControlCommand.STATUS)
        scene.elapsed_s = min(duration_s, loop.time() - started_s)
        render(scene)
        await asyncio.sleep(0.25)


async def _change_server_file(
    scene: Scene,
    path: Path,
    servers: dict[str, StandInServer],
    states: dict[str, str],
    duration_s: float,
) -> None:
    """Replace the file after 0.4 of the time, and by a malformed one after 0.65 of it."""
    await asyncio.sleep(0.4 * duration_s)
    states["station"] = "draining"
    states["late"] = "ready"
    write_servers(path, servers, states)
    scene.messages.append("servers.toml replaced: station drains, late joins (treated as cold)")
    await asyncio.sleep(0.25 * duration_s)
    path.with_suffix(".bad").write_text('[[server]]\nname = "harbour"\naddress = "somewhere"\n')
    path.with_suffix(".bad").rename(path)
    scene.messages.append(
        "servers.toml replaced by a malformed file: rejected, the last valid list stays"
    )
