"""The errors of a node's configuration and of endpoint lists."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration is invalid or unreadable; the text gives the reason in one line."""


class ConfigUnreadableError(ConfigError):
    """Reading the configuration failed with a transient error; a retry may succeed."""


class EndpointListError(ValueError):
    """An endpoint list is malformed or can't be applied."""


class OutdatedListError(EndpointListError):
    """An endpoint list is older than the version that changes were requested for."""
