"""One site's state, as the nodes of one site hold it: moved by evidence and operators.  Pure.

    HEALTHY -> SUSPECT -> LOST | CUT_OFF -> RECOVERING -> WARMING_UP -> HEALTHY
    any -> DRAINING (then without requests) -> RECOVERING

The servers of a LOST site refuse; those of one that is CUT_OFF time out, or others reach it and we
do not.  Silence needs longer to be believed: it also comes from a moment's packet loss.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from oakbridge.sites.drain_ramp import DrainRamp
from oakbridge.sites.evidence import Evidence
from oakbridge.sites.recovery_ramp import (
    FAULT_FRACTION,
    MIN_RESPONDING_SERVERS,
    MIN_STEP_US,
    RampProgress,
    RecoveryRamp,
)

SUSPECT_ABOVE = 0.6  # unhealthy fraction of the servers called, from which on a site is suspect
TRUST_BELOW = 0.3  # up to which it may become healthy again
FAILED_VERDICT_AFTER_US = 500_000  # of suspicion, where servers refuse
SILENT_VERDICT_AFTER_US = 1_500_000  # where they time out
HEALTHY_AFTER_US = 1_000_000  # of good observations
SUSPICION_TIMEOUT_US = 8_000_000  # without enough evidence: twice as long as observations count
SUSPECT_FRACTION = 0.25  # of its usual requests
MIN_PROBE_RESPONSES = 2  # servers that must answer health checks before the ramp begins
# Observations from before the return count for some seconds more: it begins only well below the
# fraction that would end it at once.
RECOVER_BELOW = FAULT_FRACTION / 2
DRAIN_ABORTED_ABOVE = 0.3  # servers that kept such a fraction of their requests are warm
MAX_HISTORY = 32


class SiteState(StrEnum):
    """A site's state; operators read the values."""

    HEALTHY = "well"
    SUSPECT = "doubted"
    LOST = "lost"
    CUT_OFF = "cut off"
    RECOVERING = "returning"
    WARMING_UP = "warming"
    DRAINING = "held out"


@dataclass(frozen=True, slots=True)
class SiteTransition:
    """One change of a site's state, with its cause."""

    at_us: int
    site: str
    before: SiteState
    after: SiteState
    cause: str
    reporters: tuple[str, ...] = ()


