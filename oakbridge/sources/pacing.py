"""Pauses in long work beside an event loop."""

from __future__ import annotations

import time

BATCH_SIZE = 64  # servers between two pauses
_PAUSE_S = 0.0002


def no_pause() -> None:
    """Go on at once: for callers that hold nobody up."""


def let_loop_run() -> None:
    """Let the loop's thread run: it would otherwise wait for the interpreter's switch interval."""
    time.sleep(_PAUSE_S)
