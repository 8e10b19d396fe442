"""A blocking client of the control socket, for the command line and for a supervisor's threads."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from oakbridge.control.errors import NodeUnreachableError, ProtocolError
from oakbridge.control.protocol import (
    MAX_RESPONSE_BYTES,
    ControlCommand,
    LineSplitter,
    decode_response,
    encode_request,
)

DEFAULT_TIMEOUT_S = 5.0  # for each system call on the socket
RECEIVE_BYTES = 256 * 1024


class ControlClient:
    """One connection to a node's control socket, which carries one request at a time."""

    def __init__(self, path: Path, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        """Connect.  Raises NodeUnreachableError.

        ``timeout_s``: for each system call on the socket, not for a request as a whole.
        """
        self._path = path
        self._lines = LineSplitter(MAX_RESPONSE_BYTES)
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(timeout_s)
        try:
            self._socket.connect(str(path))
        except OSError as error:
            self._socket.close()
            raise NodeUnreachableError(
                path, f"no node answers there ({error.strerror or error})"
            ) from None

    def request(self, command: ControlCommand, **arguments: Any) -> Any:
        """Send a request and return the result in its response.

        Raises NodeUnreachableError, or RequestRejectedError with the node's reason.
        """
        try:
            self._socket.sendall(encode_request(command, arguments))
            return decode_response(self._receive_line())
        except OSError as error:
            raise NodeUnreachableError(self._path, f"{error.strerror or error}") from None
        except ProtocolError as error:
            raise NodeUnreachableError(
                self._path, f"not a node's control socket: {error}"
            ) from None

    def _receive_line(self) -> bytes:
        while data := self._socket.recv(RECEIVE_BYTES):
            if lines := self._lines.feed(data):
                return lines[0]
        raise NodeUnreachableError(self._path, "the node closed the connection")

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def __enter__(self) -> ControlClient:
        """Return the connected client."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self.close()
