"""Endpoint lists that one process of a node reads and both use, while one hands over to the other.

What either was told counts as told to the node.  Only where discovery is polled: an agent that pushes
lists tells each process at once, and agents have versions of their own.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from oakbridge.handover.messages import EndpointListUpdate
from oakbridge.node.discovery import DiscoverySource
from oakbridge.node.endpoint_list_json import encode_endpoint_list, parse_endpoint_list
from oakbridge.node.errors import EndpointListError
from oakbridge.node.node import Node

log = logging.getLogger(__name__)


class SharedLists:
    """Sends what this process reads to the other one, and uses what that one reads."""

    def __init__(
        self,
        node: Node,
        relays: Callable[[], bool],
        send: Callable[[EndpointListUpdate], object],
    ) -> None:
        """``relays``: whether there is another process that shares lists."""
        self._node = node
        self._relays = relays
        self._send = send
        if isinstance(node.source, DiscoverySource) and node.settings.poll_discovery:
            node.source.read_listeners.append(self._relay)

    def update(self) -> EndpointListUpdate:
        """Return the list as this process has it."""
        source, endpoints = self._node.source, self._node.endpoints.current()
        if not isinstance(source, DiscoverySource):
            return EndpointListUpdate(encode_endpoint_list(0, endpoints), None)
        known = encode_endpoint_list(source.version, endpoints)
        return EndpointListUpdate(known, source.list_age_us())

    def apply(self, update: EndpointListUpdate) -> None:
        """Use a list that the other process has read."""
        source = self._node.source
        if not isinstance(source, DiscoverySource):
            return
        try:
            source.adopt(parse_endpoint_list(update.endpoint_list), update.list_age)
        except EndpointListError as error:
            log.warning("unusable list from the node's other process: error=%s", error)

    def _relay(self) -> None:
        if self._relays():
            self._send(self.update())
