"""Keeps a node's view of the members and its replica index up to date."""

from __future__ import annotations

import logging

from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState
from oakbridge.peers.replica_index import ReplicaIndexTracker
from oakbridge.peers.view_state import ClusterView, MemberView, ViewState, assess

log = logging.getLogger(__name__)

MAX_UNCHANGED_US = 10_000_000  # until the view is assessed anyway: some changes by time alone


class ViewMonitor:
    """The view is assessed again only where something may have changed it."""

    def __init__(self, own_name: str, tier: str) -> None:
        self.current: ClusterView | None = None
        self.replica_index = ReplicaIndexTracker(own_name)
        self._own_name = own_name
        self._tier = tier
        self._is_stale = True
        self._assessed_at_us = 0

    def invalidate(self) -> None:
        """Have the next update assess the view again."""
        self._is_stale = True

    def update(self, now_us: int, member: Member) -> None:
        """Assess the view and the replica index by what the member holds now."""
        is_recent = now_us - self._assessed_at_us < MAX_UNCHANGED_US
        if not self._is_stale and not self.replica_index.is_settling and is_recent:
            return
        self._is_stale = False
        self._assessed_at_us = now_us
        view = self.assess(now_us, member)
        self._log_change(view)
        self.current = view
        index = self.replica_index.update(now_us, view, self._tier_names(member))
        if index is not None:
            log.info("place: %d of %d", index.index, index.count)

    def assess(self, now_us: int, member: Member) -> ClusterView:
        """Return the view by what the member holds now."""
        return assess(
            self._own_name,
            member_views(member),
            now_us,
            starting=member.is_joining,
            replaced=member.replaced_by is not None,
        )

    def _log_change(self, view: ClusterView) -> None:
        old = self.current
        if old is not None and (view.state, view.unreachable_sites) == (
            old.state,
            old.unreachable_sites,
        ):
            return
        is_expected = view.state in (ViewState.COMPLETE, ViewState.STARTING)
        log.log(logging.INFO if is_expected else logging.WARNING, "stance: %s", view)

    def _tier_names(self, member: Member) -> list[str]:
        return [
            name
            for name in member.live_names()
            if member.members[name].record.tags.get("tier", "") == self._tier
        ]


def member_views(member: Member) -> list[MemberView]:
    """Return all members as they are held, but for those that left."""
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
