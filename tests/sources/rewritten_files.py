"""A node whose server file is rewritten under load, with records of its lists and attempts."""

import asyncio
import itertools
import json
import random
from pathlib import Path

from peers import SETTINGS, with_timeout

from oakbridge.node.config import Config
from oakbridge.node.node import Node
from oakbridge.node.settings import read_settings
from oakbridge.policy.settings import Settings
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.sources.reading import digest_of, read_files
from oakbridge.standin.behaviour import Behaviour
from oakbridge.standin.server import StandInServer

BROKEN_FRACTION = 0.3  # fraction of broken rewrites
SEED = 20261201
SETTLE_S = 0.004

NAMES = [f"s{i}" for i in range(10)]
STABLE_NAMES = NAMES[:3]  # servers that every valid file lists as ready


class RecordingStandIn(StandInServer):
    """A stand-in that records the time at which each request has arrived completely."""

    def __init__(self, name: str, behaviour: Behaviour, seed: int, now) -> None:
        super().__init__(name, behaviour, seed)
        self.now, self.arrived_at = now, []

    async def handle_request(self):
        self.arrived_at.append(self.now())
        return await super().handle_request()


def rows_of(servers: dict[str, tuple[str, int]]) -> list[dict]:
    """Return rows in discovery's format, from each server's state and port by its name."""
    return [
        {"name": name, "address": f"127.0.0.1:{port}", "status": state}
        for name, (state, port) in servers.items()
    ]


def render(servers, index: int) -> str:
    """Return the complete file in discovery's format."""
    return json.dumps({"index": index, "snapshot": True, "endpoints": rows_of(servers)}) + "\n"


def broken_content(rng: random.Random, kind: int, valid: str, servers) -> bytes:
    """Return a file that is broken in one of ``BREAKAGE_KINDS`` ways."""
    rows = rows_of(servers)
    chosen = rng.randrange(len(rows))

    def with_bad_row(**fields) -> bytes:
        return json.dumps(
            {"endpoints": [row | fields if i == chosen else row for i, row in enumerate(rows)]}
        ).encode()

    return [
        lambda: valid.encode()[: rng.randrange(1, len(valid) - 3)],
        lambda: b"",
        lambda: b"{}",
        lambda: json.dumps({"endpoints": []}).encode(),
        lambda: with_bad_row(weight=float("nan")),
        lambda: with_bad_row(weight=-1),
        lambda: with_bad_row(address="somewhere:1"),
        lambda: with_bad_row(name=""),
        lambda: json.dumps(
            {"endpoints": [*rows, rows[chosen] | {"address": "127.0.0.1:1"}]}
        ).encode(),
        lambda: json.dumps({"endpoints": [*rows, rows[chosen] | {"name": "other"}]}).encode(),
        lambda: with_bad_row(status="resting"),
        lambda: valid.encode().replace(b"s0", b"\xff0"),
        lambda: json.dumps({"endpoints": [row | {"status": "draining"} for row in rows]}).encode(),
        lambda: valid.encode() + b"# sha256: " + b"0" * 64 + b"\n",
        # Valid, but without nearly all servers: it is held for approval.
        lambda: json.dumps({"endpoints": rows[:1]}).encode(),
    ][kind]()


BREAKAGE_KINDS = 15


