"""Rollouts over simulated hosts: every kind of change, gates, freezes and races, by seed."""

import asyncio
import itertools
import random

import pytest
from peers import TIMEOUT_S, run, until
from simulated_fleet import QUICK, Network, SimulatedFleet, files_with_aim, outcomes

from oakbridge.fleet import messages
from oakbridge.rollout.change import (
    Drain,
    ReplaceFiles,
    ReplaceServerFile,
    RollBackRollout,
    SetValues,
    Undrain,
)
from oakbridge.rollout.coordinator import RolloutOptions
from oakbridge.rollout.journal import Journal, JournalUnavailableError
from oakbridge.rollout.plan import PlanError, WaveOptions
from oakbridge.rollout.rebuild import rebuild
from oakbridge.rollout.record import Phase


def test_each_kind_of_change_and_the_way_back(tmp_path):
    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            first = await fleet.roll_out_first()
            assert (
                await fleet.roll_out(SetValues({"class.look.aim": "2s", "limits.max_open": 77}))
            ).machine.is_complete()
            text = fleet.files("h1/n0")["oakbridge.toml"]
            assert set(fleet.running_aims().values()) == {"2s"}
            assert "max_open = 77" in text
            assert 'name = "look"' in text
            assert (
                await fleet.roll_out(ReplaceServerFile('[[server]]\nname = "b"\n'))
            ).machine.is_complete()
            assert '"b"' in fleet.files("h0/n0")["s.toml"]
            assert set(fleet.running_aims().values()) == {"2s"}
            # One host drains; a change meanwhile leaves it drained, and brings it along.
            drained = await fleet.roll_out(Drain("a new disk"), sources={"h1/n0": 0} | {"h1/n0": 3})
            assert outcomes(drained) == {"h1/n0": "took it"}
            assert fleet.running_aims()["h1/n0"] == "-"
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert third.machine.is_complete()
            assert list(fleet.running_aims().values()) == ["3s", "-", "3s"]
            assert (await fleet.roll_out(Undrain())).machine.is_complete()
            assert set(fleet.running_aims().values()) == {"3s"}
            # Back to before the third: each to what it ran then, also the one that was drained.
            journal = Journal(fleet.folder)
            before = {
                t.name: t.base_generation
                for w in journal.entry(third.rollout).record.waves
                for t in w
            }
            back = await fleet.roll_out(RollBackRollout(third.rollout), sources=before)
            assert back.machine.is_complete()
            assert list(fleet.running_aims().values()) == ["2s", "-", "2s"]
            bad = await fleet.roll_out(SetValues({"class.lok.aim": "2s"}))
            assert bad.machine.record.phase is Phase.HALTED
            assert "there is none of that name" in bad.machine.record.reason
            assert first.rollout == 1

    run(test())


@pytest.mark.parametrize(
    ("plays", "setup", "ends", "says"),
    [
        ("dies 0.1", {}, {"undone": 1, "not reached": 5}, "exit code 1"),
        ("mute", {}, {"undone": 1, "not reached": 5}, "not ready"),
        ("refused", {}, {"did not": 1, "not reached": 5}, "refused, as it plays"),
        ("weak 0.1", {"weak": ("h2",)}, {"undone": 3, "not reached": 3}, "exit code 1"),
        ("serves 0.9", {"rate": 20_000}, {"undone": 1, "not reached": 5}, "it serves less"),
        ("serves 0.999", {"rate": 20_000}, {"took it": 6}, ""),
    ],
)
def test_harm_is_halted_where_it_shows_and_undone_everywhere(
    tmp_path, monkeypatch, plays, setup, ends, says
):
    """At the canary, or at half where only some hosts suffer; by crashes or the share served."""

    async def test():
        async with SimulatedFleet(tmp_path, 6, **setup) as fleet:
            await fleet.roll_out_first()
            if (
                plays == "mute"
            ):  # the only one that has to run out of this time; the others must not
                monkeypatch.setattr("oakbridge.agent.state_machine.READY_TIMEOUT_US", 2_000_000)
            options = RolloutOptions(watch_s=0.3, window_s=0.6, silence_timeout_s=20.0)
            waves = WaveOptions(canary=1, shares=(0.5, 1.0), max_unavailable=1)
            done = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s", plays)), waves=waves, undo=True, options=options
            )
            told = list(outcomes(done).values())
            assert {outcome: told.count(outcome) for outcome in told} == ends
            assert says in done.machine.record.reason
            await until(
                lambda: (
                    set(fleet.running_aims().values()) == ({"2s"} if "took it" in ends else {"1s"})
                )
            )

    run(test())


