"""Load reports in the form in which servers send them."""

from oakbridge.node.load_report import parse_load_report


def test_load_report_is_parsed_without_unknown_names_and_invalid_values():
    text = "TEXT inflight=7, queue=2, util=0.61, other=1, eps=nan, qps=x"
    assert parse_load_report(text) == {"in_flight": 7, "queued": 2, "utilisation": 0.61}
