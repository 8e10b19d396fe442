"""How much others' reports of failing servers weigh."""

import pytest

from oakbridge.peers.failure_reports import MAX_REPORT_AGE_US, weigh_failure_reports
from oakbridge.peers.messages import NodeReport
from oakbridge.peers.view_state import ViewState

S = 1_000_000


def reports_of(*said: str) -> list[tuple[NodeReport, int]]:
    """``"a: x y"``: member a finds x and y failing."""
    return [
        (NodeReport(who, 1, 1, 0, 0, 0, tuple(servers.split())), S)
        for who, _, servers in (w.partition(":") for w in said)
    ]


@pytest.mark.parametrize(
    ("said", "weight"),
    [
        (("a: x",), 0.0),  # a lone vote, be it a liar's or an ill member's
        (("a: x", "a: x"), 0.0),  # which is one, however often it speaks
        (("a: x", "b: x"), 0.5),
        (("a: x", "b: x", "c: x", "d: x"), 1.0),
        (("a: x y", "b: x y"), 0.5),
        (
            ("a: 1 2 3 4 5 6 7 x", "b: 1 2 3 4 5 6 7 x"),
            0.0,
        ),  # who finds everything failing is likelier ill
        (("a: 1 2 3 x", "b: x", "c: 1 2 3 x"), 0.5),
        (("me: x", "a: x"), 0.0),  # one's own is not hearsay
    ],
)
def test_what_reports_of_a_failing_server_weigh(said, weight):
    assert weigh_failure_reports(ViewState.COMPLETE, reports_of(*said), "me")["x"].weight == weight
    assert (
        weigh_failure_reports(ViewState.PARTITIONED, reports_of(*said), "me")["x"].weight == weight
    )
    assert not weigh_failure_reports(ViewState.ISOLATED, reports_of(*said), "me")
    assert not weigh_failure_reports(ViewState.STARTING, reports_of(*said), "me")
    assert not weigh_failure_reports(
        ViewState.COMPLETE,
        [(report, MAX_REPORT_AGE_US + 1) for report, _ in reports_of(*said)],
        "me",
    )
