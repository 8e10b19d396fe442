"""Make entries, versions and changes of an endpoint list."""

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.list_version import ListChange, ListVersion, compare
from oakbridge.sources.server_row import ParsedServers

MS = 1000  # one millisecond in microseconds
SETTLE_US = 40 * MS


def entry(
    name: str, port: int = 1, state: str = EndpointState.UP, started: int = 0
) -> ListedEndpoint:
    """Return a server on the loopback address."""
    address = f"127.0.0.1:{port}"
    return ListedEndpoint(
        Endpoint(name, state, started_at=started, address=address), ("127.0.0.1", port)
    )


def parsed(*entries: ListedEndpoint) -> ParsedServers:
    """Return the result of parsing a valid file with these servers."""
    return ParsedServers({listed.server.id: listed for listed in entries})


def version(number: int, digest: str, *entries: ListedEndpoint) -> ListVersion:
    """Return a version with these servers."""
    return ListVersion(number, digest, {listed.server.id: listed for listed in entries})


def change(
    base: ListVersion | None, digest: str, *entries: ListedEndpoint, now: int = 5
) -> ListChange:
    """Return the changes of a file with these servers against ``base``."""
    return compare(base, digest, parsed(*entries), now)
