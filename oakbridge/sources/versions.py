"""Which version of a server file is used, and when: the decisions of the watched files, without any I/O.

The machine is told what a look at the disk found, what a check said and when a version has been taken over;
it answers with what to do next.  There is at most one version in use and one on its way; a version
is used as a whole or not at all, and the last good one stays until another one has replaced it.

    look -> unsettled -> checking -> (refused | held | applying) -> in use -> saved

*Settling* guards against a file caught half written that reads well by chance: it must read the same twice,
``settle`` apart, or state its own checksum.  Where a file never stands still for so long, the wait shrinks,
so that a hundred rewrites a second can't keep every new version out.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState
from oakbridge.sources.formats import Parsed, Problem

MS = 1000
RESTLESS = 500 * MS  # a file that has not stood still for so long is waited for less
SHORT = 8  # times less
CUT = 2_000 * MS  # a file whose checksum has not fitted for so long is refused, not awaited
SAVE_AGAIN, SAVE_AGAIN_MOST = 1_000 * MS, 60_000 * MS


@dataclass(frozen=True, slots=True)
class Reading:
    """A look that found something: ``digest`` stands for all bytes of all files, with their names."""

    digest: str
    whole: bool | None = None  # whether every checksum line fits; None where a file has none


@dataclass(frozen=True, slots=True)
class Missing:
    """A look that found nothing that could be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class Version:
    """One complete, valid list."""

    number: int
    digest: str
    servers: dict[str, ListedEndpoint]


@dataclass(frozen=True, slots=True)
class Change:
    """What a new list changes against the one in use, by name, in the order of the file."""

    base: int  # the number of the version that it was compared with
    digest: str
    servers: dict[str, ListedEndpoint]  # the whole new list
    added: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()  # still there, with other facts
    moved: tuple[str, ...] = ()  # still there, at another address: another process under the name
    gone: tuple[str, ...] = ()
    lost: int = 0  # servers that were ready and are so no longer, or have moved
    of: int = 0  # servers that were ready

    @property
    def share(self) -> float:
        """The share of the ready servers that this change takes away."""
        return self.lost / self.of if self.of else 0.0

    def entries(self) -> list[ListedEndpoint]:
        """What changes, in the form of a list's delta."""
        return [self.servers[name] for name in (*self.added, *self.changed, *self.moved)]


@dataclass(frozen=True, slots=True)
class Held:
    """A valid list that takes too many servers away at once: it waits for somebody's word."""

    change: Change
    since: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A list that can't be used."""

    digest: str
    problems: tuple[Problem, ...]
    since: int


# ---- actions


@dataclass(frozen=True, slots=True)
class LookAgain:
    """Look at the disk after a while, whether or not anything is heard of a change."""

    delay: int


@dataclass(frozen=True, slots=True)
class Check:
    """Parse the reading with this digest and compare it with the version in use."""

    digest: str
    base: Version | None


@dataclass(frozen=True, slots=True)
class Apply:
    """Take a version over: whole, at one moment; then say so."""

    version: Version
    change: Change


