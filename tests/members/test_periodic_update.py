"""Periodic updates: errors, and stopping."""

import asyncio

from oakbridge.peers.periodic_update import PeriodicUpdate


def test_a_failed_call_is_logged_and_the_next_one_still_runs(caplog):
    async def scenario():
        calls = []
        called_twice = asyncio.Event()

        async def update():
            calls.append(len(calls))
            if len(calls) == 1:
                raise RuntimeError("the first call fails")
            called_twice.set()

        updates = PeriodicUpdate(update, 0.001, "an update failed")
        updates.start()
        await asyncio.wait_for(called_twice.wait(), 10)
        await updates.stop()
        count = len(calls)
        await asyncio.sleep(0.02)
        assert len(calls) == count

    asyncio.run(scenario())
    assert [record.message for record in caplog.records] == ["an update failed"]


def test_stop_cancels_a_call_in_progress():
    async def scenario():
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def update():
            started.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        updates = PeriodicUpdate(update, 0.001, "an update failed")
        updates.start()
        await asyncio.wait_for(started.wait(), 10)
        await updates.stop()
        assert cancelled.is_set()

    asyncio.run(scenario())


def test_stop_without_start_does_nothing():
    async def update():
        raise AssertionError("called without start")

    asyncio.run(PeriodicUpdate(update, 0.001, "an update failed").stop())
