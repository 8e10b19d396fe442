"""Rollouts over simulated hosts: kinds of changes, gates, frozen agents, races and faults."""

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


def test_each_kind_of_change_and_its_rollback(tmp_path):
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
            # One instance is drained; a change during that time applies to it and keeps it drained.
            drained = await fleet.roll_out(Drain("a new disk"), sources={"h1/n0": 0} | {"h1/n0": 3})
            assert outcomes(drained) == {"h1/n0": "took it"}
            assert fleet.running_aims()["h1/n0"] == "-"
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert third.machine.is_complete()
            assert list(fleet.running_aims().values()) == ["3s", "-", "3s"]
            assert (await fleet.roll_out(Undrain())).machine.is_complete()
            assert set(fleet.running_aims().values()) == {"3s"}
            # A rollback of the third rollout returns each instance to what it ran before, also the
            # one that was drained.
            journal = Journal(fleet.folder)
            previous_generations = {
                target.name: target.base_generation
                for wave in journal.entry(third.rollout).record.waves
                for target in wave
            }
            back = await fleet.roll_out(
                RollBackRollout(third.rollout), sources=previous_generations
            )
            assert back.machine.is_complete()
            assert list(fleet.running_aims().values()) == ["2s", "-", "2s"]
            failed = await fleet.roll_out(SetValues({"class.lok.aim": "2s"}))
            assert failed.machine.record.phase is Phase.HALTED
            assert "there is none of that name" in failed.machine.record.reason
            assert first.rollout == 1

    run(test())


@pytest.mark.parametrize(
    ("plays", "fleet_options", "outcome_counts", "reason"),
    [
        ("dies 0.1", {}, {"undone": 1, "not reached": 5}, "exit code 1"),
        ("mute", {}, {"undone": 1, "not reached": 5}, "not ready"),
        ("refused", {}, {"did not": 1, "not reached": 5}, "refused, as it plays"),
        ("weak 0.1", {"weak": ("h2",)}, {"undone": 3, "not reached": 3}, "exit code 1"),
        ("serves 0.9", {"rate": 20_000}, {"undone": 1, "not reached": 5}, "it serves less"),
        ("serves 0.999", {"rate": 20_000}, {"took it": 6}, ""),
    ],
)
def test_a_harmful_change_is_halted_and_rolled_back_on_all_instances(
    tmp_path, monkeypatch, plays, fleet_options, outcome_counts, reason
):
    """The canary fails, or a later wave if only some hosts fail; nodes crash or fail requests."""

    async def test():
        async with SimulatedFleet(tmp_path, 6, **fleet_options) as fleet:
            await fleet.roll_out_first()
            if plays == "mute":  # the only case that is to reach this timeout
                monkeypatch.setattr("oakbridge.agent.state_machine.READY_TIMEOUT_US", 2_000_000)
            options = RolloutOptions(watch_s=0.3, window_s=0.6, silence_timeout_s=20.0)
            waves = WaveOptions(canary=1, shares=(0.5, 1.0), max_unavailable=1)
            coordinator = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s", plays)),
                waves=waves,
                auto_rollback=True,
                options=options,
            )
            ended = list(outcomes(coordinator).values())
            assert {outcome: ended.count(outcome) for outcome in ended} == outcome_counts
            assert reason in coordinator.machine.record.reason
            await until(
                lambda: (
                    set(fleet.running_aims().values())
                    == ({"2s"} if "took it" in outcome_counts else {"1s"})
                )
            )

    run(test())


@pytest.mark.parametrize("seed", range(4))
def test_frozen_agents_are_unknown_and_a_resume_includes_them(tmp_path, seed):
    """Agents freeze at a random time, also during a lease renewal, and do not delay the others."""

    async def test():
        rng = random.Random(seed)
        async with SimulatedFleet(tmp_path, 10, 2, Network(seed, max_delay_s=0.01)) as fleet:
            await fleet.roll_out_first()
            frozen = rng.sample(sorted(fleet.agents), 3)

            async def freeze(_coordinator):
                await asyncio.sleep(rng.random() * 0.6)
                for name in frozen:
                    fleet.network.freeze(name)

            options = RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=6.0)
            waves = WaveOptions(canary=2, shares=(0.5, 1.0), max_unavailable=20)
            coordinator = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")), waves=waves, options=options, during=freeze
            )
            running = fleet.running_aims()
            for name, outcome in outcomes(coordinator).items():
                assert outcome == "unknown" or (outcome == "took it") == (running[name] == "2s"), (
                    name,
                    outcome,
                )
                assert name.split("/")[0] in frozen or outcome in ("took it", "not reached")
            for name in frozen:
                fleet.network.thaw(name)
            resumed = await fleet.resume(coordinator.rollout)
            if coordinator.machine.record.phase is Phase.HALTED:  # a resume changes nothing more
                assert "unknown" not in outcomes(resumed).values()
            else:
                assert resumed.machine.is_complete()
                assert set(fleet.running_aims().values()) == {"2s"}
            last = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert last.machine.is_complete()
            assert set(fleet.running_aims().values()) == {"3s"}

    run(test(), 4 * TIMEOUT_S)


