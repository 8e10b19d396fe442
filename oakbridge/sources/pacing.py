"""Pauses for long computations in a thread beside an event loop."""

from __future__ import annotations

import time

BATCH_SIZE = 64  # servers that are processed between two pauses
_PAUSE_S = 0.0002  # duration of one pause


def no_pause() -> None:
    """Do nothing: for computations that are short or delay no event loop."""


def let_event_loop_run() -> None:
    """Release the interpreter lock for a moment, so that the event loop's thread runs.

    That thread would otherwise wait for the interpreter's switch interval.
    """
    time.sleep(_PAUSE_S)