class RewrittenFileHarness:
    """A node in this process that watches a server file, and records of its lists and attempts."""

    def __init__(self, folder: Path) -> None:
        self.rng = random.Random(SEED)
        self.path = folder / "servers.json"
        # Endpoint list version, server and address of each attempt.
        self.attempts: list[tuple[int, str, str]] = []
        self.versions: dict[int, dict[str, str]] = {}  # by version: address of each ready server
        self.removals: list[tuple[str, int]] = []  # address, and time when it left the ready ones
        # Each addition is a time, and the addresses that joined the ready ones.
        self.additions: list[tuple[int, set[str]]] = []
        # Longest time for which this process, with node and servers, did not run.
        self.longest_pause_us = 0

    async def __aenter__(self) -> "RewrittenFileHarness":
        loop = asyncio.get_running_loop()
        self.stand_ins: dict[str, RecordingStandIn] = {}
        self.ports: dict[str, list[int]] = {}  # by name: the two ports between which it may move
        for i, (name, suffix) in enumerate(itertools.product(NAMES, "ab")):
            errors = 0.15 if name in ("s5", "s6", "s7") else 0.0
            stand_in = RecordingStandIn(
                name + suffix, Behaviour(0.004, errors=errors), i, lambda: self.node.clock.now()
            )
            await stand_in.start()
            self.stand_ins[f"127.0.0.1:{stand_in.address[1]}"] = stand_in
            self.ports.setdefault(name, []).append(stand_in.address[1])
        self.servers = {
            listed_name: ("ready", self.ports[listed_name][0]) for listed_name in NAMES[:6]
        }
        self.path.write_text(render(self.servers, 0))
        options = FileOptions(
            self.path,
            settle_s=SETTLE_S,
            poll_interval_s=0.05,
            max_lost_fraction=0.6,
            saved_path=self.path.with_suffix(".saved"),
        )
        # A short warm-up: new servers get their share of requests almost at once.
        short_warm_up = SETTINGS["invariants"] | {"warm-up": 50_000}
        settings = SETTINGS | {"discovery": "pushed", "invariants": short_warm_up}
        config = Config(
            "n",
            ("127.0.0.1", 0),
            None,
            7,
            1024,
            None,
            self.with_pinned_list(read_settings(settings)),
        )
        self.node = Node(config, loop, lambda clock: FileSource(options, clock.now))
        self.source = self.node.source
        self.record_lists_and_attempts()
        self.source.start()
        await with_timeout(self.source.ready())
        self.node.start()
        self.pause_recorder = asyncio.create_task(self.record_longest_pause())
        return self

    @staticmethod
    def with_pinned_list(settings: Settings) -> Settings:
        """Return the settings with ``pin_endpoint_list``."""
        return Settings(
            **{name: getattr(settings, name) for name in settings.__slots__}
            | {"pin_endpoint_list": True}
        )

    def record_lists_and_attempts(self) -> None:
        """Replace the node's methods that apply lists and send attempts by recording ones."""
        apply_list, send = self.node.endpoints.on_endpoint_list, self.node.forwarder.send

        def apply_and_record_list(new, *, saved=False):
            before = self.versions.get(self.node.balancer.members.version, {})
            apply_list(new, saved=saved)
            balancer = self.node.balancer
            after = {server.id: server.address for server in balancer.servers.values()}
            self.versions[balancer.members.version] = after
            addresses, now = set(after.values()), self.node.clock.now()
            self.removals += [
                (address, now) for address in before.values() if address not in addresses
            ]
            self.additions.append((now, addresses - set(before.values())))

        def send_and_record(action, decided_at):
            request, server = (
                self.node.balancer.requests[action.request_id],
                self.node.balancer.endpoints.known[action.server],
            )
            self.attempts.append((request.list_version, action.server, server.address))
            send(action, decided_at)

        self.node.endpoints.on_endpoint_list, self.node.forwarder.send = (
            apply_and_record_list,
            send_and_record,
        )

    async def record_longest_pause(self) -> None:
        """Record the longest time for which this process has not run; run until cancelled."""
        while True:
            before = self.node.clock.now()
            await asyncio.sleep(0.01)
            self.longest_pause_us = max(
                self.longest_pause_us, self.node.clock.now() - before - 10_000
            )

    async def __aexit__(self, *_) -> None:
        self.pause_recorder.cancel()
        self.node.close()
        for stand_in in self.stand_ins.values():
            stand_in.stop()

    def rewrite(self, index: int) -> tuple[bool, int]:
        """Write the next file; return whether its list should be used, and the kind of breakage."""
        rng = self.rng
        is_broken = rng.random() < BROKEN_FRACTION
        kind = rng.randrange(BREAKAGE_KINDS)
        if is_broken:
            data = broken_content(rng, kind, render(self.servers, index), self.servers)
        else:
            self.servers = self.next_servers()
            data = render(self.servers, index).encode()
        if rng.random() < 0.3:
            self.path.write_bytes(data)
        else:
            self.path.with_suffix(".new").write_bytes(data)
            self.path.with_suffix(".new").rename(self.path)
        return not is_broken, kind

    def next_servers(self) -> dict[str, tuple[str, int]]:
        """Return the next valid list, which loses at most half of the ready servers."""
        ready = {item for item in self.servers.items() if item[1][0] == "ready"}
        while True:
            servers = self.draw_servers()
            if len(ready - set(servers.items())) <= 0.5 * len(ready):
                return servers

    def draw_servers(self) -> dict[str, tuple[str, int]]:
        """Return a random list with the stable servers; others may be draining or have moved."""
        rng = self.rng
        servers = {name: ("ready", self.ports[name][0]) for name in STABLE_NAMES}
        for name in NAMES[3:]:
            if rng.random() < 0.6:
                state = "draining" if rng.random() < 0.15 else "ready"
                servers[name] = state, self.ports[name][rng.randrange(2)]
        return servers

    async def wait_for_decision(self, is_valid: bool) -> str:
        """Wait until the source has decided on the file; return "used", "held" or "refused"."""
        while True:
            self.source.state_changed.clear()
            status = self.source.describe()
            digest = digest_on_disk(self.path)
            for decision in ("used", "held", "refused"):
                if status[decision] is not None and status[decision]["digest"] == digest:
                    assert is_valid == (decision == "used"), status
                    return decision
            await with_timeout(self.source.state_changed.wait())


def digest_on_disk(path: Path) -> str:
    """Return the digest of the file's present content."""
    return digest_of(read_files(path, is_directory=False))