def test_rollouts_complete_over_a_network_that_loses_duplicates_and_delays_messages(tmp_path):
    async def test(seed):
        network = Network(seed, loss=0.1, duplication=0.2, max_delay_s=0.02)
        async with SimulatedFleet(tmp_path / str(seed), 4, 2, network) as fleet:
            operator, options = (
                fleet.operator(timeout_s=0.3),
                RolloutOptions(watch_s=0.05, window_s=0.05, silence_timeout_s=3.0),
            )
            for number in itertools.count():
                try:
                    coordinator = await fleet.roll_out(
                        ReplaceFiles(files_with_aim(f"{number}s")),
                        operator=operator,
                        options=options,
                    )
                except PlanError:  # no agent responded in time when the waves were planned
                    continue
                if coordinator is None:
                    continue
                while not coordinator.machine.is_complete():
                    assert coordinator.machine.record.phase is not Phase.ROLLED_BACK
                    if coordinator.machine.record.phase is Phase.HALTED:
                        break  # the lease was lost; the next rollout changes all instances
                    coordinator = await fleet.resume(coordinator.rollout, operator, options=options)
                if coordinator.machine.is_complete():
                    running = fleet.running_aims()
                    assert {running[name] for name in outcomes(coordinator)} == {f"{number}s"}
                    if len(outcomes(coordinator)) == len(
                        running
                    ):  # all agents responded when the waves were planned
                        return

    run(asyncio.wait_for(_gather(test(seed) for seed in range(8)), 4 * TIMEOUT_S), 5 * TIMEOUT_S)


async def _gather(tests):
    await asyncio.gather(*tests)


@pytest.mark.parametrize("part", range(4))
def test_two_operators_at_once_have_one_winner_in_each_of_fifty_races(tmp_path, part):
    """With four agents, it is possible that neither operator gets a majority at first."""

    async def race(seed):
        rng = random.Random(seed)
        fleet = SimulatedFleet(tmp_path / str(seed), 4, 1, Network(seed, max_delay_s=0.01))
        async with fleet:

            async def roll_out(name, aim):
                await asyncio.sleep(rng.random() * 0.01)
                (fleet.folder / name).mkdir()
                operator, journal = fleet.operator(name), Journal(fleet.folder / name)
                coordinator = await fleet.roll_out(
                    ReplaceFiles(files_with_aim(aim)),
                    operator,
                    journal,
                    WaveOptions(canary=0, shares=(1.0,), max_unavailable=9),
                )
                journal.close()
                return coordinator

            aims = {"kari": "1s", "ola": "2s"}
            coordinators = dict(
                zip(
                    aims,
                    await asyncio.gather(*(roll_out(*pair) for pair in aims.items())),
                    strict=True,
                )
            )
            winners = [
                name for name, coordinator in coordinators.items() if coordinator is not None
            ]
            rollouts = [
                coordinator.rollout
                for coordinator in coordinators.values()
                if coordinator is not None
            ]
            assert winners
            assert len(set(rollouts)) == len(rollouts)
            # If both won, the second rollout began after the end of the first: both are complete.
            reasons = [
                winner.machine.record.reason
                for winner in coordinators.values()
                if winner is not None
            ]
            assert all(
                winner is None or winner.machine.is_complete() for winner in coordinators.values()
            ), (seed, reasons)
            last = max(
                (winner for winner in coordinators.values() if winner is not None),
                key=lambda winner: winner.rollout,
            )
            assert set(fleet.running_aims().values()) == {aims[last.operator.name]}
            return len(winners)

    async def races():
        counts = []
        for first in range(50 * part, 50 * part + 50, 10):
            counts += await asyncio.gather(*map(race, range(first, first + 10)))
        assert counts.count(1) > 40

    run(races(), 4 * TIMEOUT_S)


