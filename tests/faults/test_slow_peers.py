"""A node process between clients and servers that read, write or respond slowly."""

import asyncio

import pytest
from memory_load import running_node_before
from peers import run
from slow_peers import ResponsePlan, SlowServer, get, post

TIMEOUT_S = 1.0  # X-Timeout of the requests
LATE_S = 0.5  # a response that is later than this after its time is lost
MEMORY_MB, SOCKETS = 32, 1024  # the least memory that the platform names


async def post_many(server: SlowServer, count: int, size: int, **options):
    """Have clients send a request each at once; return their answers."""
    async with (
        server.listening() as listening,
        running_node_before([listening], MEMORY_MB, SOCKETS) as (_, port),
    ):
        return await asyncio.gather(*(post(port, size, TIMEOUT_S, **options) for _ in range(count)))


# Guards against responses that are late because a server held the request up, not its client.
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(
    ("size", "server"),
    [
        (900_000, SlowServer(read_bytes_per_s=100_000)),
        (4_000_000, SlowServer(read_bytes_per_s=300_000)),
        (900_000, SlowServer(stops_after_bytes=25_000)),
        (4_000_000, SlowServer(stops_after_bytes=25_000)),
    ],
    ids=["slow-900k", "slow-4M", "stuck-900k", "stuck-4M"],
)
def test_response_is_in_time_though_the_server_reads_a_long_body_slowly(size, server, chunked):
    answers = run(post_many(server, 8, size, chunked=chunked))
    assert {answer.status for answer in answers} <= {502, 503}
    assert max(answer.first_byte_s for answer in answers) <= TIMEOUT_S + LATE_S


# Guards against a deadline that begins anew once the server has taken the body.
def test_response_is_in_time_after_a_client_that_writes_slowly_to_a_stuck_server():
    server = SlowServer(stops_after_bytes=25_000)
    answers = run(post_many(server, 4, 1_000_000, chunked=True, bytes_per_s=500_000))
    assert {answer.status for answer in answers} <= {502, 503}
    assert max(a.first_byte_s - a.sent_s for a in answers) <= TIMEOUT_S + LATE_S


# Guards against a deadline that runs while the node waits for the client.
def test_request_is_served_though_its_client_takes_longer_than_its_timeout_to_write_it():
    answers = run(post_many(SlowServer(), 4, 900_000, bytes_per_s=300_000))
    assert [answer.status for answer in answers] == [200] * 4
    assert max(answer.first_byte_s for answer in answers) > 2 * TIMEOUT_S


async def get_many(server: SlowServer, count: int):
    """Have clients send a request without a body each at once; return their answers."""
    async with (
        server.listening() as listening,
        running_node_before([listening], MEMORY_MB, SOCKETS) as (_, port),
    ):
        return await asyncio.gather(*(get(port, TIMEOUT_S) for _ in range(count)))


# Guards against long responses that are cut off while the server is still writing them.
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.6])
def test_long_response_that_begins_in_time_is_complete_though_written_slowly(delay_s, chunked):
    plan = ResponsePlan(300_000, delay_s, 120_000, chunked)
    answers = run(get_many(SlowServer(response=plan), 4))
    assert [(answer.status, answer.is_complete) for answer in answers] == [(200, True)] * 4
    assert max(answer.first_byte_s for answer in answers) <= TIMEOUT_S + LATE_S


# Guards against short responses that end too late, and look complete.
def test_short_response_of_unknown_length_is_not_completed_after_its_time():
    plan = ResponsePlan(60_000, 0.0, 20_000, chunked=True)
    answers = run(get_many(SlowServer(response=plan), 4))
    assert not [answer for answer in answers if answer.status == 200 and answer.is_complete]
    assert max(answer.last_byte_s for answer in answers) <= TIMEOUT_S + LATE_S
