"""What workers share, who gets connections, who runs when: tables, and a crew that lives by seed."""

import random

import pytest

from oakbridge.control.paths import worker_socket_path
from oakbridge.node.config import Config
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Endpoint, EndpointListReceived
from oakbridge.policy.settings import RequestClass, Settings
from oakbridge.process import supervisor as sup
from oakbridge.workers import wire
from oakbridge.workers.crew import Crew, Do, Join, Over, Part, Say
from oakbridge.workers.report import merge
from oakbridge.workers.share import BadShare, share
from oakbridge.workers.spread import UNSEEN_MOST, Handed, Spread

S = 1_000_000


def config(**more):
    klass = RequestClass("look", 2_500_000, 6_000_000, idempotency="safe")
    settings = Settings(
        classes=(klass,), **({"replica_count": 3, "max_open_requests": 10, "retry_floor": 0.4} | more)
    )
    return Config("n", ("127.0.0.1", 1), None, 7, 1024, None, settings)


@pytest.mark.parametrize("workers", [1, 2, 4, 8])
def test_all_workers_together_may_what_one_node_may(workers, tmp_path):
    parts = [share(config(), w, workers) for w in range(1, workers + 1)]
    assert len({p.seed for p in parts}) == len({p.name for p in parts}) == workers
    assert sum(p.sockets for p in parts) <= 1024
    assert sum(p.settings.retry_floor for p in parts) == pytest.approx(0.4)
    assert all(p.settings.replica_count == 3 * workers and p.settings.max_open_requests >= 1 for p in parts)
    # What the module makes of it: least limits and first limits of all workers add up to those of one.
    listed = EndpointListReceived([Endpoint(f"s{i}") for i in range(60)])
    whole, parted = [Balancer(c.settings, c.seed) for c in (config(), parts[0])]
    for b in (whole, parted):
        b.handle(1, listed)
    assert parted.admission.min_limit * workers == pytest.approx(whole.admission.min_limit)
    assert parted.admission.limit * workers == pytest.approx(whole.admission.limit)
    for b, many in ((whole, 1), (parted, workers)):  # and so do their retries: the same traffic, a part each
        for i in range(120 // many):
            b.budget.window.add_first(S + i)
    assert parted.budget.left(2 * S) * workers == pytest.approx(whole.budget.left(2 * S))


@pytest.mark.parametrize(
    ("workers", "why"), [(0, "expected 1 to 64"), (65, "expected 1 to 64"), (9, "at least 1152")]
)
def test_a_share_that_can_not_be(workers, why):
    with pytest.raises(BadShare, match=why):
        share(config(), 1, workers)


@pytest.mark.parametrize("connections", [3, 8, 10, 257])
def test_connections_are_even_whether_accounts_come_late_or_not(connections):
    rng, spread = random.Random(connections), Spread()
    had = dict.fromkeys(range(4), 0)
    for worker in had:
        spread.join(worker, 1000)
    handed = dict.fromkeys(had, 0)
    for _ in range(connections):
        worker = spread.pick()
        had[worker], handed[worker] = had[worker] + 1, handed[worker] + 1
        if rng.random() < 0.5:
            spread.told(worker, had[worker], handed[worker])
    assert max(had.values()) - min(had.values()) <= 1
    for worker in (0, 0, 1):  # some hang up: what comes next goes there
        had[worker] = max(0, had[worker] - 1)
    for worker in had:
        spread.told(worker, had[worker], handed[worker])
    emptiest = min(had.values())
    assert had[spread.pick()] == emptiest


def test_a_worker_that_is_frozen_full_or_gone_gets_nothing():
    spread = Spread()
    spread.join(1, 100)
    spread.join(2, 5)
    got = [spread.pick() for _ in range(200)]
    assert got.count(1) == UNSEEN_MOST and got.count(2) == 5 and not spread.room()
    spread.told(1, 0, 10**6)  # of more than it was handed: not believed
    spread.told(9, 0, 0)
    assert not spread.room()
    spread.told(1, 3, UNSEEN_MOST)
    assert spread.pick() == 1 and spread.counts()[1] == 4
    spread.leave(1)
    assert spread.pick() is None
    spread.join(1, 100)
    assert spread.counts()[1] == 0 and spread.pick() == 1


@pytest.mark.parametrize("seed", range(20))
def test_what_a_dead_worker_never_accounted_for_is_left_and_nothing_else(seed):
    draw, handed, given, seen = random.Random(seed), Handed[int](), 0, 0
    for _ in range(200):
        if draw.random() < 0.6:
            handed.left.append(given)
            given += 1
        elif draw.random() < 0.8:
            upto = draw.randint(
                0, given + 3
            )  # also an old account, and one that knows of more than was handed
            assert handed.told(upto) == list(range(seen, min(max(seen, upto), given)))
            seen = max(seen, min(upto, given))
        assert list(handed.left) == list(range(seen, given))


@pytest.mark.parametrize("message", [wire.Ready(7), wire.Account(3, 9)])
def test_packets_come_back_as_they_were(message):
    assert wire.decode(wire.encode(message)) == message


@pytest.mark.parametrize(
    "packet",
    [b"", b"{", b"[]", b"7", b"[" * 4000, b'{"do":"ready"}', b'{"do":"ready","most":-1}', b'{"do":"x","most":1}',
     b'{"do":"ready","most":true}', b'{"do":"account","had":1}', b'{"do":"ready","most":1,"more":2}', b"\xff\xfe"],
)  # fmt: skip
def test_packets_that_nobody_sends_are_refused(packet):
    with pytest.raises(wire.BadPacket, match="expected"):
        wire.decode(packet)


class World:
    """A crew whose processes are played: they start, die, hang and end as a seed says."""

    def __init__(self, seed, workers=4):
        self.rng, self.now, self.crew = random.Random(seed), 0, Crew(workers)
        self.alive: dict[int, str] = {}  # worker: starting, up, leaving
        self.joined: set[int] = set()
        self.said: list[str] = []
        self.wakes: list[tuple[int, int]] = []
        self.code = None

    def do(self, actions):
        for a in actions:
            assert self.code is None
            if isinstance(a, Join):
                assert self.alive[a.worker] == "up"
                self.joined.add(a.worker)
            elif isinstance(a, Part):
                self.joined.remove(a.worker)
            elif isinstance(a, Say):
                self.said.append(a.text)
            elif isinstance(a, Over):
                assert not self.alive
                self.code = a.code
            elif isinstance(a, Do):
                self.one(a.worker, a.action)

    def one(self, worker, action):
        if isinstance(action, sup.Start):
            assert worker not in self.alive  # never two of one worker
            self.alive[worker] = "starting"
        elif isinstance(action, sup.Stop):
            assert worker in self.alive
            self.alive[worker] = "leaving"
        elif isinstance(action, sup.SetTimer):
            self.wakes.append((action.at, worker))
        elif worker in self.alive:
            self.dies(worker, "SIGKILL", None)

    def dies(self, worker, how, code):
        del self.alive[worker]
        self.do(self.crew.exited(worker, how, code, self.now))

    def up(self, worker):
        self.alive[worker] = "up"
        self.do(self.crew.ready(worker, 100, self.now))

    def step(self, faults=True):
        self.now += self.rng.randrange(S)
        due = [w for w in self.wakes if w[0] <= self.now]
        self.wakes = [w for w in self.wakes if w[0] > self.now]
        for _, worker in due:
            self.do(self.crew.tick(worker, self.now))
        for worker, state in list(self.alive.items()):
            draw = self.rng.random()
            if self.alive.get(worker) != state:
                continue
            if faults and draw < 0.1:
                self.dies(worker, "exit code 1", 1)
            elif state == "starting" and draw < 0.7:
                self.up(worker)
            elif state == "leaving" and draw < 0.7:
                self.dies(worker, "exit code 0", 0)

    def settle(self):
        for _ in range(400):
            self.step(faults=False)


@pytest.mark.parametrize("seed", range(40))
def test_a_crew_lives_through_crashes_and_rolling_restarts_and_ends(seed):
    world = World(seed)
    world.do(world.crew.start(0))
    for _ in range(60):
        world.step()
        if world.rng.random() < 0.1:
            world.do(world.crew.roll(world.now))
        assert (
            sum(state == "leaving" for state in world.alive.values()) <= 1
        )  # a rolling restart takes one at a time
    world.settle()
    assert world.joined == set(world.alive) == set(world.crew.machines)
    before = list(world.said)
    world.do(world.crew.roll(world.now))
    world.settle()
    assert world.said[len(before) :] == ["the rolling restart is done"] and len(world.joined) == 4
    world.do(world.crew.end(world.now))
    assert world.joined == set(world.alive)  # until they have ended they take what still comes
    world.settle()
    assert world.code == 0 and not world.joined
    assert world.crew.roll(world.now) == []


def test_a_rolling_restart_stops_where_a_worker_does_not_come_back():
    world = World(1)
    world.do(world.crew.start(0))
    world.settle()
    world.do(world.crew.roll(world.now))
    world.dies(1, "exit code 0", 0)
    world.dies(1, "exit code 2", 2)  # the new configuration can't be used
    assert "stops: worker 1 did not come back" in world.said[-1] and world.joined == {2, 3, 4}


def test_a_configuration_that_none_can_use_ends_the_supervisor_as_one_node_would():
    world = World(1)
    world.do(world.crew.start(0))
    for worker in (2, 1, 3, 4):
        if worker in world.alive:
            world.dies(worker, "exit code 2", 2)
    assert world.code == 2


def account(worker, out, state="up", **more):
    row = {
        "name": "s",
        "state": state,
        "out": out,
        "subset": True,
        "ejected_for": 0.0,
        "warmth": 1.0,
        "slowness": 1.0,
    }
    return {
        "pid": worker, "uptime_s": 1.0, "ready": True, "leaving": False, "callers": 2, "connections": 3, "out": out,
        "limit": 10.0, "waiting": 1, "open_requests": 4, "retries_left": 1.5, "attempts_per_s": 5.0 * worker,
        "fail_rate": 0.1 * worker, "servers": 1, "subset": 1, "ejected": 0, "list_version": worker,
        "answers": {"served": 10, "refused": 1, "failed": 0}, "rows": [row], "source": {"kind": "file"},
    } | more  # fmt: skip


def test_one_account_of_all_workers():
    told = {1: account(1, 2), 2: account(2, 3, "ejected", ready=False), 3: "waiting: no node answers there"}
    one = merge({"name": "n", "pid": 99}, told, 10)
    assert (one["name"], one["pid"], one["out"], one["callers"], one["limit"]) == ("n", 99, 5, 4, 20.0)
    assert one["answers"]["served"] == 20 and one["ready"] and not one["leaving"]
    assert one["fail_rate"] == pytest.approx((0.1 * 5 + 0.2 * 10) / 15, abs=1e-3)
    assert one["rows"][0]["out"] == 5 and one["rows"][0]["state"] == "ejected"
    assert one["workers"][2] == {"worker": 3, "problem": "waiting: no node answers there"}
    assert merge({"name": "n"}, {1: "it died"}, 10)["ready"] is False


def test_each_worker_has_a_socket_beside_the_nodes_own(tmp_path):
    assert worker_socket_path(tmp_path / "n.sock", 3) == tmp_path / "n.3.sock"
