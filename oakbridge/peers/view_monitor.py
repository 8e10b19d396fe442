"""Keeps a node's view of the members and its replica index up to date."""

from __future__ import annotations

import logging

from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState
from oakbridge.peers.replica_index import ReplicaIndexTracker
from oakbridge.peers.view_state import ClusterView, MemberView, ViewState, assess

log = logging.getLogger(__name__)

# The view also depends on time, so it is assessed again after this time without changes.
MAX_ASSESSMENT_AGE_US = 10_000_000


class ViewMonitor:
    """Holds the current view; assesses it again only if it may have changed."""

    def __init__(self, own_name: str, tier: str) -> None:
        self.current: ClusterView | None = None
        self.replica_index = ReplicaIndexTracker(own_name)
        self._own_name = own_name
        self._tier = tier
        self._is_stale = True
        self._assessed_at_us = 0

    def invalidate(self) -> None:
        """Mark the view as stale, so that the next update assesses it again."""
        self._is_stale = True

    def update(self, now_us: int, member: Member) -> None:
        """Update the view and the replica index from the member's current table."""
        is_recent = now_us - self._assessed_at_us < MAX_ASSESSMENT_AGE_US
        if not self._is_stale and not self.replica_index.is_settling and is_recent:
            return
        self._is_stale = False
        self._assessed_at_us = now_us
        view = self.assess(now_us, member)
        self._log_change(view)
        self.current = view
        index = self.replica_index.update(now_us, view, self._tier_names(member))
        if index is not None:
            log.info("replica index changed: index=%d count=%d", index.index, index.count)

    def assess(self, now_us: int, member: Member) -> ClusterView:
        """Return the view from the member's current table."""
        return assess(
            self._own_name,
            member_views(member),
            now_us,
            is_starting=member.is_joining,
            is_replaced=member.replaced_by is not None,
        )

    def _log_change(self, view: ClusterView) -> None:
        old = self.current
        if old is not None and (view.state, view.unreachable_sites) == (
            old.state,
            old.unreachable_sites,
        ):
            return
        is_expected = view.state in (ViewState.COMPLETE, ViewState.STARTING)
        log.log(
            logging.INFO if is_expected else logging.WARNING, "cluster view changed: view=%s", view
        )

    def _tier_names(self, member: Member) -> list[str]:
        return [
            name
            for name in member.live_names()
            if member.members[name].record.tags.get("tier", "") == self._tier
        ]


def member_views(member: Member) -> list[MemberView]:
    """Return all known members except those that left, this one included."""
    views = []
    if member.replaced_by is None:
        own = member.record
        site = own.tags.get("site", "")
        views.append(MemberView(own.name, is_reachable=True, since_us=0, site=site))
    for name, known in member.members.items():
        record = known.record
        if record.state != MemberState.LEFT:
            site = record.tags.get("site", "")
            views.append(MemberView(name, known.is_live, known.since_us, site, record.reported_by))
    return views