@pytest.mark.parametrize("seed", range(4))
def test_frozen_agents_are_unknown_and_a_resume_takes_them_along(tmp_path, seed):
    """Agents freeze at a time by seed, also while the lease is renewed; they delay nobody."""

    async def test():
        draw = random.Random(seed)
        async with SimulatedFleet(tmp_path, 10, 2, Network(seed, delay_s=0.01)) as fleet:
            await fleet.roll_out_first()
            chosen = draw.sample(sorted(fleet.agents), 3)

            async def freeze(_coordinator):
                await asyncio.sleep(draw.random() * 0.6)
                for name in chosen:
                    fleet.network.freeze(name)

            options = RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=6.0)
            waves = WaveOptions(canary=2, shares=(0.5, 1.0), max_unavailable=20)
            done = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")), waves=waves, options=options, during=freeze
            )
            running = fleet.running_aims()
            for name, outcome in outcomes(done).items():
                assert outcome == "unknown" or (outcome == "took it") == (running[name] == "2s"), (
                    name,
                    outcome,
                )
                assert name.split("/")[0] in chosen or outcome in ("took it", "not reached")
            for name in chosen:
                fleet.network.thaw(name)
            again = await fleet.resume(done.rollout)
            if done.machine.record.phase is Phase.HALTED:  # it only asks: nothing more is changed
                assert "unknown" not in outcomes(again).values()
            else:
                assert again.machine.is_complete()
                assert set(fleet.running_aims().values()) == {"2s"}
            last = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert last.machine.is_complete()
            assert set(fleet.running_aims().values()) == {"3s"}

    run(test(), 4 * TIMEOUT_S)


def test_a_network_that_loses_doubles_and_delays_changes_nothing_of_the_end(tmp_path):
    async def test(seed):
        network = Network(seed, lose=0.1, double=0.2, delay_s=0.02)
        async with SimulatedFleet(tmp_path / str(seed), 4, 2, network) as fleet:
            operator, options = (
                fleet.operator(within_s=0.3),
                RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=3.0),
            )
            for number in itertools.count():
                try:
                    held = await fleet.roll_out(
                        ReplaceFiles(files_with_aim(f"{number}s")),
                        operator=operator,
                        options=options,
                    )
                except PlanError:  # nobody was heard in time when the waves were to be made
                    continue
                if held is None:
                    continue
                while not held.machine.is_complete():
                    assert held.machine.record.phase is not Phase.ROLLED_BACK
                    if held.machine.record.phase is Phase.HALTED:
                        break  # the lease was lost: another rollout brings all to one end
                    held = await fleet.resume(held.rollout, operator, options=options)
                if held.machine.is_complete():
                    running = fleet.running_aims()
                    assert {running[name] for name in outcomes(held)} == {f"{number}s"}
                    if len(outcomes(held)) == len(
                        running
                    ):  # nobody was overheard when the waves were made
                        return

    run(asyncio.wait_for(_all(test(seed) for seed in range(8)), 4 * TIMEOUT_S), 5 * TIMEOUT_S)


async def _all(tests):
    await asyncio.gather(*tests)


@pytest.mark.parametrize("part", range(4))
def test_two_operators_at_once_have_one_winner_each_of_fifty_times(tmp_path, part):
    """Four agents, so that neither may get more than half at first."""

    async def race(seed):
        draw = random.Random(seed)
        fleet = SimulatedFleet(tmp_path / str(seed), 4, 1, Network(seed, delay_s=0.01))
        async with fleet:

            async def roll_out(name, aim):
                await asyncio.sleep(draw.random() * 0.01)
                (fleet.folder / name).mkdir()
                operator, journal = fleet.operator(name), Journal(fleet.folder / name)
                done = await fleet.roll_out(
                    ReplaceFiles(files_with_aim(aim)),
                    operator,
                    journal,
                    WaveOptions(canary=0, shares=(1.0,), max_unavailable=9),
                )
                journal.close()
                return done

            aims = {"kari": "1s", "ola": "2s"}
            done = dict(
                zip(
                    aims,
                    await asyncio.gather(*(roll_out(*pair) for pair in aims.items())),
                    strict=True,
                )
            )
            winners = [name for name, coordinator in done.items() if coordinator is not None]
            rollouts = [
                coordinator.rollout for coordinator in done.values() if coordinator is not None
            ]
            assert winners
            assert len(set(rollouts)) == len(rollouts)
            # Where both won, the second asked after the first was done: both stand whole, one after
            # the other.
            reasons = [c.machine.record.reason for c in done.values() if c is not None]
            assert all(c is None or c.machine.is_complete() for c in done.values()), (seed, reasons)
            last = max((c for c in done.values() if c is not None), key=lambda c: c.rollout)
            assert set(fleet.running_aims().values()) == {aims[last.operator.name]}
            return len(winners)

    async def races():
        counts = []
        for first in range(50 * part, 50 * part + 50, 10):
            counts += await asyncio.gather(*map(race, range(first, first + 10)))
        assert counts.count(1) > 40

    run(races(), 4 * TIMEOUT_S)


