"""An agent's start where a system call fails for a moment."""

import errno
import os
import socket
from pathlib import Path

import pytest

from oakbridge.agent import startup
from oakbridge.agent.config import read_agent_config
from oakbridge.agent.errors import AgentConfigError, AgentConfigUnreadableError
from oakbridge.agent.node_process import listener_pid
from oakbridge.agent.startup import retry_while_unavailable


@pytest.mark.parametrize(
    ("error", "raised"),
    [(errno.ENOMEM, True), (errno.EAGAIN, False), (errno.ECONNREFUSED, False)],
)
def test_a_running_node_is_not_taken_for_none_as_a_connect_fails(
    monkeypatch, tmp_path, error, raised
):
    path = tmp_path / "node.sock"
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(path))
        listener.listen()
        assert listener_pid(path) == os.getpid()

        def fails(*_):
            raise OSError(error, os.strerror(error))

        monkeypatch.setattr(socket.socket, "connect", fails, raising=False)
        if raised:
            with pytest.raises(OSError, match=os.strerror(error)):
                listener_pid(path)
        else:
            assert listener_pid(path) is None


def test_a_configuration_that_can_not_be_read_for_a_moment_is_read_again(monkeypatch, tmp_path):
    monkeypatch.setattr(startup, "RETRY_INTERVAL_S", 0.01)
    path, reads = tmp_path / "agent.toml", []
    path.write_text("name = 3\n")
    read_text = Path.read_text

    def fails_twice(self, *arguments):
        reads.append(self)
        if len(reads) < 3:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        return read_text(self, *arguments)

    monkeypatch.setattr(Path, "read_text", fails_twice)
    with pytest.raises(AgentConfigError) as told:
        retry_while_unavailable(lambda: read_agent_config(path))
    assert not isinstance(told.value, AgentConfigUnreadableError)
    assert len(reads) == 3
    monkeypatch.setattr(startup, "RETRY_TIMEOUT_S", 0.0)
    reads.clear()
    with pytest.raises(AgentConfigUnreadableError, match="Input/output error"):
        retry_while_unavailable(lambda: read_agent_config(path))
