"""A node whose server file is rewritten under load, and a record of what its requests kept to."""

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
from oakbridge.standin.server import StandIn

BROKEN_SHARE = 0.3
SEED = 20261201
SETTLE_S = 0.004

NAMES = [f"s{i}" for i in range(10)]
STABLE_NAMES = NAMES[:3]


class RecordingStandIn(StandIn):
    """A stand-in that records when each request's last byte arrived."""

    def __init__(self, name: str, behaviour: Behaviour, seed: int, now) -> None:
        super().__init__(name, behaviour, seed)
        self.now, self.arrived_at = now, []

    async def work(self):
        self.arrived_at.append(self.now())
        return await super().work()


def rows_of(servers: dict[str, tuple[str, int]]) -> list[dict]:
    """Return discovery's rows of servers with a state and a port each."""
    return [
        {"name": n, "address": f"127.0.0.1:{port}", "status": state}
        for n, (state, port) in servers.items()
    ]


def render(servers, index: int) -> str:
    """Return the whole file in discovery's form."""
    return json.dumps({"index": index, "snapshot": True, "endpoints": rows_of(servers)}) + "\n"


def broken_content(rng: random.Random, kind: int, good: str, servers) -> bytes:
    """Return a file that is broken in one of ``BREAKAGE_KINDS`` ways."""
    rows = rows_of(servers)
    one = rng.randrange(len(rows))

    def with_bad_row(**fields) -> bytes:
        return json.dumps(
            {"endpoints": [r | fields if i == one else r for i, r in enumerate(rows)]}
        ).encode()

    return [
        lambda: good.encode()[: rng.randrange(1, len(good) - 3)],
        lambda: b"",
        lambda: b"{}",
        lambda: json.dumps({"endpoints": []}).encode(),
        lambda: with_bad_row(weight=float("nan")),
        lambda: with_bad_row(weight=-1),
        lambda: with_bad_row(address="somewhere:1"),
        lambda: with_bad_row(name=""),
        lambda: json.dumps({"endpoints": [*rows, rows[one] | {"address": "127.0.0.1:1"}]}).encode(),
        lambda: json.dumps({"endpoints": [*rows, rows[one] | {"name": "other"}]}).encode(),
        lambda: with_bad_row(status="resting"),
        lambda: good.encode().replace(b"s0", b"\xff0"),
        lambda: json.dumps({"endpoints": [r | {"status": "draining"} for r in rows]}).encode(),
        lambda: good.encode() + b"# sha256: " + b"0" * 64 + b"\n",
        lambda: json.dumps(
            {"endpoints": rows[:1]}
        ).encode(),  # valid, and takes nearly all away: it is held
    ][kind]()


BREAKAGE_KINDS = 15


