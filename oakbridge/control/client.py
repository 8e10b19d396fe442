"""The other end of the control socket: a plain blocking client, for the command line."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from oakbridge.control import protocol


class NodeUnreachableError(Exception):
    """No node answers there; the text says why."""


class ControlClient:
    """One connection to a node's control socket."""

    def __init__(self, path: Path, timeout_s: float = 5.0) -> None:
        """Connect.  Raises :class:`NodeUnreachableError`."""
        self._path = path
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(timeout_s)
        self._lines = protocol.LineSplitter(protocol.MAX_RESPONSE_BYTES)
        try:
            self._socket.connect(str(path))
        except OSError as e:
            self._socket.close()
            raise NodeUnreachableError(f"{path}: no node answers there ({e.strerror or e})") from None

    def ask(self, do: str, **arguments: Any) -> Any:
        """Ask.  Raises NodeUnreachableError, or RequestRejectedError with what the node says."""
        try:
            self._socket.sendall(protocol.encode_request(do, arguments))
            while True:
                data = self._socket.recv(256 * 1024)
                if not data:
                    raise NodeUnreachableError(f"{self._path}: the node closed the connection")
                if lines := self._lines.feed(data):
                    return protocol.decode_response(lines[0])
        except OSError as e:
            raise NodeUnreachableError(f"{self._path}: {e.strerror or e}") from None
        except protocol.ProtocolError as e:
            raise NodeUnreachableError(f"{self._path}: not a node's control socket: {e}") from None

    def close(self) -> None:
        """Hang up."""
        self._socket.close()

    def __enter__(self) -> ControlClient:
        """Use it for a while."""
        return self

    def __exit__(self, *_: object) -> None:
        """Hang up."""
        self.close()
