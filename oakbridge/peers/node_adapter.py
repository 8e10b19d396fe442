"""Connects a member to its node: load reports, failure reports, and a watched file of seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.node import Node
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.service import MembershipService, monotonic_us
from oakbridge.policy.events import PeerFailureReports
from oakbridge.policy.view import load_summary
from oakbridge.sources.file_source import FileOptions, FileSource


def load_source(node: Node) -> Callable[[], LocalLoad]:
    """Return a function that returns the current load of a node."""

    def load() -> LocalLoad:
        in_flight, subset_size, failing_servers = load_summary(node.balancer, node.clock.now())
        return LocalLoad(in_flight, subset_size, failing_servers)

    return load


def failure_report_sink(node: Node) -> Callable[[dict[str, float]], None]:
    """Return a function that passes weights of failure reports to a node's outlier detection."""
    return lambda weights: node.post(PeerFailureReports(weights))


class SeedFile:
    """Takes seeds from a watched server file; the names in the file are ignored."""

    def __init__(self, options: FileOptions, service: MembershipService) -> None:
        """Start to watch the file."""
        self._service = service
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._source = FileSource(options, monotonic_us)
        self._source.attach(self)
        self._source.start()

    def stop(self) -> None:
        """Stop watching the file."""
        self._source.stop()

    def prepare(self, endpoints: Iterable[ListedEndpoint]) -> None:
        """Do nothing: no preparation is needed before a list applies."""

    def on_endpoint_list(self, new: EndpointList, *, saved: bool = False) -> None:  # noqa: ARG002  # an interface
        """Set the file's addresses as the seeds."""
        new.apply_to(self._endpoints)
        self._service.set_seeds([endpoint.address for endpoint in self._endpoints.values()])
