"""Carries out what the instance's machine asks of the disk, in order; what it asks of processes goes on to others."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from pathlib import Path

from oakbridge.agent import instance as m
from oakbridge.agent.store import Files, Store, StoreError

Checker = Callable[[Path], str]  # a folder of files: what is wrong with them, in one line; "" if nothing


class Changer:
    """One instance's change-overs.  ``run`` and ``wake`` are told of what the disk has nothing to do with."""

    def __init__(
        self,
        store: Store,
        name: str,
        machine: m.Instance,
        check: Checker,
        run: Callable[[m.Generation], None],
        wake: Callable[[int], None],
    ) -> None:
        self.store, self.name, self.machine = store, name, machine
        self._check, self._run, self._wake = check, run, wake
        self._files: Files = {}

    def order(self, now: int, step: m.Step, files: Files, lease: Callable[[], str]) -> None:
        """Begin a step; raises :class:`m.Busy`.  ``lease`` says, just before the flip, why it may not go on."""
        actions = self.machine.order(now, step)
        if actions:
            self._files = files
        self.carry_out(now, actions, lease)

    def carry_out(self, now: int, actions: list[m.Action], lease: Callable[[], str] = lambda: "") -> None:
        """Do all that is asked, and what follows from it."""
        queue = deque(actions)
        while queue:
            action = queue.popleft()
            if isinstance(action, m.Keep):
                self.store.keep_record(self.name, action.record)
            elif isinstance(action, m.Stage):
                problem = self._stage(action.target)
                queue.extend(self.machine.staged(now, problem, lease()))
            elif isinstance(action, m.Unstage):
                self.store.unstage(self.name, action.target)
            elif isinstance(action, m.Flip):
                queue.extend(self.machine.flipped(now, self._flip(action.target)))
            elif isinstance(action, m.Run):
                self._run(action.target)
            else:
                self._wake(action.at)
        if self.machine.state is m.State.SETTLED:
            self._files = {}
            self.store.tidy(self.name, self.machine.record)

    def _stage(self, target: m.Generation) -> str:
        try:
            self.store.stage(self.name, target, self._files)
        except (StoreError, OSError) as e:
            return f"it can't be written: {e}"
        return self._check(self.store.place(self.name, target))

    def _flip(self, target: m.Generation) -> str:
        try:
            self.store.flip(self.name, target)
        except (StoreError, OSError) as e:
            return str(e)
        return ""
