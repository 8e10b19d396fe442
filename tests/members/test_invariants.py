"""What holds in random scenarios and in every interleaving, and that a planted fault breaks it."""

import pytest

from oakbridge.peers.initial_states import initial_states
from oakbridge.peers.interleavings import explore
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberRecord, MemberState
from oakbridge.peers.random_scenarios import RandomScenario
from oakbridge.peers.refutation import Refutation


def test_what_holds_in_random_scenarios():
    for seed in range(30):
        result = RandomScenario(seed, members=3 + seed % 3).run()
        assert result.violations == [], (seed, result.events)


def go_back(monkeypatch):
    monkeypatch.setattr(MemberRecord, "supersedes", lambda *_: True)


def never_refute(monkeypatch):
    monkeypatch.setattr(Refutation, "answer", lambda *_: None)


def hold_who_left_for_live(monkeypatch):
    monkeypatch.setattr(
        KnownMember, "is_live", property(lambda self: self.record.state != MemberState.FAILED)
    )


@pytest.mark.parametrize(
    ("fault", "told"),
    [
        (go_back, "went back"),
        (never_refute, "for alive, and"),
        (hold_who_left_for_live, "which left"),
    ],
)
def test_a_planted_fault_breaks_a_scenario(monkeypatch, fault, told):
    fault(monkeypatch)
    broken = [line for seed in range(4) for line in RandomScenario(seed).run().violations]
    assert any(told in line for line in broken)


@pytest.mark.parametrize("scene", sorted(initial_states()))
def test_what_holds_in_every_interleaving_of_three_members(scene):
    report = explore(initial_states()[scene], 3, convergence_sample=20)
    assert report.violations == []
    assert len(report.states) > 50
    assert report.convergence_checks > 0


@pytest.mark.parametrize(
    ("fault", "scene", "told"),
    [
        (go_back, "one of them is silent for a second", "went back"),
        (never_refute, "one is called failed, and lives", "of calm"),
        (hold_who_left_for_live, "one has left, and is still there", "which left"),
    ],
)
def test_a_planted_fault_breaks_an_interleaving(monkeypatch, fault, scene, told):
    every = 20 if told == "of calm" else 10**9
    begins = [initial_states()[scene]]
    fault(monkeypatch)
    begins.append(initial_states()[scene])  # a fault may show in what leads there
    broken = [line for state in begins for line in explore(state, 4, every).violations]
    assert any(told in line for line in broken)
