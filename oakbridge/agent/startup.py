"""Retry transient errors of the disk while an agent starts."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import TypeVar

from oakbridge.agent.errors import AgentConfigUnreadableError, StoreUnavailableError

log = logging.getLogger(__name__)

T = TypeVar("T")

RETRY_TIMEOUT_S = 30.0
RETRY_INTERVAL_S = 0.2


def retry_while_unavailable(call: Callable[[], T]) -> T:
    """Return the result of a call, which is retried while the disk fails.

    Blocks the event loop, and is therefore only for the start of an agent.  Raises
    StoreUnavailableError or AgentConfigUnreadableError after :data:`RETRY_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + RETRY_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return call()
        except (StoreUnavailableError, AgentConfigUnreadableError) as error:
            if time.monotonic() >= deadline_s:
                raise
            if not is_logged:
                log.warning("access to the agent's files failed; retrying: error=%s", error)
                is_logged = True
        time.sleep(RETRY_INTERVAL_S)
