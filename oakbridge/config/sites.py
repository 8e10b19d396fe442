"""Map the table ``[sites]`` to a node's sites, and read the plan file that it names."""

from __future__ import annotations

from pathlib import Path

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import LoadedConfig
from oakbridge.config.schema import resolve_path
from oakbridge.config.toml_file import read_bounded
from oakbridge.sites.errors import SitePlanError
from oakbridge.sites.node_sites import NodeSites, SitesOptions
from oakbridge.sites.plan_file import SitePlan, decode_plan
from oakbridge.sources.problem import Problem


def node_sites(loaded: LoadedConfig) -> NodeSites | None:
    """Return the node's sites with the plan it reads; None without ``[sites]``.

    Raises ConfigFileError.
    """
    table = loaded.file.sites
    if table is None:
        return None
    settings = loaded.config.settings
    return NodeSites(
        loaded.member_override[0] if loaded.member_override is not None else loaded.config.name,
        settings.zone,
        {request_class.name: request_class.priority_weight for request_class in settings.classes},
        loaded.config.seed,
        has_quotas=bool(settings.tenants),
        options=SitesOptions(warm_up_us=settings.slow_start_window, min_step_us=table.step),
        plan=load_plan(resolve_path(table.plan, loaded.path)) if table.plan else None,
    )


def load_plan(path: Path) -> SitePlan:
    """Read and check a plan file.  Raises ConfigFileError with every problem."""
    try:
        return decode_plan(read_bounded(path))
    except SitePlanError as error:
        raise ConfigFileError(
            [Problem(str(path), (), mistake) for mistake in error.mistakes]
        ) from None
