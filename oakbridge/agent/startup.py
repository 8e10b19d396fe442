"""Start an agent although its disk fails for a moment: what fails is tried again for a while."""

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
    """Return what a call returns, made again while the disk fails.

    Blocks: for the start of an agent.  Raises StoreUnavailableError or AgentConfigUnreadableError
    after :data:`RETRY_TIMEOUT_S`.
    """
    give_up_at = time.monotonic() + RETRY_TIMEOUT_S
    logged = False
    while True:
        try:
            return call()
        except (StoreUnavailableError, AgentConfigUnreadableError) as error:
            if time.monotonic() >= give_up_at:
                raise
            if not logged:
                log.warning("the disk fails and is tried again: %s", error)
                logged = True
        time.sleep(RETRY_INTERVAL_S)
