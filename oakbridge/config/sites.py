"""What ``[sites]`` means for a node."""

from __future__ import annotations

from oakbridge.config.load import LoadedConfig
from oakbridge.config.schema import resolve_path
from oakbridge.sites.core import Options, Sites
from oakbridge.sites.scheme import load_plan


def sites_of(loaded: LoadedConfig) -> Sites | None:
    """The node's sites, if the file asks for them; its plan is read here.  Raises ConfigFileError."""
    table = loaded.file.sites
    if table is None:
        return None
    plan = load_plan(resolve_path(table.plan, loaded.path)) if table.plan else None
    name = loaded.member[0] if loaded.member is not None else loaded.config.name
    settings = loaded.config.settings
    classes = {c.name: c.priority_weight for c in settings.classes}
    options = Options(warm_up=settings.slow_start_window, step=table.step)
    return Sites(
        name, loaded.config.settings.zone, classes, bool(settings.tenants), loaded.config.seed, options, plan
    )
