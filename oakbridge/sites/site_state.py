"""One site's state machine at a node; evidence and operators change its state.  No I/O.

    HEALTHY -> SUSPECT -> LOST | CUT_OFF -> RECOVERING -> WARMING_UP -> HEALTHY
    any -> DRAINING (at the end without requests) -> RECOVERING

The servers of a LOST site mostly fail; those of a CUT_OFF site mostly time out, possibly because
this node's site alone can't reach them.  A verdict on timeouts needs a longer suspicion, as brief
packet loss causes them, too.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from oakbridge.sites.drain_ramp import DrainRamp
from oakbridge.sites.evidence import Evidence
from oakbridge.sites.recovery_ramp import (
    FAULT_UNHEALTHY_FRACTION,
    MIN_RESPONDING_SERVERS,
    MIN_STEP_US,
    RampProgress,
    RecoveryRamp,
)

# A site is suspect from this unhealthy fraction of its called servers on.
SUSPECT_UNHEALTHY_FRACTION = 0.6
CLEAR_UNHEALTHY_FRACTION = 0.3  # a suspect site with at most this fraction may become healthy
FAILED_VERDICT_AFTER_US = 500_000  # time as suspect before a verdict on failures
TIMED_OUT_VERDICT_AFTER_US = 1_500_000  # time as suspect before a verdict on timeouts
HEALTHY_AFTER_US = 1_000_000  # how long good evidence must last to end a suspicion
# A suspicion without sufficient evidence ends after twice the age limit of observations.
SUSPICION_TIMEOUT_US = 8_000_000
SUSPECT_REQUEST_FRACTION = 0.25  # a suspect site gets this fraction of its usual requests
MIN_PROBE_RESPONSES = 2  # servers that must respond to probes before a recovery begins
# Observations from before the recovery still count for some seconds, and an unhealthy fraction
# above the fault fraction ends a recovery at once; so it begins only well below that.
RECOVERY_UNHEALTHY_FRACTION = FAULT_UNHEALTHY_FRACTION / 2
WARM_REQUEST_FRACTION = 0.3  # servers that kept at least this fraction of their requests are warm
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
    """One change of a site's state, its cause, and nodes that reported failures."""

    at_us: int
    site: str
    before: SiteState
    after: SiteState
    cause: str
    reporters: tuple[str, ...] = ()


