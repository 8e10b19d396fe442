"""The selector behaves like the standard one, and retries changes after transient errors."""

import errno
import os
import random
import selectors
import socket
from contextlib import ExitStack, suppress

import pytest

from oakbridge.node import epoll_selector
from oakbridge.node.epoll_selector import EpollSelector

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


class FailingEpoll:
    """An epoll instance whose changes fail while ``error`` is set."""

    def __init__(self, epoll) -> None:
        self._epoll = epoll
        self.error = 0

    def _change(self, name, *arguments):
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return getattr(self._epoll, name)(*arguments)

    def register(self, *arguments):
        return self._change("register", *arguments)

    def modify(self, *arguments):
        return self._change("modify", *arguments)

    def unregister(self, *arguments):
        return self._change("unregister", *arguments)

    def __getattr__(self, name):
        return getattr(self._epoll, name)


@pytest.fixture
def failing():
    selector = EpollSelector()
    selector._epoll = FailingEpoll(selector._epoll)
    yield selector
    selector.close()


@pytest.fixture
def pair():
    one, other = socket.socketpair()
    with one, other:
        yield one, other


def ready(selector) -> dict[int, int]:
    return {key.fd: events for key, events in selector.select(0)}


@pytest.mark.parametrize("seed", range(20))
def test_it_reports_the_same_as_the_standard_selector(seed):
    rng = random.Random(seed)
    with ExitStack() as stack:
        both_selectors = [
            stack.enter_context(selector_class())
            for selector_class in (EpollSelector, selectors.EpollSelector)
        ]
        pairs = [socket.socketpair() for _ in range(4)]
        sockets = [sock for pair in pairs for sock in pair]
        for sock in sockets:
            stack.callback(sock.close)
            sock.setblocking(False)
        for _ in range(200):
            sock, events = rng.choice(sockets), rng.choice((READ, WRITE, READ | WRITE))
            name, *arguments = rng.choice(
                (("register", sock, events), ("modify", sock, events), ("unregister", sock))
            )
            results = []
            for selector in both_selectors:
                try:
                    results.append(getattr(selector, name)(*arguments))
                except KeyError:
                    results.append(KeyError)
            assert results[0] == results[1]
            rng.choice(sockets).send(b"x")
            if rng.random() < 0.5:
                with suppress(BlockingIOError):
                    rng.choice(sockets).recv(100)
            assert ready(both_selectors[0]) == ready(both_selectors[1])
            assert dict(both_selectors[0].get_map()) == {
                key.fd: key for key in both_selectors[1].get_map().values()
            }


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.ENOSPC])
def test_a_change_that_failed_is_retried(failing, pair, error):
    one, other = pair
    other.send(b"x")
    failing._epoll.error = error
    failing.register(one, READ, "data")
    assert ready(failing) == {}
    assert failing.get_key(one).data == "data"
    failing._epoll.error = 0
    assert ready(failing) == {one.fileno(): READ}
    failing._epoll.error = error
    failing.modify(one, WRITE)
    assert ready(failing) == {}
    failing._epoll.error = 0
    assert ready(failing) == {one.fileno(): WRITE}
    failing._epoll.error = error
    failing.unregister(one)
    assert ready(failing) == {}
    failing._epoll.error = 0
    assert ready(failing) == {}
    failing.register(one, READ)
    assert ready(failing) == {one.fileno(): READ}


def test_a_wait_is_short_while_a_change_is_to_be_retried(failing, pair, monkeypatch):
    monkeypatch.setattr(epoll_selector, "RETRY_S", 0.001)
    failing._epoll.error = errno.ENOMEM
    failing.register(pair[0], READ)
    assert failing.select(None) == []
    assert failing.select(10.0) == []


def test_a_descriptor_number_that_was_closed_and_reused_is_registered_again(failing, pair):
    one, _ = pair
    failing.register(one, READ)
    failing._epoll.error = errno.ENOMEM
    failing.unregister(one)
    reused, peer = socket.socketpair()
    number = one.detach()
    with reused, peer:
        os.dup2(reused.fileno(), number)
        failing.register(number, READ)
        failing._epoll.error = 0
        peer.send(b"x")
        assert ready(failing) == {number: READ}
        failing.unregister(number)
        os.close(number)


def test_events_of_a_closed_descriptor_that_is_open_elsewhere_are_stopped(failing, pair):
    """The descriptor was passed to another process, and closed here before it was unregistered."""
    one, other = pair
    elsewhere = one.dup()
    kept, peer = socket.socketpair()
    with elsewhere, kept, peer:
        failing.register(one, READ)
        failing.register(kept, READ)
        failing._epoll.error = errno.ENOMEM
        failing.unregister(one)
        one.close()
        failing._epoll.error = 0
        other.send(b"x")
        peer.send(b"x")
        ready(failing)
        assert ready(failing) == {kept.fileno(): READ}
        assert failing._epoll.poll(0, 10) == [(kept.fileno(), 1)]


def test_a_descriptor_closed_before_a_change_is_retried_does_not_stop_the_loop(failing, pair):
    """Guards against a dial that is given up, and closed, before the loop unregisters it."""
    one, other = pair
    failing._epoll.error = errno.ENOMEM
    failing.register(one, READ)
    number = one.fileno()
    one.close()
    failing._epoll.error = 0
    assert ready(failing) == {}
    assert number not in failing.get_map()
    failing.register(other, WRITE)
    assert ready(failing) == {other.fileno(): WRITE}


def test_a_change_that_can_never_succeed_raises(failing, tmp_path):
    with (tmp_path / "file").open("wb") as file:
        with pytest.raises(PermissionError):
            failing.register(file, READ)
        assert file.fileno() not in failing.get_map()
    with pytest.raises(ValueError, match="descriptor"):
        failing.register(-1, READ)


# Guards against timers that are late because one turn of the event loop serves all connections.
def test_one_turn_reports_few_descriptors_and_the_next_turns_report_the_others():
    with ExitStack() as stack:
        selector = stack.enter_context(EpollSelector())
        reading = []
        for _ in range(3 * epoll_selector.MAX_READY):
            one, other = socket.socketpair()
            stack.enter_context(one)
            stack.enter_context(other)
            other.send(b"x")
            selector.register(one, READ)
            reading.append(one.fileno())
        turns = [ready(selector) for _ in range(3)]
        assert [len(turn) for turn in turns] == [epoll_selector.MAX_READY] * 3
        assert sorted(number for turn in turns for number in turn) == sorted(reading)
