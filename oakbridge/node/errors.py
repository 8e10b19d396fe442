"""The errors of a node's configuration and of endpoint lists."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration can't be used; the text is one line that says why."""


class ConfigUnreadableError(ConfigError):
    """The configuration can't be read for a moment; the same file may be readable soon."""


class EndpointListError(ValueError):
    """A list of servers that can't be used."""


class OutdatedListError(EndpointListError):
    """Changes of a list from before the version that they were asked for."""
