"""Real workers under load: killed, restarted one after the other, reloaded, frozen; every request one answer."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from peers import IDS, free_ports, run, soon

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError
from oakbridge.control.protocol import ControlCommand
from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandIn

CONFIG = """
[node]
name = "n"
listen = ["127.0.0.1:{port}"]
workers = {workers}
[servers]
inline = [{servers}]
[[class]]
name = "look"
aim = "4s"
deadline = "10s"
repeat = "{repeat}"
[control]
socket = "{socket}"
"""


class World:
    """A supervisor with its workers, stand-in servers, and callers that go on asking."""

    def __init__(self, folder: Path, workers: int = 4, repeat: str = "unsafe"):
        self.folder, self.workers, self.repeat = folder, workers, repeat
        self.socket, (self.port,) = folder / "n.sock", free_ports(1)
        self.standins = [StandIn(f"s{i}", Behaviour(latency=0.002, slots=1000), i) for i in range(3)]
        self.answers, self.lost, self.refused = [], 0, 0

    async def __aenter__(self):
        for standin in self.standins:
            await standin.start()
        rows = ", ".join(
            f'{{name = "{s.name}", address = "127.0.0.1:{s.address[1]}"}}' for s in self.standins
        )
        self.config = self.folder / "n.toml"
        self.config.write_text(
            CONFIG.format(
                port=self.port, workers=self.workers, servers=rows, socket=self.socket, repeat=self.repeat
            )
        )
        words = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(self.config)]
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(*words, stderr=log)
        await self.until(lambda told: sum(w.get("ready", False) for w in told["workers"]) == self.workers)
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.terminate()
            await soon(self.process.wait())
        for standin in self.standins:
            standin.stop()

    def ask(self, do="status"):
        with ControlClient(self.socket, 10) as client:
            return client.request(ControlCommand(do))

    async def until(self, so):
        while True:
            try:
                told = await asyncio.to_thread(self.ask)
                if so(told):
                    return told
            except NodeUnreachableError:
                assert self.process.returncode is None, (self.folder / "log").read_text()
            await asyncio.sleep(0.02)

    async def request(self, reader, writer):
        """One request; None if the connection ended before its answer."""
        writer.write(b"GET /x HTTP/1.1\r\nx-request-id: %x\r\nx-priority-class: look\r\n\r\n" % next(IDS))
        try:
            head = await soon(reader.readuntil(b"\r\n\r\n"))
            size = next(
                int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if b"content-length" in line
            )
            await soon(reader.readexactly(size))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return int(head[9:12]), b"connection: close" in head.lower()

    async def caller(self, stop: asyncio.Event, asked: int = 10):
        """Asks so often on each connection, then on a new one, until told to stop."""
        while not stop.is_set():
            reader, writer = await soon(
                asyncio.open_connection("127.0.0.1", self.port)
            )  # refused: the test fails
            for _ in range(asked):
                got = await self.request(reader, writer)
                if got is None:
                    self.lost += 1
                    break
                self.answers.append(got[0])
                if got[1] or stop.is_set():
                    break
            writer.close()

    async def under_load(self, what, callers=24):
        stop = asyncio.Event()
        tasks = [asyncio.create_task(self.caller(stop)) for _ in range(callers)]
        try:
            await what
        finally:
            stop.set()
            await soon(asyncio.gather(*tasks))

    def served(self):
        return sum(standin.served[200] for standin in self.standins)


async def enough(world, more):
    """Until so many more requests have been answered."""
    want = len(world.answers) + more
    while len(world.answers) < want:
        await asyncio.sleep(0.01)


def test_killed_and_frozen_workers_take_along_only_what_they_held(tmp_path):
    async def kills(world):
        for turn in range(4):
            await enough(world, 100)
            told = await world.until(lambda told: all(w.get("ready") for w in told["workers"]))
            victim = told["workers"][turn]
            if turn == 2:
                world.process.send_signal(signal.SIGHUP)  # and while all are told to reload
            os.kill(victim["pid"], signal.SIGKILL)
            await world.until(
                lambda told, v=victim, t=turn: told["workers"][t].get("pid", v["pid"]) != v["pid"]
            )
        frozen = world.ask()["workers"][0]["pid"]
        os.kill(frozen, signal.SIGSTOP)
        await enough(world, 200)  # callers that it holds wait; those of the others go on
        os.kill(frozen, signal.SIGKILL)

    async def scene():
        async with World(tmp_path) as world:
            await world.under_load(kills(world))
            assert set(world.answers) == {200}
            assert world.lost <= 5 * (24 // 4 + 2)  # each had its part of the connections, one request each
            assert world.served() <= len(world.answers) + world.lost  # unsafe: nothing ran twice
            assert world.ask()["crashes"].keys() == {"1", "2", "3", "4"}

    run(scene(), 120)


def test_a_rolling_restart_and_an_end_lose_nothing(tmp_path):
    async def rolls(world):
        await enough(world, 50)
        before = {w["pid"] for w in world.ask()["workers"]}
        world.process.send_signal(signal.SIGUSR1)

        def renewed(told):
            return all(w.get("ready") and w["pid"] not in before for w in told["workers"])

        await world.until(renewed)
        await enough(world, 50)

    async def scene():
        async with World(tmp_path, workers=2) as world:
            await world.under_load(rolls(world), callers=8)
            assert set(world.answers) == {200} and world.lost == 0
            assert world.served() == len(world.answers)
            await world.until(lambda told: told["callers"] == 0 == sum(told["handed"].values()))
            held = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(6)]
            told = await world.until(lambda told: told["callers"] == 6)
            assert sorted(w["callers"] for w in told["workers"]) == [3, 3]  # few and long-lived: even
            asked = [asyncio.create_task(world.request(*pair)) for pair in held]
            await asyncio.sleep(0)
            world.process.terminate()
            assert [(await soon(task))[0] for task in asked] == [200] * 6
            assert await soon(world.process.wait()) == 0
            assert not list(tmp_path.glob("*.sock"))

    run(scene(), 120)


def test_workers_end_in_order_if_their_supervisor_is_killed(tmp_path):
    async def scene():
        async with World(tmp_path, workers=2) as world:
            pids = [w["pid"] for w in world.ask()["workers"]]
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            assert (await world.request(reader, writer))[0] == 200
            world.process.kill()
            await soon(world.process.wait())
            assert (await world.request(reader, writer))[0] == 200  # who is there is served on
            writer.close()
            while any(Path(f"/proc/{pid}/stat").exists() and _runs(pid) for pid in pids):
                await asyncio.sleep(0.05)

    run(scene(), 60)


def _runs(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (("workers = 2", "workers = 40"), "at least 5120 for 40 workers"),
        (("workers = 2", "workers = 65"), "workers"),
    ],
)
def test_limits_that_can_not_be_divided_are_told_at_once(tmp_path, change, why):
    text = CONFIG.format(
        port=free_ports(1)[0], workers=2, socket=tmp_path / "n.sock", repeat="safe",
        servers='{name = "a", address = "127.0.0.1:1"}',
    ).replace(*change)  # fmt: skip
    path = tmp_path / "n.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and why in done.stderr and "Traceback" not in done.stderr
    assert json.dumps(str(path)).strip('"') in done.stderr
