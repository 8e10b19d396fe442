"""The operators' calls: one line in, one line out that begins with YES or NO.  Pure.

A line is a word and, for two of them, the id of one server.  Words count in any case, space round them is free, and a
line may end in CR LF.  Whatever else comes gets a NO that says what was expected.
"""

from __future__ import annotations

from typing import Protocol

LINE_MOST = 1024  # bytes of a line, its end not counted
WITH_ID = ("OFFLINE", "ONLINE")
WORDS = ("HEALTH", *WITH_ID, "LEAVE", "JOIN")


class Refused(ValueError):
    """A call that gets a NO; the text says why."""


class Desk(Protocol):
    """Who carries calls out: the node.  Each raises :class:`Refused` for a no, and else says what holds now."""

    def health(self) -> str:
        """Whether this process can serve."""

    def offline(self, server: str) -> str:
        """Take a server out."""

    def online(self, server: str) -> str:
        """Use a server again."""

    def drain(self) -> str:
        """Empty the node."""

    def join(self) -> str:
        """End the drain."""


def parse(line: bytes) -> tuple[str, str]:
    """A call's word, in capitals, and the id it names, or an empty one.  Raises :class:`Refused`."""
    if len(line) > LINE_MOST:
        raise Refused(f"expected a line of at most {LINE_MOST} bytes")
    try:
        text = line.decode("utf-8").strip(" \t\r")
    except UnicodeDecodeError:
        raise Refused("expected text in UTF-8") from None
    if any(ord(c) < 32 and c != "\t" or ord(c) == 127 for c in text):
        raise Refused("expected no control characters")
    word, *ids = text.split() or [""]
    word = word.upper()
    if word not in WORDS:
        raise Refused(f"expected one of {', '.join(WORDS)}")
    if word in WITH_ID:
        if len(ids) != 1:
            raise Refused(f"expected {word} and one server's id, got {len(ids)}")
        return word, ids[0]
    if ids:
        raise Refused(f"expected {word} and nothing else")
    return word, ""


def carry_out(desk: Desk, word: str, server: str) -> str:
    """Have a call carried out.  Raises :class:`Refused`."""
    if word == "HEALTH":
        return desk.health()
    if word == "OFFLINE":
        return desk.offline(server)
    if word == "ONLINE":
        return desk.online(server)
    return desk.drain() if word == "LEAVE" else desk.join()


def answer(desk: Desk, line: bytes) -> bytes:
    """The answer to a line, as it is written."""
    try:
        return b"YES " + carry_out(desk, *parse(line)).encode() + b"\n"
    except Refused as e:
        return refusal(str(e))


def refusal(why: str) -> bytes:
    """A NO that says why, on one line whatever it quotes."""
    return b"NO " + " ".join(why.split()).encode("utf-8", "replace") + b"\n"
