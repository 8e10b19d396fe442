"""The start of an agent while system calls fail with transient errors."""

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
    ("error_number", "is_raised"),
    [(errno.ENOMEM, True), (errno.EAGAIN, False), (errno.ECONNREFUSED, False)],
)
def test_running_node_is_not_reported_missing_if_connect_fails(
    monkeypatch, tmp_path, error_number, is_raised
):
    path = tmp_path / "node.sock"
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(path))
        listener.listen()
        assert listener_pid(path) == os.getpid()

        def fails(*_):
            raise OSError(error_number, os.strerror(error_number))

        monkeypatch.setattr(socket.socket, "connect", fails, raising=False)
        if is_raised:
            with pytest.raises(OSError, match=os.strerror(error_number)):
                listener_pid(path)
        else:
            assert listener_pid(path) is None


def test_reading_the_configuration_is_retried(monkeypatch, tmp_path):
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
    with pytest.raises(AgentConfigError) as raised:
        retry_while_unavailable(lambda: read_agent_config(path))
    assert not isinstance(raised.value, AgentConfigUnreadableError)
    assert len(reads) == 3
    monkeypatch.setattr(startup, "RETRY_TIMEOUT_S", 0.0)
    reads.clear()
    with pytest.raises(AgentConfigUnreadableError, match="Input/output error"):
        retry_while_unavailable(lambda: read_agent_config(path))
