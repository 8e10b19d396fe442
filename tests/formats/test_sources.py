"""The format of the saved copy of a list of servers, compared with a fixture."""

from pathlib import Path

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.list_version import ListVersion
from oakbridge.sources.saved_copy import load_saved_version, save_version

FIXTURE = Path(__file__).parent / "fixtures" / "sources" / "saved.list"


def version():
    servers = [
        ListedEndpoint(
            Endpoint("s1", EndpointState.UP, "a", 1, 1.0, 1_700_000_000_000_000, "10.0.0.1:9000"),
            ("10.0.0.1", 9000),
        ),
        ListedEndpoint(
            Endpoint("s2", EndpointState.DRAINING, "b", 0, 2.5, 0, "10.0.0.2:9000"),
            ("10.0.0.2", 9000),
        ),
        ListedEndpoint(Endpoint("näm", EndpointState.UP, "", 0, 0.5, 0, "::1:9000"), ("::1", 9000)),
    ]
    return ListVersion(12, "4b2f" + "0" * 60, {entry.server.id: entry for entry in servers})


def test_saved_copy_is_read():
    assert load_saved_version(FIXTURE) == version()


def test_saved_copy_is_written_with_the_same_bytes(tmp_path):
    save_version(tmp_path / "saved.list", version())
    assert (tmp_path / "saved.list").read_bytes() == FIXTURE.read_bytes()
