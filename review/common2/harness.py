"""What the cases of the second review share: a node by the deploy file, and stand-ins around it.

Everything runs on loopback addresses and the real clock.  The stand-ins for clients, servers,
discovery and operators live in the process of the case; each node is a process of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 15.0
LOCALHOST = "127.0.0.1"

Headers = dict[str, str]


class CouldNotRunError(Exception):
    """The case could not run: the exit code is 2."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((LOCALHOST, 0))
        return int(sock.getsockname()[1])


def with_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: one tier, one zone, four classes."""
    second = 1_000_000

    def request_class(name: str, idempotency: str, window: int = 10 * second) -> dict[str, Any]:
        return {
            "name": name, "aim": 5 * second // 2, "deadline": 6 * second, "group": "all", "idempotency": idempotency,
            "importance": 2.0, "late-worth": 0.5, "repeat-window": window, "streamed": False,
        }  # fmt: skip

    return {
        "allowed": {
            "cancelling": True, "conn-idle": 30 * second, "connect-timeout": 150_000, "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500_000, "max-attempts": 6, "max-open": 20_000, "max-retry-after": 2 * second,
            "may-tell": False, "probing": False, "retry-after": True, "second-copies": False, "streams-per-conn": 1,
        },
        "classes": [
            request_class("car-nearby", "pure"),
            request_class("trip-status", "pure"),
            request_class("book-trip", "side_effect"),
            request_class("close-trip", "token"),
        ],
        "client-habits": {"marks-retry": False},
        "discovery": "on_request",
        "domain-type": "chain",
        "extra": {},
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.1},
        "instances": 1,
        "invariants": {
            "answer-slack": 20_000, "ask-within": 10 * second, "cold-from": 0.13, "fall": 3 * second,
            "fall-multiple": 2.5, "stop-sending-within": 250_000, "warm-up": 24 * second,
        },
        "layers": ["booking-api"],
        "me": 0,
        "models": ["api-fast"],
        "over-share-worth": 0.1,
        "parties": [],
        "prices": {"waste": 0.04, "late-fail": 0.05},
        "report": {"names": [], "source": "off"},
        "resolution": 5000,
        "stage": 0,
        "weight-source": "off",
        "worth-by": "request",
        "zone": "sandviken",
        "zones": ["sandviken"],
    } | changes  # fmt: skip


class Record:
    """The lines of ``record.txt``, each with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def add(self, what: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.4f} {what}\n")
        self._file.flush()

    def say(self, what: str) -> None:
        """Add a line, and print it."""
        self.add(what)
        print(what, flush=True)


# ---- HTTP/1.1, as much of it as the stand-ins need


