"""The discovery client's state in ``oakbridge status``: its JSON and its lines of text."""

import pytest

from oakbridge.cli.status import _source_lines
from oakbridge.control.discovery_status import encode_discovery_status
from oakbridge.node.discovery_client import DiscoveryStatus

UP_TO_DATE = DiscoveryStatus(("10.0.1.4", 9000), 41, 0.8124, 5.1876, 1, "", None)
FAILING = DiscoveryStatus(
    ("10.0.1.4", 9000), None, 7.0, -1.0, 2, "opening call silent: TimeoutError", 12.2
)
WITHOUT_LIST = DiscoveryStatus(("10.0.1.4", 9000), None, None, None, 0, "", None)


def test_json_has_times_in_seconds_and_null_for_missing_values():
    assert encode_discovery_status(UP_TO_DATE) == {
        "kind": "discovery",
        "address": "10.0.1.4:9000",
        "version": 41,
        "age_s": 0.812,
        "due_in_s": 5.188,
        "calls": 1,
        "last_failure": "",
        "last_failure_age_s": None,
    }


@pytest.mark.parametrize(
    ("status", "lines"),
    [
        (
            UP_TO_DATE,
            [
                "discovery 10.0.1.4:9000, version 41, up to date 0.8 s ago, due anew in 5.2 s, calls out: 1"
            ],
        ),
        (
            FAILING,
            [
                "discovery 10.0.1.4:9000, the whole list is asked for, up to date 7.0 s ago,"
                " due anew in -1.0 s, calls out: 2",
                "LAST FAILURE 12 s ago: opening call silent: TimeoutError",
            ],
        ),
        (WITHOUT_LIST, ["discovery 10.0.1.4:9000, no list yet, calls out: 0"]),
    ],
)
def test_text_shows_age_of_list_and_last_failure(status, lines):
    assert _source_lines(encode_discovery_status(status)) == lines


def test_status_of_an_older_node_has_only_the_source_kind():
    assert _source_lines({"kind": "discovery"}) == ["discovery"]
