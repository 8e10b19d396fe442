"""The program as it is started: its configuration, its clock, and its end on SIGTERM."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from peers import (
    SETTINGS,
    TIMEOUT_S,
    Client,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint,
    free_ports,
    listing,
    reply,
    run,
    with_timeout,
)

from oakbridge.node.clock import Clock
from oakbridge.node.config import load_config
from oakbridge.node.errors import ConfigError

ROOT = Path(__file__).parents[2]
COMMAND = [sys.executable, "-m", "oakbridge"]


def raw_config(**changes) -> dict:
    # Nobody is at discovery's address: asked at once again and again, the node would fill its log's pipe.
    seldom = SETTINGS | {"invariants": SETTINGS["invariants"] | {"ask-within": 4_000_000}}
    raw = {
        "name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1),
        "settings": seldom,
    }  # fmt: skip
    return {k: v for k, v in (raw | changes).items() if v is not None}


def written(path: Path, raw: object) -> dict[str, str]:
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return {"NODE_CONFIG": str(path)}


def test_configuration_is_read_and_variables_go_first(tmp_path):
    given = written(tmp_path / "c.json", raw_config()) | {
        "NODE_LISTEN": "127.0.0.2:80",
        "NODE_NAME": "n9",
    }
    got = load_config(given)
    assert (got.name, got.listen, got.discovery) == ("n9", ("127.0.0.2", 80), ("127.0.0.1", 9))
    assert (got.seed, got.settings.max_attempts) == (0x8C1F30D27A5BE964, 4)
    assert got.sockets <= 1024


@pytest.mark.parametrize(
    ("raw", "word"),
    [
        ("{", "NODE_CONFIG"),
        ("[]", "expected an object"),
        (raw_config(listen=None), "NODE_LISTEN"),
        (raw_config(discovery="somewhere"), "NODE_DISCOVERY"),
        (raw_config(seed="xyz"), "seed"),
        (raw_config(limits={"sockets": "many"}), "limits.sockets"),
        (raw_config(settings=None), "settings"),
        (raw_config(settings=SETTINGS | {"classes": []}), "classes"),
        (raw_config(known=[]), "known"),
    ],
)
def test_bad_configuration_is_named(tmp_path, raw, word):
    with pytest.raises(ConfigError, match=word):
        load_config(written(tmp_path / "c.json", raw))


@pytest.mark.parametrize(
    "raw", [None, "{", raw_config(known={"index": 1}), raw_config(listen="203.0.113.1:80")]
)
def test_program_that_can_not_start_says_so_in_one_line(tmp_path, raw):
    given = {} if raw is None else written(tmp_path / "c.json", raw)
    environment = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")} | given
    done = subprocess.run(
        COMMAND, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1
    assert done.stderr.startswith("oakbridge: ")


def test_timer_never_fires_early():
    async def scenario():
        clock = Clock(asyncio.get_running_loop())
        early: asyncio.Queue[bool] = asyncio.Queue()
        for i in range(200):
            due = clock.now() + 137 * i

            def fired(due=due):
                early.put_nowait(clock.now() < due)

            clock.call_at(due, fired)
        assert not any([await with_timeout(early.get()) for _ in range(200)])

    run(scenario())


def test_timer_that_the_loop_fires_early_is_set_again():
    class Loop:
        def __init__(self):
            self.calls = []

        def call_later(self, delay, *what):
            self.calls.append((delay, what))

    loop, fired = Loop(), []
    clock = Clock(loop)
    due = clock.now() + 50_000_000
    clock.call_at(due, lambda: fired.append(1))
    what, *arguments = loop.calls[0][1]
    what(*arguments)
    assert not fired
    assert len(loop.calls) == 2
    clock._offset += 50_000_000
    what(*arguments)
    assert fired == [1]


def test_sigterm_answers_what_was_taken_keeps_accepting_and_exits_cleanly(tmp_path):
    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200, b"held")

        async with ScriptedServer(
            lambda seen: held() if seen.url == "/held" else reply(200, b"new")
        ) as peer:
            raw = raw_config(
                listen=f"127.0.0.1:{free_ports(1)[0]}", known=listing(1, endpoint("s-0", peer.port))
            )
            given = os.environ | written(tmp_path / "c.json", raw)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=given, stderr=asyncio.subprocess.PIPE
            )
            try:
                await said(process, b"listens")
                port = int(raw["listen"].split(":")[1])
                caller, idle = await Client.connect(port), await Client.connect(port)
                caller.send(url="/held")
                await with_timeout(peer.requests.get())
                process.send_signal(signal.SIGTERM)
                await said(process, b"ends")
                process.send_signal(signal.SIGTERM)  # once more: it ends as it was about to
                late = await Client.connect(port)
                late.send(url="/new")
                status, _headers, body = await late.read_response()
                assert (status, body) == (200, b"new")
                # The door closes after the changeover; those who are there are served on for a while.
                while await connects(port):
                    await asyncio.sleep(0.1)
                late.send(url="/new")
                assert (await late.read_response())[2] == b"new"
                assert await idle.read_until_close() == b""
                assert await late.read_until_close() == b""
                peer.release.set()
                assert (await caller.read_response())[2] == b"held"
                caller.close()
                assert b"Traceback" not in await with_timeout(process.stderr.read())
                assert await with_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(scenario())


def test_sighup_moves_discovery_by_the_file_and_a_broken_file_changes_nothing(tmp_path):
    """Guards against a node that ends on SIGHUP, drops what is out, or goes on asking at the old address."""

    async def scenario():
        async def held():
            await peer.release.wait()
            return reply(200, b"held")

        async with (
            ScriptedServer(lambda _: held()) as peer,
            ScriptedServer(lambda _: reply(200, b"new")) as newer,
            ScriptedDiscovery() as old,
            ScriptedDiscovery() as new,
            ScriptedDiscovery() as last,
        ):
            path = tmp_path / "c.json"
            raw = raw_config(
                listen=f"127.0.0.1:{free_ports(1)[0]}", known=listing(7, endpoint("s-0", peer.port))
            )
            raw["settings"] = SETTINGS | {"discovery": "pushed"}  # asks from the start
            given = os.environ | written(path, raw) | {"NODE_DISCOVERY": f"127.0.0.1:{old.port}"}
            process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=given, stderr=asyncio.subprocess.PIPE
            )
            try:
                await said(process, b"listens")
                assert "since=7&" in (await with_timeout(old.requests.get())).url
                caller = await Client.connect(int(raw["listen"].split(":")[1]))
                caller.send(url="/held")
                await with_timeout(peer.requests.get())
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                await said(process, b"not read anew")
                for registry in (new, last):
                    written(path, raw | {"discovery": f"127.0.0.1:{registry.port}"})
                    process.send_signal(signal.SIGHUP)
                    assert (await with_timeout(registry.requests.get())).url.startswith(
                        "/api/targets?since=-1&"
                    )
                for registry in (old, new):
                    registry.put(listing(99))  # late: it reaches nobody
                    assert await with_timeout(registry.closed_connections.get()) == 1
                last.put(listing(3, endpoint("s-1", newer.port)))
                assert "since=3&" in (await with_timeout(last.requests.get())).url
                peer.release.set()
                assert (await caller.read_response())[2] == b"held"
                caller.send(url="/new")
                assert (await caller.read_response())[2] == b"new"
                process.send_signal(signal.SIGTERM)
                assert await with_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(scenario())


async def connects(port: int) -> bool:
    try:
        (await Client.connect(port)).close()
    except OSError:
        return False
    return True


async def said(process, word: bytes) -> None:
    """Wait for a line of the node's log."""
    while word not in (line := await with_timeout(process.stderr.readline())):
        assert line, "the node has ended"


def ignores_hangups(pid: int) -> bool:
    """Whether the kernel throws a process's SIGHUP away."""
    status = Path(f"/proc/{pid}/status").read_text()
    [ignored] = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(int(ignored, 16) & 1 << (signal.SIGHUP - 1))


def executable_name(pid: int) -> str:
    return Path(f"/proc/{pid}/exe").readlink().name


def test_hangups_during_the_interpreters_start_end_no_node(tmp_path):
    """Guards against a reload that ends a process which has no handler for it yet."""
    deployed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert "exec .venv/bin/python " in deployed
    command = deployed.replace(".venv/bin/python", sys.executable)
    [port] = free_ports(1)
    given = written(tmp_path / "c.json", raw_config(listen=f"127.0.0.1:{port}"))

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=os.environ | given, stderr=subprocess.DEVNULL
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while "python" not in executable_name(process.pid):
                    await asyncio.sleep(0.001)
                assert ignores_hangups(process.pid)
                while True:
                    process.send_signal(signal.SIGHUP)
                    assert process.returncode is None
                    try:
                        (await Client.connect(port)).close()
                        break
                    except OSError:
                        await asyncio.sleep(0.002)
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0
        finally:
            if process.returncode is None:
                process.kill()

    run(scenario())