@dataclass(slots=True)
class SiteStateMachine:
    """One site's state, and the ramps, overrides and evidence that change it."""

    name: str
    is_home: bool  # whether it is the node's own site
    warm_up_us: int = 0  # how long servers take to be warm after a recovery
    min_step_us: int = MIN_STEP_US
    state: SiteState = SiteState.HEALTHY
    since_us: int = 0
    history: deque[SiteTransition] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    recovery: RecoveryRamp = field(init=False)
    drain: DrainRamp = field(init=False)
    _suspect_since_us: int = -1
    _good_since_us: int = -1
    _sufficient_at_us: int = 0  # when the evidence was sufficient last; used while suspect

    def __post_init__(self) -> None:
        """Create the ramps."""
        self.recovery = RecoveryRamp(self.is_home, self.min_step_us)
        self.drain = DrainRamp(self.min_step_us)

    @property
    def is_lost(self) -> bool:
        """Whether the site is lost or cut off, so that its requests go to other sites."""
        return self.state in (SiteState.LOST, SiteState.CUT_OFF)

    @property
    def is_faulty(self) -> bool:
        """Whether the site is lost, cut off or suspect."""
        return self.is_lost or self.state == SiteState.SUSPECT

    def fraction(self) -> float:
        """Return the fraction of its usual requests that the site gets now."""
        match self.state:
            case SiteState.LOST | SiteState.CUT_OFF:
                return 0.0
            case SiteState.SUSPECT:
                return SUSPECT_REQUEST_FRACTION
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
        """Update the state from present evidence and overrides.

        ``drained``: whether operators drain the site; ``other_site_faulty``: whether any other site
        is faulty, which holds a recovery; ``is_overloaded``: whether the fleet is, which holds a
        drain.
        """
        if drained != (self.state == SiteState.DRAINING):
            self._apply_override(now_us, drained=drained)
        match self.state:
            case SiteState.HEALTHY | SiteState.WARMING_UP:
                self._check_in_service(now_us, evidence)
            case SiteState.SUSPECT:
                self._check_suspect(now_us, evidence)
            case SiteState.LOST | SiteState.CUT_OFF:
                self._try_recovery(now_us, evidence)
            case SiteState.RECOVERING:
                self._advance_recovery(now_us, evidence, other_site_faulty=other_site_faulty)
            case SiteState.DRAINING:
                self.drain.advance(now_us, is_overloaded=is_overloaded)

    def _change_state(
        self, now_us: int, state: SiteState, cause: str, reporters: tuple[str, ...] = ()
    ) -> None:
        self.history.append(SiteTransition(now_us, self.name, self.state, state, cause, reporters))
        self.state = state
        self.since_us = now_us
        self._suspect_since_us = self._good_since_us = -1

    def _apply_override(self, now_us: int, *, drained: bool) -> None:
        if drained:
            fraction = self.fraction()
            self._change_state(now_us, SiteState.DRAINING, "operators drain it")
            self.drain.begin(now_us, fraction)
            return
        self.recovery.retry_at_us = now_us
        if self.drain.fraction() >= WARM_REQUEST_FRACTION:
            cause = "operators took the drain back before it had lost its part"
            self._change_state(now_us, SiteState.HEALTHY, cause)
            return
        self.recovery.back_off(now_us)
        self.recovery.retry_at_us = now_us
        self.recovery.begin(now_us)
        self._change_state(now_us, SiteState.RECOVERING, "operators return it")

    def _check_in_service(self, now_us: int, evidence: Evidence) -> None:
        if evidence.is_sufficient and evidence.unhealthy_fraction >= SUSPECT_UNHEALTHY_FRACTION:
            self._change_state(
                now_us, SiteState.SUSPECT, _describe(evidence), evidence.failure_reporters
            )
            self._suspect_since_us = self._sufficient_at_us = now_us
        if self.state == SiteState.WARMING_UP and now_us - self.since_us >= self.warm_up_us:
            cause = "has been back for as long as servers need to be warm"
            self._change_state(now_us, SiteState.HEALTHY, cause)

    def _check_suspect(self, now_us: int, evidence: Evidence) -> None:
        if not evidence.is_sufficient:
            # Failed servers are ejected and get no attempts: missing evidence is not good evidence.
            self._good_since_us = -1
            if now_us - self._sufficient_at_us >= SUSPICION_TIMEOUT_US:
                self._change_state(now_us, SiteState.HEALTHY, "nobody has met its servers for long")
            return
        self._sufficient_at_us = now_us
        if evidence.unhealthy_fraction >= SUSPECT_UNHEALTHY_FRACTION:
            self._confirm_loss(now_us, evidence)
        elif evidence.unhealthy_fraction > CLEAR_UNHEALTHY_FRACTION:
            # Evidence for neither verdict restarts the suspicion.
            self._suspect_since_us = now_us
            self._good_since_us = -1
        elif self._good_since_us < 0:
            self._good_since_us = now_us
        elif now_us - self._good_since_us >= HEALTHY_AFTER_US:
            self._change_state(
                now_us, SiteState.HEALTHY, f"{evidence.responding} servers answer again"
            )

    def _confirm_loss(self, now_us: int, evidence: Evidence) -> None:
        self._good_since_us = -1
        timed_out = evidence.is_mostly_timed_out
        verdict_after_us = TIMED_OUT_VERDICT_AFTER_US if timed_out else FAILED_VERDICT_AFTER_US
        if now_us - self._suspect_since_us >= verdict_after_us:
            suffix = "; nodes of other sites reach it" if evidence.reachable_elsewhere else ""
            self._mark_lost(now_us, evidence, _describe(evidence) + suffix)

    def _mark_lost(self, now_us: int, evidence: Evidence, cause: str) -> None:
        self.recovery.back_off(now_us)
        state = SiteState.CUT_OFF if evidence.is_mostly_timed_out else SiteState.LOST
        self._change_state(now_us, state, cause, evidence.failure_reporters)

    def _try_recovery(self, now_us: int, evidence: Evidence) -> None:
        has_responses = evidence.has_responses(MIN_PROBE_RESPONSES)
        is_healthy = has_responses and evidence.unhealthy_fraction <= RECOVERY_UNHEALTHY_FRACTION
        if is_healthy and self.recovery.begin(now_us):
            cause = f"{evidence.responding} servers answered calls that looked"
            self._change_state(now_us, SiteState.RECOVERING, cause, evidence.failure_reporters)

    def _advance_recovery(
        self, now_us: int, evidence: Evidence, *, other_site_faulty: bool
    ) -> None:
        progress = self.recovery.advance(
            now_us,
            enough_responses=evidence.has_responses(MIN_RESPONDING_SERVERS),
            unhealthy_fraction=evidence.unhealthy_fraction if evidence.is_sufficient else 0.0,
            hold=other_site_faulty,
        )
        if progress == RampProgress.FAULT:
            self._mark_lost(now_us, evidence, "on its way back: " + _describe(evidence))
        elif progress == RampProgress.COMPLETE:
            self._change_state(now_us, SiteState.WARMING_UP, "carries its part again")


def _describe(evidence: Evidence) -> str:
    return (
        f"of {evidence.called_servers} servers met by {evidence.reporters} nodes "
        f"{evidence.timed_out} are silent and {evidence.failed} refuse"
    )
