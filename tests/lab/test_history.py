"""The history of a run: outages, and changes read from the nodes' logs."""

from oakbridge.lab.history import History, MemberChange, PerformedStep, SiteChange, read_changes
from oakbridge.lab.schedule import Schedule, Span, StepKind

S = 1_000_000


def test_node_killed_while_frozen_is_down_until_it_is_ready():
    history = History(None, None, Schedule((), {"x": []}), 0, 60 * S)
    history.performed_steps = [
        PerformedStep(at * S, StepKind(kind), ("x",))
        for at, kind in ((1, "stop"), (2, "kill"), (9, "continue"), (12, "start"))
    ]
    assert history.outages() == {"x": [Span(1 * S, 60 * S + 3600 * S)]}
    history.performed_steps.append(PerformedStep(14 * S, StepKind.READY, ("x",)))
    assert history.outages() == {"x": [Span(1 * S, 14 * S)]}


def test_changes_are_read_from_a_truncated_log():
    lines = [
        '{"event": "x"}\n',
        '{"member": "n1", "at_us": 5000000, "before": "alive", "after": "failed", "by": "n2", "cause": ""}\n',
        '{"member": "n1", "at_us": 50',
    ]
    lines.insert(
        1, '{"site": "a", "at_us": 4000000, "was": "well", "state": "lost", "cause": ""}\n'
    )
    expected = (
        [MemberChange(3 * S, "n0", "n1", "alive", "failed")],
        [SiteChange(2 * S, "n0", "a", "well", "lost")],
    )
    assert read_changes(lines, "n0", 2 * S) == expected