class Message:
    """A request or a response: its first line, its headers in lower case and its body."""

    def __init__(self, first_line: str, headers: Headers, body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return Message(first_line, {name.strip().lower(): value.strip() for name, value in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message; None if the connection ends before its last byte."""
    message = await read_head(reader)
    if message is None:
        return None
    body = b""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif length := int(message.headers.get("content-length", "0")):
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message.body = body
    return message


def encode(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message with a Content-Length, unless its headers frame it otherwise."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if "Transfer-Encoding" not in headers and "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(
    serve: Serve, sock: socket.socket | None = None, read_ahead: int = 64 * 1024
) -> asyncio.Server:
    """Serve connections on a loopback port; a connection that breaks ends its own task alone."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    if sock is not None:
        return await asyncio.start_server(guarded, sock=sock, limit=read_ahead)
    return await asyncio.start_server(guarded, LOCALHOST, 0, backlog=512, limit=read_ahead)


def port_of(server: asyncio.Server) -> int:
    """Return the port of a listening stand-in."""
    return int(server.sockets[0].getsockname()[1])


# ---- discovery


class Discovery:
    """Discovery that is asked: the whole list, or a watch on changes since a version."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._changed = asyncio.Condition()
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}  # by name: the version of its last change
        self.version = 40
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.port = port_of(await listen(self._serve))

    async def put(self, name: str, port: int, status: str = "ready", since_ms: int = 0) -> None:
        """Add or change the entry of a server, in a new version."""
        async with self._changed:
            self.version += 1
            self._entries[name] = {
                "name": name, "address": f"{LOCALHOST}:{port}", "zone": "sandviken", "type": "api-fast", "group": 1,
                "status": status, "weight": 1.0, "since_ms": since_ms,
            }  # fmt: skip
            self._changed_at[name] = self.version
            self._changed.notify_all()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list, also for ``known`` in a configuration."""
        listed = [entry for entry in self._entries.values() if entry["status"] != "gone"]
        return {"index": self.version, "snapshot": True, "endpoints": listed}

    def _changes(self, since: int) -> dict[str, Any]:
        entries = [self._entries[n] for n, version in self._changed_at.items() if version > since]
        return {"index": self.version, "snapshot": False, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            query = request.first_line.split()[1].partition("?")[2]
            values = dict(part.split("=", 1) for part in query.split("&") if part)
            since = int(values.get("since", "-1"))
            if "since" not in values or since < 0:
                answer = self.whole_list()
            else:
                wait_s = min(60.0, int(values.get("timeout_ms", "0")) / 1000)
                await self._wait_for_change(since, wait_s)
                answer = self._changes(since)
            if answer["endpoints"]:
                told = ", ".join(f"{e['name']} {e['status']}" for e in answer["endpoints"])
                self._record.add(f"discovery tells version {answer['index']}: {told}")
            body = json.dumps(answer).encode()
            writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
            await writer.drain()
            if request.headers.get("connection", "").lower() == "close":
                return

    async def _wait_for_change(self, since: int, wait_s: float) -> None:
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: self.version > since)


# ---- nodes


def run_command() -> str:
    """Return the ``run`` line of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))
    return str(deploy["run"])


class Node:
    """One process of a node, started by the ``run`` line of the deploy file."""

    def __init__(
        self, label: str, folder: Path, listen_port: int, control_port: int, discovery_port: int
    ) -> None:
        self.label = label
        self.folder = folder
        self.listen_port = listen_port
        self.control_port = control_port
        self.discovery_port = discovery_port
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, config: dict[str, Any]) -> None:
        """Start the process with this configuration; addresses are added to it."""
        addresses = {
            "listen": f"{LOCALHOST}:{self.listen_port}",
            "discovery": f"{LOCALHOST}:{self.discovery_port}",
            "control": f"{LOCALHOST}:{self.control_port}",
        }
        path = self.folder / f"config-{self.label}.json"
        path.write_text(json.dumps({"name": "n1", "seed": "8c1f30d27a5be964"} | addresses | config))
        environment = os.environ | {
            "NODE_NAME": "n1",
            "NODE_LISTEN": addresses["listen"],
            "NODE_DISCOVERY": addresses["discovery"],
            "NODE_CONTROL": addresses["control"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"node-{self.label}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True,
            )  # fmt: skip

    async def wait_until_ready(self) -> None:
        """Wait until ``GET /-/ready`` has answered 200."""
        await self._wait_for("ready", self.is_ready)

    async def wait_for_yes(self) -> None:
        """Wait until the operators' call HEALTH has answered YES."""
        await self._wait_for("healthy", self._is_healthy)

    async def _wait_for(self, what: str, condition: Callable[[], Awaitable[bool]]) -> None:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not await condition():
            if time.monotonic() > give_up_at or self.has_ended():
                raise CouldNotRunError(f"node {self.label} is not {what}: {self.log_end()}")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether ``GET /-/ready`` answers 200."""
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.listen_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            return answer is not None and answer.status == 200
        except ConnectionError:
            return False
        finally:
            writer.close()

    async def _is_healthy(self) -> bool:
        try:
            return (await self.call("HEALTH")).startswith("YES")
        except OSError:
            return False

    async def call(self, line: str) -> str:
        """Send an operators' call; return the line of its answer."""
        reader, writer = await asyncio.open_connection(LOCALHOST, self.control_port)
        try:
            writer.write(line.encode() + b"\n")
            return (await asyncio.wait_for(reader.readline(), 5.0)).decode().strip()
        finally:
            writer.close()

    def has_ended(self) -> bool:
        """Return whether the process has exited."""
        return self.process is None or self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that ``run`` started."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Return whether the process exits in time."""
        assert self.process is not None
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(self.process.wait, timeout_s)
        return self.has_ended()

    def kill(self) -> None:
        """Kill the process and all that it started."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            self.process.wait()

    def log_end(self) -> str:
        """Return the end of the process's log."""
        return (self.folder / f"node-{self.label}.log").read_text("utf-8", "replace")[-1500:]


class Stage:
    """What a case works with: a folder for files, the record, discovery, and the nodes."""

    def __init__(self, case_folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case_folder)
        self.discovery = Discovery(self.record)
        self.nodes: list[Node] = []

    def new_node(self, label: str, before: Node | None = None) -> Node:
        """Return a node that is not started; ``before``: a process of the same node."""
        port = free_port() if before is None else before.listen_port
        node = Node(label, self.folder, port, free_port(), self.discovery.port)
        self.nodes.append(node)
        return node

    def end(self) -> None:
        """End all processes, and remove their files."""
        for node in self.nodes:
            node.kill()
            if os.environ.get("REVIEW_LOGS"):
                print(f"--- log of node {node.label}\n{node.log_end()}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file: str, play: Callable[[Stage], Awaitable[list[str]]], limit_s: float) -> None:
    """Play a case, which returns what broke the rule, and exit with its verdict.

    A case that is told to end (SIGTERM) ends its processes first.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    sys.exit(asyncio.run(_run(Path(case_file).resolve().parent, play, limit_s)))


async def _run(folder: Path, play: Callable[[Stage], Awaitable[list[str]]], limit_s: float) -> int:
    stage = Stage(folder)
    stage.record.say(f"disruption: {'on' if with_trouble() else 'off'}")
    try:
        await stage.discovery.start()
        async with asyncio.timeout(limit_s):
            breaks = await play(stage)
    except (CouldNotRunError, TimeoutError, OSError) as error:
        stage.record.say(f"could not run: {error or type(error).__name__}")
        return COULD_NOT_RUN
    finally:
        stage.end()
    for line in breaks[:20]:
        stage.record.say(f"broken: {line}")
    stage.record.say(f"the rule was broken: {len(breaks)} times" if breaks else "the rule held")
    return BROKEN if breaks else HELD