def test_a_lost_journal_is_rebuilt_from_the_agents(tmp_path):
    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()
            second = await fleet.roll_out(ReplaceFiles(files_with_aim("2s")))
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s", "dies 0.01")))
            third = await fleet.roll_out(ReplaceFiles(files_with_aim("3s", "refused")))
            responses = await fleet.operator().call_all(messages.StatusRequest())
            rebuilt = rebuild(
                {response.agent: response.body["instances"] for response in responses}
            )
            results = {
                rollout.id: (
                    rollout.record.phase,
                    sorted(status.outcome.value for _, status in rollout.record.statuses),
                )
                for rollout in rebuilt
            }
            assert results[1] == results[second.rollout] == (Phase.DONE, ["took it"] * 3)
            assert results[third.rollout] == (Phase.ROLLED_BACK, ["did not"])
            by_id = {rollout.id: rollout for rollout in rebuilt}
            assert by_id[second.rollout].files_holder is not None
            assert by_id[third.rollout].files_holder is None
            assert {target.base_generation for target in by_id[second.rollout].record.waves[0]} == {
                1
            }

    run(test())


def test_an_instance_that_is_removed_or_added_during_a_rollout(tmp_path):
    """A removed instance does not apply its step; an added one is only in the next rollout."""

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()

            async def change_instances(_coordinator):
                fleet.agents["h2"].instances.pop("n0").stop()
                fleet.agents["h0"].add_instance(
                    "n9", ["127.0.0.1:1"], fleet.folder / "h0" / "n9.sock"
                )
                fleet.agents["h0"].start_instance("n9")

            coordinator = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")),
                waves=WaveOptions(canary=0, shares=(0.4, 1.0), max_unavailable=1),
                during=change_instances,
            )
            assert outcomes(coordinator)["h2/n0"] == "did not"
            assert "there is no n0 here" in coordinator.machine.record.reason
            assert "h0/n9" not in outcomes(coordinator)
            last = await fleet.roll_out(ReplaceFiles(files_with_aim("3s")))
            assert outcomes(last)["h0/n9"] == "took it"

    run(test())


def test_a_rollout_halts_and_sends_nothing_more_after_another_tool_takes_the_lease(
    tmp_path, monkeypatch
):
    monkeypatch.setattr("oakbridge.rollout.lease_holder.LEASE_RENEW_INTERVAL_S", 0.05)

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()

            async def take_lease(_coordinator):
                await asyncio.sleep(0.1)
                # Another tool of the same operator.
                await fleet.operator("kari").acquire_lease(60.0)

            coordinator = await fleet.roll_out(
                ReplaceFiles(files_with_aim("2s")),
                options=RolloutOptions(watch_s=0.3, window_s=0.3, silence_timeout_s=5.0),
                during=take_lease,
            )
            assert coordinator.machine.record.phase is Phase.HALTED
            assert "lease" in coordinator.machine.record.reason
            assert "not reached" in outcomes(coordinator).values()
            assert QUICK.watch_s == 0.05

    run(test())


class FailingJournal(Journal):
    """A journal whose disk fails at every second update, beginning with the first."""

    def __init__(self, folder) -> None:
        super().__init__(folder)
        self.failures, self._updates = 0, 0

    def update(self, rollout, record) -> None:
        self._updates += 1
        if self._updates % 2:
            self.failures += 1
            raise JournalUnavailableError("disk I/O error", "journal.db")
        super().update(rollout, record)


def test_a_rollout_completes_despite_transient_errors_of_its_journal(tmp_path):
    """Steps wait until their record is written, and are sent then."""

    async def test():
        async with SimulatedFleet(tmp_path, 3) as fleet:
            await fleet.roll_out_first()
            journal = FailingJournal(fleet.folder)
            coordinator = await fleet.roll_out(ReplaceFiles(files_with_aim("2s")), journal=journal)
            assert coordinator.machine.is_complete()
            assert journal.failures > 2
            assert (
                Journal(fleet.folder).entry(coordinator.rollout).record
                == coordinator.machine.record
            )

    run(test())
