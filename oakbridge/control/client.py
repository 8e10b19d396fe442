"""The other end of the control socket: a plain blocking client, for the command line."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from oakbridge.control import protocol


class Unreachable(Exception):
    """No node answers there; the text says why."""


class ControlClient:
    """One connection to a node's control socket."""

    def __init__(self, path: Path, timeout_s: float = 5.0) -> None:
        """Connect.  Raises :class:`Unreachable`."""
        self._path = path
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(timeout_s)
        self._lines = protocol.Lines(protocol.MAX_ANSWER)
        try:
            self._socket.connect(str(path))
        except OSError as e:
            self._socket.close()
            raise Unreachable(f"{path}: no node answers there ({e.strerror or e})") from None

    def ask(self, do: str, **arguments: Any) -> Any:
        """Ask; raises :class:`Unreachable`, or :class:`protocol.Refusal` with what the node says."""
        try:
            self._socket.sendall(protocol.request(do, arguments))
            while True:
                data = self._socket.recv(256 * 1024)
                if not data:
                    raise Unreachable(f"{self._path}: the node closed the connection")
                if lines := self._lines.feed(data):
                    return protocol.read_answer(lines[0])
        except OSError as e:
            raise Unreachable(f"{self._path}: {e.strerror or e}") from None
        except protocol.ProtocolError as e:
            raise Unreachable(f"{self._path}: not a node's control socket: {e}") from None

    def close(self) -> None:
        """Hang up."""
        self._socket.close()

    def __enter__(self) -> ControlClient:
        """Use it for a while."""
        return self

    def __exit__(self, *_: object) -> None:
        """Hang up."""
        self.close()
