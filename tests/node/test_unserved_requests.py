"""Requests without a server's response are counted by reason, and logged once a second at most."""

from peers import RunningNode, ScriptedServer, reply, run, with_timeout

from oakbridge.node.unserved_requests import LOG_INTERVAL_US, UnservedRequests
from oakbridge.policy.actions import UnservedReason

LOGGER = "oakbridge.node.unserved_requests"


def test_a_burst_is_logged_in_few_lines_that_count_all_requests(caplog):
    caplog.set_level("INFO", LOGGER)
    unserved = UnservedRequests()
    for number in range(1000):
        unserved.add(UnservedReason.QUEUE_FULL, LOG_INTERVAL_US + number)
    assert len(caplog.records) == 1
    unserved.add(UnservedReason.RETRY_BUDGET, 2 * LOG_INTERVAL_US)
    unserved.log_new()
    logged = [record.args for record in caplog.records]
    assert logged == [
        (1, UnservedReason.QUEUE_FULL.value),
        (999, UnservedReason.QUEUE_FULL.value),
        (1, UnservedReason.RETRY_BUDGET.value),
    ]
    assert unserved.counts == {UnservedReason.QUEUE_FULL: 1000, UnservedReason.RETRY_BUDGET: 1}


def test_a_request_that_may_have_run_is_failed_and_the_reason_is_logged(caplog):
    caplog.set_level("INFO", LOGGER)

    async def scenario():
        async with ScriptedServer(lambda _: reply(500)) as server, RunningNode(server) as node:
            client = await node.client()
            client.send("book", method="POST")
            assert (await with_timeout(client.read_response()))[0] == 502
            counts = node.node.forwarder.unserved.counts
            assert counts == {UnservedReason.RETRY_UNSAFE: 1}

    run(scenario())
    logged = [record.args for record in caplog.records if record.name == LOGGER]
    assert logged == [(1, UnservedReason.RETRY_UNSAFE.value)]
