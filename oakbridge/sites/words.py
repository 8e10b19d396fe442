"""What nodes see of each site's servers, pooled: many nodes that each met a few servers know together.  Pure.

A word counts servers, not calls: a single slow one can't condemn its site, however many calls it spoils.  Who holds a
site for gone sends nothing there and soon has nothing fresh to say: its verdict speaks for it, as one server that
failed, to those that have none yet.  Whether a site is back is for fresh words alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from oakbridge.peers.messages import SiteObservation, SiteVerdict

FRESH = 4_000_000  # microseconds; what is older says nothing about now
VOICES = 3  # that must have met a site's servers, or as many as are in reach


@dataclass(frozen=True, slots=True)
class Voice:
    """One node's words, and how old they are."""

    name: str
    site: str  # its own
    age: int  # microseconds
    words: tuple[SiteObservation, ...]


@dataclass(frozen=True, slots=True)
class Evidence:
    """All fresh words about one site."""

    good: int = 0  # servers that answered last, summed over nodes
    mute: int = 0  # whose last call met silence
    dead: int = 0  # whose last call was refused or broken off
    voices: int = 0  # nodes that met any of its servers
    speakers: int = 0  # nodes that said anything fresh
    by: tuple[str, ...] = ()  # some of those that found failures
    elsewhere: bool = False  # nodes of a third site find it well while ours do not
    unreached: bool = False  # none of its nodes is in reach either
    listed: int = 1000  # servers that it has

    @property
    def bad(self) -> int:
        """Servers that failed last."""
        return self.mute + self.dead

    @property
    def share(self) -> float:
        """The part that failed, of those met; 0 where none was."""
        met = self.good + self.bad
        return self.bad / met if met else 0.0

    def answered(self, wanted: int) -> bool:
        """Whether so many servers answered last, or as many as there are."""
        return self.good >= min(wanted, max(1, self.listed))

    @property
    def enough(self) -> bool:
        """Whether a verdict may rest on it."""
        return self.voices >= (1 if self.unreached else min(VOICES, max(1, self.speakers)))


def evidence(
    site: str,
    home: str,
    voices: Iterable[Voice],
    unreached: bool = False,
    listed: int = 1000,
    verdicts: bool = False,
) -> Evidence:
    """What is said of a site, as it concerns nodes of ``home``; ``unreached``: none of its nodes is in reach.

    ``verdicts``: whether those of others count beside what was met.

    The word of nodes in the site itself counts only where it is their own home: whether *they* reach their servers says
    nothing about the way from here.  Where nodes of this home have met it, theirs go before those of third sites: the
    way from there may be another one.
    """
    ours, others, speakers = list[Voice](), list[Voice](), 0
    for voice in voices:
        if voice.age > FRESH:
            continue
        speakers += 1
        voice = replace(voice, words=tuple(_counted(w, verdicts) for w in voice.words if w.site == site))
        if any(w.responding + w.timed_out + w.failed for w in voice.words):
            if voice.site == home:
                ours.append(voice)
            elif voice.site != site:
                others.append(voice)
    heard = ours if len(ours) >= VOICES or not others else ours + others
    good, mute, dead = _sums(heard)
    blame = [v.name for v in heard if any(w.timed_out + w.failed > w.responding for w in v.words)]
    theirs = _sums(others)
    elsewhere = bool(ours) and theirs[0] > theirs[1] + theirs[2] and mute + dead > good
    return Evidence(
        good, mute, dead, len(heard), speakers, tuple(sorted(blame)[:4]), elsewhere, unreached, listed
    )


def _counted(word: SiteObservation, verdicts: bool) -> SiteObservation:
    if not (verdicts and word.verdict) or word.responding + word.timed_out + word.failed:
        return word
    return SiteObservation(
        word.site, 0, int(word.verdict == SiteVerdict.CUT_OFF), int(word.verdict == SiteVerdict.LOST)
    )


def _sums(voices: Iterable[Voice]) -> tuple[int, int, int]:
    words = [w for v in voices for w in v.words]
    return sum(w.responding for w in words), sum(w.timed_out for w in words), sum(w.failed for w in words)
