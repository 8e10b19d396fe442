"""The node as a process: its configuration, timers, reload on SIGHUP and shutdown on SIGTERM."""

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
    # Nothing listens at discovery's address.  With a short poll interval the node's log lines would
    # fill the pipe.
    settings = SETTINGS | {"invariants": SETTINGS["invariants"] | {"ask-within": 4_000_000}}
    raw = {
        "name": "n3", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1),
        "settings": settings,
    }  # fmt: skip
    return {name: value for name, value in (raw | changes).items() if value is not None}


def write_config(path: Path, raw: object) -> dict[str, str]:
    """Write a configuration file; return the environment variables that name it."""
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return {"NODE_CONFIG": str(path)}


def test_variables_take_precedence_over_the_configuration_file(tmp_path):
    variables = write_config(tmp_path / "c.json", raw_config()) | {
        "NODE_LISTEN": "127.0.0.2:80",
        "NODE_NAME": "n9",
    }
    config = load_config(variables)
    assert (config.name, config.listen, config.discovery) == (
        "n9",
        ("127.0.0.2", 80),
        ("127.0.0.1", 9),
    )
    assert (config.seed, config.settings.max_attempts) == (0x8C1F30D27A5BE964, 4)
    assert config.sockets <= 1024


@pytest.mark.parametrize(
    ("raw", "place"),
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
def test_error_names_the_invalid_part_of_the_configuration(tmp_path, raw, place):
    with pytest.raises(ConfigError, match=place):
        load_config(write_config(tmp_path / "c.json", raw))


@pytest.mark.parametrize(
    "raw", [None, "{", raw_config(known={"index": 1}), raw_config(listen="203.0.113.1:80")]
)
def test_node_that_can_not_start_prints_one_line(tmp_path, raw):
    variables = {} if raw is None else write_config(tmp_path / "c.json", raw)
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith("NODE_")
    } | variables
    completed = subprocess.run(
        COMMAND, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert completed.returncode != 0
    assert len(completed.stderr.splitlines()) == 1
    assert completed.stderr.startswith("oakbridge: ")


def test_timer_does_not_fire_early():
    async def scenario():
        clock = Clock(asyncio.get_running_loop())
        early_firings: asyncio.Queue[bool] = asyncio.Queue()
        for i in range(200):
            due = clock.now() + 137 * i

            def on_timer(due=due):
                early_firings.put_nowait(clock.now() < due)

            clock.call_at(due, on_timer)
        assert not any([await with_timeout(early_firings.get()) for _ in range(200)])

    run(scenario())


def test_timer_is_set_again_if_the_event_loop_fires_it_early():
    class Loop:
        def __init__(self):
            self.calls = []

        def call_later(self, delay, *callback):
            self.calls.append((delay, callback))

    loop, firings = Loop(), []
    clock = Clock(loop)
    due = clock.now() + 50_000_000
    clock.call_at(due, lambda: firings.append(1))
    callback, *arguments = loop.calls[0][1]
    callback(*arguments)
    assert not firings
    assert len(loop.calls) == 2
    clock._offset += 50_000_000
    callback(*arguments)
    assert firings == [1]


def test_sigterm_serves_open_requests_accepts_during_the_notice_and_exits_with_0(tmp_path):
    async def scenario():
        async def held():
            await server.release.wait()
            return reply(200, b"held")

        async with ScriptedServer(
            lambda request: held() if request.url == "/held" else reply(200, b"new")
        ) as server:
            raw = raw_config(
                listen=f"127.0.0.1:{free_ports(1)[0]}",
                known=listing(1, endpoint("s-0", server.port)),
            )
            variables = os.environ | write_config(tmp_path / "c.json", raw)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=variables, stderr=asyncio.subprocess.PIPE
            )
            try:
                await wait_for_log(process, b"node listening")
                port = int(raw["listen"].split(":")[1])
                client, idle = await Client.connect(port), await Client.connect(port)
                client.send(url="/held")
                await with_timeout(server.requests.get())
                process.send_signal(signal.SIGTERM)
                await wait_for_log(process, b"node shutting down")
                process.send_signal(signal.SIGTERM)  # a second signal changes nothing
                late = await Client.connect(port)
                late.send(url="/new")
                status, _headers, body = await late.read_response()
                assert (status, body) == (200, b"new")
                # The listener closes after the drain notice; open connections are served on.
                while await connects(port):
                    await asyncio.sleep(0.1)
                late.send(url="/new")
                assert (await late.read_response())[2] == b"new"
                assert await idle.read_until_close() == b""
                assert await late.read_until_close() == b""
                server.release.set()
                assert (await client.read_response())[2] == b"held"
                client.close()
                assert b"Traceback" not in await with_timeout(process.stderr.read())
                assert await with_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(scenario())


