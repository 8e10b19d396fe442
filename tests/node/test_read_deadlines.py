"""Progress of a client, measured by the bytes that it has not read yet."""

from oakbridge.node import read_deadlines, socket_state


def test_client_has_read_if_fewer_bytes_are_unacknowledged():
    assert read_deadlines.has_decreased(None, 5)
    assert read_deadlines.has_decreased(9, 5)
    assert not read_deadlines.has_decreased(5, 5)
    assert socket_state.unacknowledged_bytes(None) == 0
