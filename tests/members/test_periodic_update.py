"""What runs beside a member again and again."""

import asyncio

from oakbridge.peers.periodic_update import PeriodicUpdate


def test_an_error_of_one_call_is_logged_and_contained(caplog):
    async def scenario():
        calls = []
        twice = asyncio.Event()

        async def update():
            calls.append(len(calls))
            if len(calls) == 1:
                raise RuntimeError("the first call fails")
            twice.set()

        updates = PeriodicUpdate(update, 0.001, "an update failed")
        updates.start()
        await asyncio.wait_for(twice.wait(), 10)
        await updates.stop()
        count = len(calls)
        await asyncio.sleep(0.02)
        assert len(calls) == count

    asyncio.run(scenario())
    assert [record.message for record in caplog.records] == ["an update failed"]


def test_a_call_under_way_is_cancelled_by_stop():
    async def scenario():
        begun, cancelled = asyncio.Event(), asyncio.Event()

        async def update():
            begun.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        updates = PeriodicUpdate(update, 0.001, "an update failed")
        updates.start()
        await asyncio.wait_for(begun.wait(), 10)
        await updates.stop()
        assert cancelled.is_set()

    asyncio.run(scenario())


def test_what_was_never_started_may_be_stopped():
    async def update():
        raise AssertionError("called without start")

    asyncio.run(PeriodicUpdate(update, 0.001, "an update failed").stop())