class RewrittenFileWorld:
    """A node in this process with watched servers, and what each of its requests kept to."""

    def __init__(self, folder: Path) -> None:
        self.rng = random.Random(SEED)
        self.path = folder / "servers.json"
        self.requests: list[
            tuple[int, str, str]
        ] = []  # version, server and its address, of every send
        self.versions: dict[int, dict[str, str]] = {}  # by the module's count: the ready servers
        self.dropped: list[tuple[str, int]] = []  # address, and when a version without it was used
        self.listed_times: list[tuple[int, set[str]]] = []  # when which addresses were listed anew
        self.longest_pause = 0  # us in which this process, node and servers in one, did not run

    async def __aenter__(self) -> "RewrittenFileWorld":
        loop = asyncio.get_running_loop()
        self.stand_ins: dict[str, RecordingStandIn] = {}
        self.places: dict[
            str, list[int]
        ] = {}  # a name's two addresses: it may move from one to the other
        for i, (name, copy) in enumerate(itertools.product(NAMES, "ab")):
            errors = 0.15 if name in ("s5", "s6", "s7") else 0.0
            stand = RecordingStandIn(
                name + copy, Behaviour(0.004, errors=errors), i, lambda: self.node.clock.now()
            )
            await stand.start()
            self.stand_ins[f"127.0.0.1:{stand.address[1]}"] = stand
            self.places.setdefault(name, []).append(stand.address[1])
        self.servers = {n: ("ready", self.places[n][0]) for n in NAMES[:6]}
        self.path.write_text(render(self.servers, 0))
        options = FileOptions(
            self.path,
            settle_s=SETTLE_S,
            poll_interval_s=0.05,
            max_lost_fraction=0.6,
            saved_path=self.path.with_suffix(".saved"),
        )
        warm_soon = SETTINGS["invariants"] | {"warm-up": 50_000}  # newcomers get their part at once
        settings = SETTINGS | {"discovery": "pushed", "invariants": warm_soon}
        config = Config(
            "n", ("127.0.0.1", 0), None, 7, 1024, None, self.pinned(read_settings(settings))
        )
        self.node = Node(config, loop, lambda clock: FileSource(options, clock.now))
        self.source = self.node.source
        self.record_lists_and_sends()
        self.source.start()
        await with_timeout(self.source.ready())
        self.node.start()
        self.pulse = asyncio.create_task(self.record_longest_pause())
        return self

    @staticmethod
    def pinned(settings: Settings) -> Settings:
        return Settings(
            **{f: getattr(settings, f) for f in settings.__slots__} | {"pin_endpoint_list": True}
        )

    def record_lists_and_sends(self) -> None:
        listed, send = self.node.endpoints.on_endpoint_list, self.node.forwarder.send

        def recorded_list(new, *, saved=False):
            before = self.versions.get(self.node.balancer.members.version, {})
            listed(new, saved=saved)
            balancer = self.node.balancer
            now_is = {s.id: s.address for s in balancer.servers.values()}
            self.versions[balancer.members.version] = now_is
            kept, now = set(now_is.values()), self.node.clock.now()
            self.dropped += [(place, now) for place in before.values() if place not in kept]
            self.listed_times.append((now, kept - set(before.values())))

        def recorded_send(action, decided_at):
            call, server = (
                self.node.balancer.requests[action.request_id],
                self.node.balancer.endpoints.known[action.server],
            )
            self.requests.append((call.list_version, action.server, server.address))
            send(action, decided_at)

        self.node.endpoints.on_endpoint_list, self.node.forwarder.send = (
            recorded_list,
            recorded_send,
        )

    async def record_longest_pause(self) -> None:
        """Record the longest time for which this process did not run."""
        while True:
            before = self.node.clock.now()
            await asyncio.sleep(0.01)
            self.longest_pause = max(self.longest_pause, self.node.clock.now() - before - 10_000)

    async def __aexit__(self, *_) -> None:
        self.pulse.cancel()
        self.node.close()
        for stand in self.stand_ins.values():
            stand.stop()

    def rewrite(self, n: int) -> tuple[bool, int]:
        """Replace the file; returns whether what it holds is a list that should come into use."""
        rng = self.rng
        bad = rng.random() < BROKEN_SHARE
        kind = rng.randrange(BREAKAGE_KINDS)
        if bad:
            data = broken_content(rng, kind, render(self.servers, n), self.servers)
        else:
            self.servers = self.next_servers()
            data = render(self.servers, n).encode()
        if rng.random() < 0.3:
            self.path.write_bytes(data)
        else:
            self.path.with_suffix(".new").write_bytes(data)
            self.path.with_suffix(".new").rename(self.path)
        return not bad, kind

    def next_servers(self) -> dict[str, tuple[str, int]]:
        """Return the next list; at most half of the ready servers go."""
        ready = {item for item in self.servers.items() if item[1][0] == "ready"}
        while True:
            servers = self.draw_servers()
            if len(ready - set(servers.items())) <= 0.5 * len(ready):
                return servers

    def draw_servers(self) -> dict[str, tuple[str, int]]:
        """Return any list with the stable servers; now and then one drains or moves."""
        rng = self.rng
        servers = {name: ("ready", self.places[name][0]) for name in STABLE_NAMES}
        for name in NAMES[3:]:
            if rng.random() < 0.6:
                state = "draining" if rng.random() < 0.15 else "ready"
                servers[name] = state, self.places[name][rng.randrange(2)]
        return servers

    async def settled(self, good: bool) -> str:
        """Wait until the source has state_changed on what the file holds; return how."""
        while True:
            self.source.state_changed.clear()
            status = self.source.describe()
            digest = digest_on_disk(self.path)
            for word in ("used", "held", "refused"):
                if status[word] is not None and status[word]["digest"] == digest:
                    assert good == (word == "used"), status
                    return word
            await with_timeout(self.source.state_changed.wait())


def digest_on_disk(path: Path) -> str:
    """Return the digest of what the file holds now."""
    return digest_of(read_files(path, is_directory=False))
