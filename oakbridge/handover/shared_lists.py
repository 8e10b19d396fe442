"""Share endpoint lists between the two processes of a node during a hand-over.

A list that discovery sent to either process counts as sent to the node, so both have to use it.
Lists are shared only where discovery is polled: an agent that pushes lists sends them to each
process itself, and the version numbers of its lists are its own.
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
    """Sends the lists that this process reads, and applies those that it receives."""

    def __init__(
        self,
        node: Node,
        should_relay: Callable[[], bool],
        send: Callable[[EndpointListUpdate], object],
    ) -> None:
        """``should_relay``: returns whether the node has another process that accepts lists."""
        self._node = node
        self._should_relay = should_relay
        self._send = send
        if isinstance(node.source, DiscoverySource) and node.settings.poll_discovery:
            node.source.read_listeners.append(self._relay)

    def update(self) -> EndpointListUpdate:
        """Return this process's current endpoint list.  Its age is None without discovery."""
        source, endpoints = self._node.source, self._node.endpoints.current()
        if not isinstance(source, DiscoverySource):
            return EndpointListUpdate(encode_endpoint_list(0, endpoints), None)
        encoded = encode_endpoint_list(source.version, endpoints)
        return EndpointListUpdate(encoded, source.list_age_us())

    def apply(self, update: EndpointListUpdate) -> None:
        """Apply a list that the other process has read, if it is newer than this process's."""
        source = self._node.source
        if not isinstance(source, DiscoverySource):
            return
        try:
            source.adopt(parse_endpoint_list(update.endpoint_list), update.list_age_us)
        except EndpointListError as error:
            log.warning("invalid endpoint list from the node's other process: error=%s", error)

    def _relay(self) -> None:
        if self._should_relay():
            self._send(self.update())
