"""The ids that a process knows, its own and those of the node's other processes."""

from oakbridge.node.recent_ids import MAX_IDS, RETENTION_US
from oakbridge.node.request_ids import PeerRequestIds, RequestIds


class Processes:
    """The ids of one process with a predecessor and a successor, and the changes that they miss."""

    def __init__(self) -> None:
        self.now = 1_000
        self.ids = RequestIds(lambda: self.now)
        self.changed: dict[str, list[bytes]] = {"predecessor": [], "successor": []}
        self.predecessor, self.successor = (
            PeerRequestIds(self.changed[name].append) for name in ("predecessor", "successor")
        )
        for peer in (self.predecessor, self.successor, self.successor):
            self.ids.add_peer(peer)


def test_changes_are_passed_on_but_not_to_the_process_that_they_come_from():
    processes = Processes()
    ids = processes.ids
    ids.add_open(b"own", is_idempotent=False)
    ids.peer_opened(processes.predecessor, b"theirs", is_idempotent=True)
    assert ids.is_known(b"own")
    assert ids.is_known(b"theirs")
    assert processes.changed == {"predecessor": [b"own"], "successor": [b"own", b"theirs"]}
    assert ids.known_to_peer(processes.successor) == [b"theirs", b"own"]
    assert ids.known_to_peer(processes.predecessor) == [b"own"]
    assert ids.open_for(processes.successor, b"theirs") is True
    assert ids.open_for(processes.predecessor, b"theirs") is None
    ids.peer_closed(processes.predecessor, b"theirs")
    assert not ids.is_known(b"theirs")
    assert processes.changed["successor"][-1] == b"theirs"


def test_open_ids_of_a_lost_process_are_remembered_unless_they_may_run_twice():
    processes = Processes()
    ids = processes.ids
    ids.peer_opened(processes.predecessor, b"book", is_idempotent=False)
    ids.peer_opened(processes.predecessor, b"look", is_idempotent=True)
    ids.remove_peer(processes.predecessor)
    assert (ids.is_known(b"book"), ids.is_known(b"look")) == (True, False)
    assert ids.remembered_for(b"book") == RETENTION_US
    assert set(processes.changed["successor"]) == {b"book", b"look"}
    processes.now += RETENTION_US
    assert not ids.is_known(b"book")


def test_remembered_ids_keep_their_time_and_are_bounded_in_number():
    processes = Processes()
    ids = processes.ids
    ids.peer_remembers(processes.predecessor, b"old", 500)
    ids.peer_remembers(processes.predecessor, b"far", 10 * RETENTION_US)
    assert ids.remembered_for(b"far") == RETENTION_US
    processes.now += 500
    assert (ids.is_known(b"old"), ids.is_known(b"far")) == (False, True)
    for number in range(2 * MAX_IDS):
        ids.add_recent(b"%d" % number)
    assert len(ids.known_to_peer(processes.successor)) == MAX_IDS
