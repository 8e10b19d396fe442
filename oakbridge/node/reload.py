"""Applies a new configuration to a running node: the address of discovery and all settings."""

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

# Fields of the configuration that take effect only when a process starts.
FIXED_AT_START = ("name", "listen", "sockets", "control")


def apply_config(node: Node, config: Config) -> None:
    """Apply a configuration; requests in flight keep the settings that they started with.

    Changes that a running process can't apply are logged.
    """
    old, node.config = node.config, config
    if config.discovery is not None and config.discovery != old.discovery:
        log.info("discovery address changed: address=%s:%d", *config.discovery)
        if isinstance(node.source, DiscoverySource):
            node.source.move(config.discovery)
    settings, unchanged = keep_fixed_settings(node.settings, config.settings)
    fixed = [name for name in FIXED_AT_START if getattr(config, name) != getattr(old, name)]
    for name in (*fixed, *(f"settings.{name}" for name in unchanged)):
        log.warning("configuration change takes effect at next start: key=%s", name)
    if settings != node.settings:
        apply_settings(node, settings)


def apply_settings(node: Node, settings: Settings) -> None:
    """Apply new settings, and log the changes of priority classes."""
    before, now = class_names(node.settings), class_names(settings)
    log.info(
        "settings changed: classes=%d added=%s removed=%s max_attempts=%d",
        len(now),
        ", ".join(sorted(now - before)) or "none",
        ", ".join(sorted(before - now)) or "none",
        settings.max_attempts,
    )
    node.configure(settings)


def class_names(settings: Settings) -> set[str]:
    """Return the names of the priority classes."""
    return {request_class.name for request_class in settings.classes}
