"""A tool that kills itself by SIGKILL at a write of its journal: `FLEET WORD ROLLOUT WRITE before|after`; see the test.

With ROLLOUT 0 it begins a change to WORD, otherwise it resumes; WRITE 0 is never reached.  Prints its report.
"""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from played import QUICK, config, fates

from oakbridge.cli.fleet import operator_of
from oakbridge.cli.rollout import find_targets
from oakbridge.rollout.change import Whole
from oakbridge.rollout.conduct import Conductor
from oakbridge.rollout.journal import Entry, Journal
from oakbridge.rollout.machine import Record
from oakbridge.rollout.plan import Waves, plan


class Deadly(Journal):
    """Counts its writes."""

    left, side = 0, ""

    def _write(self, write):
        self.left -= 1
        if self.left == 0 and self.side == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        write()
        if self.left == 0:
            os.kill(os.getpid(), signal.SIGKILL)

    def add(self, entry):
        self._write(lambda: super(Deadly, self).add(entry))

    def keep(self, rollout, record):
        self._write(lambda: super(Deadly, self).keep(rollout, record))


async def main(folder: Path, word: str, rollout: int, write: int, side: str) -> None:
    operator, journal = operator_of(folder, "admin", 5.0), Deadly(folder)
    journal.left, journal.side = write, side
    held = await operator.acquire_lease(60.0)
    assert held.has_majority(len(operator.inventory.agents))
    if rollout:
        entry = journal.entry(rollout)
        change, record = entry.change, entry.record
    else:
        targets, unseen = await find_targets(operator, ())
        assert not unseen
        rollout, change = held.token, Whole(config(word))
        waves = plan(targets, Waves(1, (1.0,), False, 2))
        record = Record(tuple(map(tuple, waves)), 2, False)
        journal.add(Entry(rollout, "admin", 0.0, 0.0, "", change, record))
    conductor = Conductor(operator, journal, rollout, change, record, held, QUICK)
    await conductor.run()
    print(json.dumps(fates(conductor)))
    await operator.release_lease(conductor.held)
    operator.close()


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), sys.argv[5]))