def test_sighup_applies_the_address_of_discovery_and_ignores_a_broken_file(tmp_path):
    """Guards against a node that exits on SIGHUP, drops open requests or polls the old address."""

    async def scenario():
        async def held():
            await server.release.wait()
            return reply(200, b"held")

        async with (
            ScriptedServer(lambda _: held()) as server,
            ScriptedServer(lambda _: reply(200, b"new")) as newer,
            ScriptedDiscovery() as old,
            ScriptedDiscovery() as new,
            ScriptedDiscovery() as last,
        ):
            path = tmp_path / "c.json"
            raw = raw_config(
                listen=f"127.0.0.1:{free_ports(1)[0]}",
                known=listing(7, endpoint("s-0", server.port)),
            )
            raw["settings"] = SETTINGS | {"discovery": "pushed"}  # polls from the start
            variables = (
                os.environ | write_config(path, raw) | {"NODE_DISCOVERY": f"127.0.0.1:{old.port}"}
            )
            process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=variables, stderr=asyncio.subprocess.PIPE
            )
            try:
                await wait_for_log(process, b"node listening")
                assert "since=7&" in (await with_timeout(old.requests.get())).url
                client = await Client.connect(int(raw["listen"].split(":")[1]))
                client.send(url="/held")
                await with_timeout(server.requests.get())
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                await wait_for_log(process, b"reload of the configuration failed")
                for discovery in (new, last):
                    write_config(path, raw | {"discovery": f"127.0.0.1:{discovery.port}"})
                    process.send_signal(signal.SIGHUP)
                    assert (await with_timeout(discovery.requests.get())).url.startswith(
                        "/api/targets?since=-1&"
                    )
                for discovery in (old, new):
                    discovery.put(listing(99))  # a late response to a cancelled discovery request
                    assert await with_timeout(discovery.closed_connections.get()) == 1
                last.put(listing(3, endpoint("s-1", newer.port)))
                assert "since=3&" in (await with_timeout(last.requests.get())).url
                server.release.set()
                assert (await client.read_response())[2] == b"held"
                client.send(url="/new")
                assert (await client.read_response())[2] == b"new"
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


async def wait_for_log(process, text: bytes) -> None:
    """Read the node's log up to a line that contains the text."""
    while text not in (line := await with_timeout(process.stderr.readline())):
        assert line, "the node has exited"


def ignores_hangups(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    status = Path(f"/proc/{pid}/status").read_text()
    [ignored] = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(int(ignored, 16) & 1 << (signal.SIGHUP - 1))


def executable_name(pid: int) -> str:
    return Path(f"/proc/{pid}/exe").readlink().name


def test_sighup_during_the_start_of_the_interpreter_does_not_end_the_node(tmp_path):
    """Guards against a reload that terminates a process which has no signal handler yet."""
    deployed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert "exec .venv/bin/python " in deployed
    command = deployed.replace(".venv/bin/python", sys.executable)
    [port] = free_ports(1)
    variables = write_config(tmp_path / "c.json", raw_config(listen=f"127.0.0.1:{port}"))

    async def scenario():
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=os.environ | variables,
            stderr=subprocess.DEVNULL,
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
