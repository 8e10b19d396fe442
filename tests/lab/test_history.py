"""What is read from the files that a run leaves."""

from oakbridge.lab.history import History, MemberChange, PerformedStep, SiteChange, read_changes
from oakbridge.lab.schedule import Schedule, Span, StepKind

S = 1_000_000


def test_one_that_is_killed_and_frozen_is_not_back_when_thawed():
    history = History(None, None, Schedule((), {"x": []}), 0, 60 * S)
    history.performed_steps = [
        PerformedStep(at * S, StepKind(kind), ("x",))
        for at, kind in ((1, "stop"), (2, "kill"), (9, "continue"), (12, "start"))
    ]
    assert history.outages() == {"x": [Span(1 * S, 60 * S + 3600 * S)]}
    history.performed_steps.append(PerformedStep(14 * S, StepKind.READY, ("x",)))
    assert history.outages() == {"x": [Span(1 * S, 14 * S)]}


def test_changes_are_read_from_a_log_that_is_cut_short():
    lines = [
        '{"event": "x"}\n',
        '{"member": "n1", "at_us": 5000000, "before": "alive", "after": "failed", "by": "n2", "cause": ""}\n',
        '{"member": "n1", "at_us": 50',
    ]
    lines.insert(
        1, '{"site": "a", "at_us": 4000000, "was": "well", "state": "lost", "cause": ""}\n'
    )
    found = (
        [MemberChange(3 * S, "n0", "n1", "alive", "failed")],
        [SiteChange(2 * S, "n0", "a", "well", "lost")],
    )
    assert read_changes(lines, "n0", 2 * S) == found
