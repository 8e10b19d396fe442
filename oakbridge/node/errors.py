"""The errors of a node's configuration and of endpoint lists."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration can't be used; the text is one line that says why."""


class EndpointListError(ValueError):
    """A list of servers that can't be used."""
