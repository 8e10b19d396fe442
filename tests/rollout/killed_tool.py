"""A tool that kills itself by SIGKILL at one write of its journal, for ``test_killed_tool.py``.

Usage: killed_tool.py FLEET AIM ROLLOUT WRITE before|after.  With ROLLOUT 0 the tool begins a
rollout to AIM, otherwise it resumes ROLLOUT.  WRITE counts from 1; with 0 the tool is not killed.
Prints the outcome of each instance as JSON.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from simulated_fleet import QUICK, files_with_aim, outcomes

from oakbridge.cli.fleet import operator_client
from oakbridge.cli.rollout.session import find_targets
from oakbridge.rollout.change import ReplaceFiles
from oakbridge.rollout.coordinator import Coordinator
from oakbridge.rollout.journal import Journal, JournalEntry
from oakbridge.rollout.plan import WaveOptions, plan_waves
from oakbridge.rollout.record import RolloutRecord


class KillingJournal(Journal):
    """Kills its process before or after one of its writes."""

    def __init__(self, folder: Path, fatal_write: int, side: str) -> None:
        super().__init__(folder)
        self._writes_left, self._side = fatal_write, side

    def _write(self, write) -> None:
        self._writes_left -= 1
        if self._writes_left == 0 and self._side == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        write()
        if self._writes_left == 0:
            os.kill(os.getpid(), signal.SIGKILL)

    def add(self, entry):
        self._write(lambda: super(KillingJournal, self).add(entry))

    def update(self, rollout, record):
        self._write(lambda: super(KillingJournal, self).update(rollout, record))


async def main(folder: Path, aim: str, rollout: int, write: int, side: str) -> None:
    operator, journal = operator_client(folder, "admin", 5.0), KillingJournal(folder, write, side)
    lease = await operator.acquire_lease(60.0)
    assert lease.has_majority(len(operator.inventory.agents))
    if rollout:
        entry = journal.entry(rollout)
    else:
        targets, unseen = await find_targets(operator, ())
        assert not unseen
        waves = plan_waves(targets, WaveOptions(canary=1, shares=(1.0,), max_unavailable=2))
        record = RolloutRecord(waves, max_unavailable=2, auto_rollback=False)
        entry = JournalEntry(
            lease.token, "admin", 0.0, 0.0, "", ReplaceFiles(files_with_aim(aim)), record
        )
        journal.add(entry)
    coordinator = Coordinator(operator, journal, entry, lease, QUICK)
    await coordinator.run()
    print(json.dumps(outcomes(coordinator)))
    await operator.release_lease(coordinator.lease)
    operator.close()


if __name__ == "__main__":
    asyncio.run(
        main(Path(sys.argv[1]), sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), sys.argv[5])
    )