@dataclass(frozen=True, slots=True)
class Save:
    """Keep a copy that outlives the process; then say how that went."""

    version: Version


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the log."""

    level: str  # info, warning or error
    text: str


Action = LookAgain | Check | Apply | Save | Say


def compare(base: Version | None, digest: str, parsed: Parsed, now: int, pause: Callable[[], None]) -> Change:
    """What a checked list changes.  A newcomer whose start the file does not tell counts as started now.

    Guards cold servers: one that joins a running fleet is new far more often than not, and one that is taken
    for new when it is not only gets its part a little later.  Entries that are equal stay the same objects.
    """
    old = base.servers if base is not None else {}
    added, changed, moved = [], [], []
    servers: dict[str, ListedEndpoint] = {}
    lost = of = 0
    for count, (name, entry) in enumerate(parsed.servers.items()):
        if count % 64 == 0:
            pause()
        before = old.get(name)
        if name not in parsed.dated:
            other = before is None or before.address != entry.address
            started = (now if base is not None else 0) if other else before.server.started_at  # type: ignore[union-attr]
            entry = ListedEndpoint(dataclasses.replace(entry.server, started_at=started), entry.address)
        if before is None:
            added.append(name)
        elif before == entry:
            entry = before
        elif before.address != entry.address:
            moved.append(name)
        else:
            changed.append(name)
        servers[name] = entry
    for count, (name, before) in enumerate(old.items()):
        if count % 64 == 0:
            pause()
        if before.server.state == EndpointState.UP:
            of += 1
            now_is = servers.get(name)
            lost += (
                now_is is None or now_is.server.state != EndpointState.UP or now_is.address != before.address
            )
    gone = tuple(name for name in old if name not in servers)
    return Change(
        base.number if base else 0,
        digest,
        servers,
        tuple(added),
        tuple(changed),
        tuple(moved),
        gone,
        lost,
        of,
    )


@dataclass(slots=True)
class Status:
    """What the machine believes, for whoever asks."""

    used: Version | None
    used_at: int
    held: Held | None
    refused: Refused | None
    missing: str
    saved: int  # the number of the version that the saved copy has; 0: none
    save_error: str


class Versions:
    """The machine.  Times are whole microseconds on one clock that only moves forward."""

    def __init__(self, settle: int = 30 * MS, most_lost: float = 0.5, saved: Version | None = None) -> None:
        """``saved`` is the last good version of an earlier run: it is in use until a newer one is."""
        self.settle, self.most_lost = settle, most_lost
        self.used = saved
        self.used_at = 0
        self.held: Held | None = None
        self.refused: Refused | None = None
        self.missing = ""
        self.applying: Version | None = None
        self.checking: Check | None = None
        self.unsettled: tuple[str, int] | None = None  # what was read, and when first
        self.restless_since: int | None = None
        self.saving = False
        self.saved = saved.number if saved is not None else 0
        self.save_error, self.save_wait = "", SAVE_AGAIN

    # ---- what a look found

    def looked(self, now: int, found: Reading | Missing) -> list[Action]:
        """Take the result of a look at the disk."""
        if isinstance(found, Missing):
            self.unsettled = self.restless_since = None
            said = found.reason != self.missing
            self.missing = found.reason
            kept = f"version {self.used.number} stays in use" if self.used else "there is no other version"
            return [Say("warning", f"{found.reason}; {kept}")] if said else []
        self.missing = ""
        if self.used is not None and found.digest == self.used.digest:
            self.held = self.refused = None  # the file is what it was
            return self._rest()
        if self.held is not None and found.digest == self.held.change.digest:
            return self._rest()
        if self.refused is not None and found.digest == self.refused.digest:
            return self._rest()
        return self._unsettled(now, found)

    def _rest(self) -> list[Action]:
        self.unsettled = self.restless_since = None
        return []

    def _unsettled(self, now: int, found: Reading) -> list[Action]:
        if self.restless_since is None:
            self.restless_since = now
        if self.unsettled is None or self.unsettled[0] != found.digest:
            self.unsettled = found.digest, now
        stood = now - self.unsettled[1]
        if found.whole is None:
            needed = self.settle // (SHORT if now - self.restless_since > RESTLESS else 1)
        else:
            needed = 0 if found.whole else CUT  # the check then says what is wrong with it
        if self.checking is not None or self.applying is not None:
            return []  # its end brings a look
        if stood < needed:
            return [LookAgain(min(needed - stood, self.settle))]
        self.unsettled = self.restless_since = None
        self.checking = Check(found.digest, self.used)
        return [self.checking]

    # ---- what a check said

    def checked(self, now: int, digest: str, outcome: Change | list[Problem] | None) -> list[Action]:
        """Take the end of a check: a change, the mistakes, or None if it was not made."""
        if self.checking is None or self.checking.digest != digest:
            return []
        self.checking = None
        if outcome is None:
            return [LookAgain(0)]
        if isinstance(outcome, list):
            self.held = None
            self.refused = Refused(digest, tuple(outcome), now)
            more = f" (and {len(outcome) - 1} more)" if len(outcome) > 1 else ""
            kept = f"; version {self.used.number} stays in use" if self.used else ""
            return [Say("error", f"not used: {outcome[0]}{more}{kept}"), LookAgain(0)]
        if outcome.base != (self.used.number if self.used else 0):
            return [LookAgain(0)]  # compared with a version that is no longer the one in use
        self.refused = None
        if self.used is not None and outcome.share > self.most_lost:
            self.held = Held(outcome, now)
            text = (
                f"held: it takes {outcome.lost} of {outcome.of} ready servers away at once (the most is "
                f"{self.most_lost:.0%}); version {self.used.number} stays until `oakbridge servers accept`"
            )
            return [Say("error", text), LookAgain(0)]
        return self._apply(outcome)

    def accept(self, now: int, digest: str = "") -> list[Action]:
        """Somebody's word that the held version is meant; ValueError says why there is nothing to accept."""
        if self.held is None:
            raise ValueError("no version is held")
        if not self.held.change.digest.startswith(digest):
            raise ValueError(f"the version that is held is {self.held.change.digest[:12]}, not {digest}")
        if self.applying is not None or self.checking is not None:
            raise ValueError("another version is on its way; ask again in a moment")
        change = self.held.change
        return [
            Say("warning", f"accepted by word: {change.lost} of {change.of} ready servers go"),
            *self._apply(change),
        ]

    def _apply(self, change: Change) -> list[Action]:
        self.held = None
        number = (self.used.number if self.used else 0) + 1
        self.applying = Version(number, change.digest, change.servers)
        return [Apply(self.applying, change)]

    def applied(self, now: int, number: int) -> list[Action]:
        """The version that was to be taken over is the one in use, from this moment."""
        if self.applying is None or self.applying.number != number:
            return []
        self.used, self.used_at, self.applying = self.applying, now, None
        return [
            Say("info", f"version {number} is in use: {len(self.used.servers)} servers"),
            *self._save(),
            LookAgain(0),
        ]

    # ---- the saved copy

    def _save(self) -> list[Action]:
        """One at a time, and always the newest: a hundred versions a second need no hundred copies."""
        if self.saving or self.used is None or self.saved == self.used.number:
            return []
        self.saving = True
        return [Save(self.used)]

    def save_ended(self, now: int, number: int, error: str = "") -> tuple[list[Action], int]:
        """A copy was written, or not; returns what follows, and how long to wait for ``save_due``."""
        self.saving = False
        if error:
            said = error != self.save_error
            self.save_error = error
            wait, self.save_wait = self.save_wait, min(2 * self.save_wait, SAVE_AGAIN_MOST)
            text = f"no copy of version {number} was kept: {error}; the one before it still is"
            return ([Say("error", text)] if said else []), wait
        self.saved, self.save_error, self.save_wait = number, "", SAVE_AGAIN
        return self._save(), 0

    def save_due(self) -> list[Action]:
        """Try again to keep a copy."""
        return self._save()

    def status(self) -> Status:
        """What it believes now."""
        return Status(
            self.used, self.used_at, self.held, self.refused, self.missing, self.saved, self.save_error
        )


__all__ = [
    "Apply", "Change", "Check", "Held", "LookAgain", "Missing", "Reading", "Refused", "Save", "Say", "Status",
    "Version", "Versions", "compare",
]  # fmt: skip