@dataclass(slots=True)
class SiteStateMachine:
    """One site, its state and what may change it."""

    name: str
    is_home: bool  # whether the node that holds this is in it
    warm_up_us: int = 0
    min_step_us: int = MIN_STEP_US
    state: SiteState = SiteState.HEALTHY
    since_us: int = 0
    history: deque[SiteTransition] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    recovery: RecoveryRamp = field(init=False)
    drain: DrainRamp = field(init=False)
    _suspect_since_us: int = -1
    _good_since_us: int = -1
    _sufficient_at_us: int = 0  # when evidence was sufficient last, while suspect

    def __post_init__(self) -> None:
        """Make the ramps."""
        self.recovery = RecoveryRamp(self.is_home, self.min_step_us)
        self.drain = DrainRamp(self.min_step_us)

    @property
    def is_lost(self) -> bool:
        """Whether its requests go elsewhere."""
        return self.state in (SiteState.LOST, SiteState.CUT_OFF)

    @property
    def is_faulty(self) -> bool:
        """Whether it is lost or suspect."""
        return self.is_lost or self.state == SiteState.SUSPECT

    def fraction(self) -> float:
        """Return the fraction of its usual requests that it may have now."""
        match self.state:
            case SiteState.LOST | SiteState.CUT_OFF:
                return 0.0
            case SiteState.SUSPECT:
                return SUSPECT_FRACTION
            case SiteState.RECOVERING:
                return self.recovery.fraction()
            case SiteState.DRAINING:
                return self.drain.fraction()
            case SiteState.HEALTHY | SiteState.WARMING_UP:
                return 1.0

    def update(
        self,
        now_us: int,
        evidence: Evidence,
        *,
        drained: bool,
        other_site_faulty: bool,
        is_overloaded: bool,
    ) -> None:
        """Take in what is known now.

        ``drained``: operators want it out of use; ``is_overloaded``: the fleet rejects much.
        """
        if drained != (self.state == SiteState.DRAINING):
            self._override(now_us, drained=drained)
        match self.state:
            case SiteState.HEALTHY | SiteState.WARMING_UP:
                self._watch(now_us, evidence)
            case SiteState.SUSPECT:
                self._judge(now_us, evidence)
            case SiteState.LOST | SiteState.CUT_OFF:
                self._try_recovery(now_us, evidence)
            case SiteState.RECOVERING:
                self._recover(now_us, evidence, other_site_faulty=other_site_faulty)
            case SiteState.DRAINING:
                self.drain.advance(now_us, is_overloaded=is_overloaded)

    def _become(
        self, now_us: int, state: SiteState, cause: str, reporters: tuple[str, ...] = ()
    ) -> None:
        self.history.append(SiteTransition(now_us, self.name, self.state, state, cause, reporters))
        self.state = state
        self.since_us = now_us
        self._suspect_since_us = self._good_since_us = -1

    def _override(self, now_us: int, *, drained: bool) -> None:
        if drained:
            fraction = self.fraction()
            self._become(now_us, SiteState.DRAINING, "operators drain it")
            self.drain.begin(now_us, fraction)
            return
        self.recovery.retry_at_us = now_us
        if self.drain.fraction() >= DRAIN_ABORTED_ABOVE:
            cause = "operators took the drain back before it had lost its part"
            self._become(now_us, SiteState.HEALTHY, cause)
            return
        self.recovery.site_lost(now_us)
        self.recovery.retry_at_us = now_us
        self.recovery.begin(now_us)
        self._become(now_us, SiteState.RECOVERING, "operators return it")

    def _watch(self, now_us: int, evidence: Evidence) -> None:
        if evidence.is_sufficient and evidence.unhealthy_fraction >= SUSPECT_ABOVE:
            self._become(now_us, SiteState.SUSPECT, _describe(evidence), evidence.failure_reporters)
            self._suspect_since_us = self._sufficient_at_us = now_us
        if self.state == SiteState.WARMING_UP and now_us - self.since_us >= self.warm_up_us:
            cause = "has been back for as long as servers need to be warm"
            self._become(now_us, SiteState.HEALTHY, cause)

    def _judge(self, now_us: int, evidence: Evidence) -> None:
        if not evidence.is_sufficient:
            # Failed servers are ejected, so nobody calls them: that is no good observation.
            self._good_since_us = -1
            if now_us - self._sufficient_at_us >= SUSPICION_TIMEOUT_US:
                self._become(now_us, SiteState.HEALTHY, "nobody has met its servers for long")
            return
        self._sufficient_at_us = now_us
        if evidence.unhealthy_fraction >= SUSPECT_ABOVE:
            self._confirm_loss(now_us, evidence)
        elif evidence.unhealthy_fraction > TRUST_BELOW:
            # Neither: it stays suspect, and its time begins anew.
            self._suspect_since_us = now_us
            self._good_since_us = -1
        elif self._good_since_us < 0:
            self._good_since_us = now_us
        elif now_us - self._good_since_us >= HEALTHY_AFTER_US:
            self._become(now_us, SiteState.HEALTHY, f"{evidence.responding} servers answer again")

    def _confirm_loss(self, now_us: int, evidence: Evidence) -> None:
        self._good_since_us = -1
        silent = evidence.is_mostly_silent
        verdict_after_us = SILENT_VERDICT_AFTER_US if silent else FAILED_VERDICT_AFTER_US
        if now_us - self._suspect_since_us >= verdict_after_us:
            where = "; nodes of other sites reach it" if evidence.reachable_elsewhere else ""
            self._lose(now_us, evidence, _describe(evidence) + where)

    def _lose(self, now_us: int, evidence: Evidence, cause: str) -> None:
        self.recovery.site_lost(now_us)
        state = SiteState.CUT_OFF if evidence.is_mostly_silent else SiteState.LOST
        self._become(now_us, state, cause, evidence.failure_reporters)

    def _try_recovery(self, now_us: int, evidence: Evidence) -> None:
        answered = evidence.has_responses(MIN_PROBE_RESPONSES)
        is_well = answered and evidence.unhealthy_fraction <= RECOVER_BELOW
        if is_well and self.recovery.begin(now_us):
            cause = f"{evidence.responding} servers answered calls that looked"
            self._become(now_us, SiteState.RECOVERING, cause, evidence.failure_reporters)

    def _recover(self, now_us: int, evidence: Evidence, *, other_site_faulty: bool) -> None:
        progress = self.recovery.advance(
            now_us,
            enough_responses=evidence.has_responses(MIN_RESPONDING_SERVERS),
            unhealthy_fraction=evidence.unhealthy_fraction if evidence.is_sufficient else 0.0,
            hold=other_site_faulty,
        )
        if progress == RampProgress.FAULT:
            self._lose(now_us, evidence, "on its way back: " + _describe(evidence))
        elif progress == RampProgress.COMPLETE:
            self._become(now_us, SiteState.WARMING_UP, "carries its part again")


def _describe(evidence: Evidence) -> str:
    return (
        f"of {evidence.called} servers met by {evidence.reporters} nodes "
        f"{evidence.timed_out} are silent and {evidence.failed} refuse"
    )
