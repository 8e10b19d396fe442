"""Map the settings of ``[sites]`` to a node's sites, and read the plan that they name."""

from __future__ import annotations

from pathlib import Path

from oakbridge.config.load import BadFile, Loaded
from oakbridge.config.schema import resolved
from oakbridge.config.sites_file import read_limited
from oakbridge.sites.errors import SitePlanError
from oakbridge.sites.node_sites import NodeSites, SitesOptions
from oakbridge.sites.plan_file import SitePlan, decode_plan
from oakbridge.sources.formats import Problem


def node_sites(loaded: Loaded) -> NodeSites | None:
    """Return the node's sites, None without ``[sites]``; read its plan.  Raises BadFile."""
    table = loaded.file.sites
    if table is None:
        return None
    settings = loaded.config.settings
    return NodeSites(
        loaded.member[0] if loaded.member is not None else loaded.config.name,
        settings.zone,
        {each.name: each.priority_weight for each in settings.classes},
        loaded.config.seed,
        has_quotas=bool(settings.tenants),
        options=SitesOptions(warm_up_us=settings.slow_start_window, min_step_us=table.step),
        plan=load_plan(resolved(table.plan, loaded.path)) if table.plan else None,
    )


def load_plan(path: Path) -> SitePlan:
    """Read and check a plan.  Raises BadFile with every mistake."""
    try:
        return decode_plan(read_limited(path))
    except SitePlanError as error:
        raise BadFile([Problem(str(path), (), mistake) for mistake in error.mistakes]) from None