def test_a_journal_that_is_lost_is_rebuilt_from_the_agents(tmp_path):
    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()
            second = await fleet.roll_out(ReplaceFiles(files_with_aim("2s")))
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s", "dies 0.01")))
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s", "refused")))
            heard = await fleet.operator().call_all(messages.StatusRequest())
            found = rebuild({h.agent: h.body["instances"] for h in heard})
            told = {
                r.id: (r.record.phase, sorted(row.outcome.value for _, row in r.record.statuses))
                for r in found
            }
            assert told[1] == told[second.rollout] == (Phase.DONE, ["took it"] * 3)
            assert told[third.rollout] == (Phase.ROLLED_BACK, ["did not"])
            by_id = {r.id: r for r in found}
            assert by_id[second.rollout].files_holder is not None
            assert by_id[third.rollout].files_holder is None
            assert {t.base_generation for t in by_id[second.rollout].record.waves[0]} == {1}

    run(test())


def test_an_instance_that_is_gone_or_new_during_a_rollout(tmp_path):
    """One that was removed did not take it; one that came later is in the next rollout only."""

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()

            async def change(_coordinator):
                fleet.agents["h2"].instances.pop("n0").stop()
                fleet.agents["h0"].add_instance(
                    "n9", ["127.0.0.1:1"], fleet.folder / "h0" / "n9.sock"
                )
                fleet.agents["h0"].start_instance("n9")

            done = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")),
                waves=WaveOptions(canary=0, shares=(0.4, 1.0), max_unavailable=1),
                during=change,
            )
            assert outcomes(done)["h2/n0"] == "did not"
            assert "there is no n0 here" in done.machine.record.reason
            assert "h0/n9" not in outcomes(done)
            last = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert outcomes(last)["h0/n9"] == "took it"

    run(test())


def test_a_lease_is_lost_when_another_tool_takes_it_and_nothing_more_is_sent(tmp_path, monkeypatch):
    monkeypatch.setattr("oakbridge.rollout.lease_holder.LEASE_RENEW_INTERVAL_S", 0.05)

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()

            async def take(_coordinator):
                await asyncio.sleep(0.1)
                await fleet.operator("kari").acquire_lease(
                    60.0
                )  # the same holder, from another tool

            done = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")),
                options=RolloutOptions(watch_s=0.3, window_s=0.3, silence_timeout_s=5.0),
                during=take,
            )
            assert done.machine.record.phase is Phase.HALTED
            assert "lease" in done.machine.record.reason
            assert "not reached" in outcomes(done).values()
            assert QUICK.watch_s == 0.05

    run(test())


class FailingJournal(Journal):
    """A journal whose disk fails at every second write."""

    def __init__(self, folder) -> None:
        super().__init__(folder)
        self.failed, self._writes = 0, 0

    def update(self, rollout, record) -> None:
        self._writes += 1
        if self._writes % 2:
            self.failed += 1
            raise JournalUnavailableError("disk I/O error", "journal.db")
        super().update(rollout, record)


def test_rollout_goes_on_though_its_journal_fails_for_moments(tmp_path):
    """Nothing is sent before the record is written, and what waits is sent then."""

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()
            journal = FailingJournal(fleet.folder)
            done = await fleet.roll_out(ReplaceFiles(files_with_aim("2s")), journal=journal)
            assert done.machine.is_complete()
            assert journal.failed > 2
            assert Journal(fleet.folder).entry(done.rollout).record == done.machine.record

    run(test())
