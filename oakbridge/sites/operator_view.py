"""The JSON of ``oakbridge sites`` and ``oakbridge sites why``.

Only this module maps the code's names to the JSON keys.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from oakbridge.sites.evidence import Evidence
from oakbridge.sites.fleet_load_shedding import OVER_QUOTA
from oakbridge.sites.site_state import SiteStateMachine

if TYPE_CHECKING:
    from oakbridge.sites.node_sites import NodeSites, ReceivedReport

US_PER_S = 1e6
OVER_QUOTA_LABEL = "beyond shares"


def describe(
    sites: NodeSites, now_us: int, reports: Sequence[ReceivedReport] = ()
) -> dict[str, Any]:
    """Return one node's view of all sites, for ``oakbridge sites``.

    ``now_us``: monotonic; ``reports``: of all reachable members.
    """
    shedding = sites.shedding
    rejected = sites.decision.rejected_fractions
    versions = sorted((report.name, report.report.plan_version) for report in reports)
    return {
        "home": sites.home,
        "sites": [_site_row(sites, site, now_us) for _, site in sorted(sites.sites.items())],
        "level": round(shedding.level, 3),
        "level_by": shedding.leader,
        "refused": {_class_label(name): round(fraction, 3) for name, fraction in rejected.items()},
        "pressure": round(sites.overload, 4),
        "plan": sites.plan_version,
        "other_plans": {
            name: version for name, version in versions if version != sites.plan_version
        },
    }


def state_history(site: SiteStateMachine, now_us: int) -> list[dict[str, Any]]:
    """Return the changes of a site's state, oldest first, for ``oakbridge sites why``."""
    return [
        {
            "ago_s": round((now_us - transition.at_us) / US_PER_S, 1),
            "before": transition.before.value,
            "after": transition.after.value,
            "cause": transition.cause,
            "by": list(transition.reporters),
        }
        for transition in site.history
    ]


def _site_row(sites: NodeSites, site: SiteStateMachine, now_us: int) -> dict[str, Any]:
    evidence = sites.evidence.get(site.name, Evidence())
    retry_in_us = max(0, site.recovery.retry_at_us - now_us) if site.is_lost else 0
    return {
        "site": site.name,
        "own": site.is_home,
        "state": site.state.value,
        "since_s": round((now_us - site.since_us) / US_PER_S, 1),
        "part": sites.decision.zone_weights.get(site.name, 1.0),
        "good": evidence.responding,
        "mute": evidence.timed_out,
        "dead": evidence.failed,
        "by": list(evidence.failure_reporters),
        "flaps": site.recovery.failures,
        "again_in_s": round(retry_in_us / US_PER_S, 1),
        "held_by": sites.overrides.drained_by(site.name),
    }


def _class_label(name: str) -> str:
    return OVER_QUOTA_LABEL if name == OVER_QUOTA else name
