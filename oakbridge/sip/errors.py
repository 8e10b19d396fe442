"""Errors of the SIP package."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakbridge.sip.message import Request


class SipMessageError(ValueError):
    """The received bytes are not a valid SIP message.

    ``status`` is the status of the response to the sender. ``request`` is the request as far as it
    was parsed, which the response is built from; None if there is too little for a response.
    """

    def __init__(self, text: str, status: int = 400, request: Request | None = None) -> None:
        super().__init__(text)
        self.status = status
        self.request = request
