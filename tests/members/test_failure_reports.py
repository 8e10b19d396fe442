"""Weights of other members' reports of failing servers."""

import pytest

from oakbridge.peers.failure_reports import MAX_REPORT_AGE_US, weigh_failure_reports
from oakbridge.peers.messages import NodeReport
from oakbridge.peers.view_state import ViewState

SECOND_US = 1_000_000


def reports_of(*texts: str) -> list[tuple[NodeReport, int]]:
    """Return reports; ``"a: x y"`` means that member a reports servers x and y as failing."""
    return [
        (NodeReport(member, 1, 1, 0, 0, 0, tuple(servers.split())), SECOND_US)
        for member, _, servers in (text.partition(":") for text in texts)
    ]


@pytest.mark.parametrize(
    ("texts", "weight"),
    [
        (("a: x",), 0.0),  # a single vote, which may be of a faulty or lying member
        (("a: x", "a: x"), 0.0),  # repeated reports of a member are one vote
        (("a: x", "b: x"), 0.5),
        (("a: x", "b: x", "c: x", "d: x"), 1.0),
        (("a: x y", "b: x y"), 0.5),
        # Members that report many servers are more likely faulty themselves.
        (("a: 1 2 3 4 5 6 7 x", "b: 1 2 3 4 5 6 7 x"), 0.0),
        (("a: 1 2 3 x", "b: x", "c: 1 2 3 x"), 0.5),
        (("me: x", "a: x"), 0.0),  # this member's own report is left out
    ],
)
def test_weight_of_reports_of_a_failing_server(texts, weight):
    assert weigh_failure_reports(ViewState.COMPLETE, reports_of(*texts), "me")["x"].weight == weight
    assert (
        weigh_failure_reports(ViewState.PARTITIONED, reports_of(*texts), "me")["x"].weight == weight
    )
    assert not weigh_failure_reports(ViewState.ISOLATED, reports_of(*texts), "me")
    assert not weigh_failure_reports(ViewState.STARTING, reports_of(*texts), "me")
    assert not weigh_failure_reports(
        ViewState.COMPLETE,
        [(report, MAX_REPORT_AGE_US + 1) for report, _ in reports_of(*texts)],
        "me",
    )
