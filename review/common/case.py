"""Runs a case: its exit code is 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.platform import CannotRunError, Platform
from common.record import Record

TIME_LIMIT_S = 110.0

# Returns the breaks of the rule that were seen; takes whether to make the disruption.
Scenario = Callable[[Platform, Record, bool], Awaitable[list[str]]]


def run_case(folder: Path, scenario: Scenario) -> None:
    """Run a case, write its record, and exit."""
    sys.exit(asyncio.run(_run(folder, scenario)))


async def _run(folder: Path, scenario: Scenario) -> int:
    # Stand-ins are cut off in the middle at the end of a case; asyncio would print each of them.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"case started, with the disruption: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory(prefix="oakbridge-review-") as temporary:
        platform = Platform(record, Path(temporary))
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                breaks = await scenario(platform, record, trouble)
        except (CannotRunError, OSError, TimeoutError):
            record.add(f"the case couldn't run: {traceback.format_exc(limit=-1).strip()}")
            return 2
        finally:
            await platform.stop()
            for line in platform.log().splitlines():
                record.add(f"node's log: {line[:300]}")
    for line in breaks:
        record.add(f"BROKEN: {line}")
    verdict = f"the rule was broken {len(breaks)} times" if breaks else "the rule held"
    record.add(verdict)
    print(verdict)
    return 1 if breaks else 0
