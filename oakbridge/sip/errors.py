"""Errors of the SIP package."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakbridge.sip.message import Request


class SipMessageError(ValueError):
    """Bytes are not a valid SIP message.

    ``status`` is the status of the response to the sender; ``request`` is the request as far as it
    was read, if that is enough to send a response.
    """

    def __init__(self, text: str, status: int = 400, request: Request | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.request = request
