"""Applies a new configuration to a node that runs: discovery's address and the settings, whole."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from oakbridge.node.config import Config
from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.settings import keep_fixed_settings
from oakbridge.policy.settings import Settings

if TYPE_CHECKING:
    from oakbridge.node.node import Node

log = logging.getLogger(__name__)

# Fields of the configuration that a running process can't change.
FIXED_AT_START = ("name", "listen", "sockets", "control")


def apply_config(node: Node, config: Config) -> None:
    """Apply a configuration; what is in flight keeps what it started with.

    What can't change in a running process is named in the log.
    """
    old, node.config = node.config, config
    if config.discovery is not None and config.discovery != old.discovery:
        log.info("discovery is now at %s:%d", *config.discovery)
        if isinstance(node.source, DiscoverySource):
            node.source.move(config.discovery)
    settings, unchanged = keep_fixed_settings(node.settings, config.settings)
    fixed = [name for name in FIXED_AT_START if getattr(config, name) != getattr(old, name)]
    for name in (*fixed, *(f"settings.{name}" for name in unchanged)):
        log.warning("the configuration's new %s counts from the next start", name)
    if settings != node.settings:
        apply_settings(node, settings)


def apply_settings(node: Node, settings: Settings) -> None:
    """Decide by other settings from now on."""
    before, now = class_names(node.settings), class_names(settings)
    log.info(
        "new settings: %d classes (new: %s; gone: %s), at most %d attempts",
        len(now),
        ", ".join(sorted(now - before)) or "none",
        ", ".join(sorted(before - now)) or "none",
        settings.max_attempts,
    )
    node.configure(settings)


def class_names(settings: Settings) -> set[str]:
    """Return the names of the priority classes."""
    return {one.name for one in settings.classes}
