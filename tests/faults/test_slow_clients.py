"""A node process before crowds of slow clients, with a part of a core."""

import pytest
from peers import run
from slow_clients import run_crowd

LATEST_S = 3.0  # the good clients' timeout of 2.5 s, and half a second after which they are lost


# Guards against a process that passes its memory limit under hundreds of slow clients.
@pytest.mark.parametrize(
    ("memory_mb", "slow", "good", "busy"), [(32, 600, 300, 3), (64, 800, 100, 4)]
)
def test_process_stays_within_its_memory_beside_slow_clients_and_busy_processes(
    memory_mb, slow, good, busy
):
    outcome = run(
        run_crowd(memory_mb=memory_mb, slow=slow, good=good, busy=busy, seconds=10.0), limit=90.0
    )
    assert outcome.exit_code is None, outcome.log
    assert outcome.peak_mb <= memory_mb


# Guards against good clients without an answer in time beside hundreds of slow ones.
def test_good_clients_get_their_answers_in_time_beside_slow_ones():
    outcome = run(run_crowd(memory_mb=64, slow=500, good=60, seconds=8.0), limit=90.0)
    assert outcome.good["none in time"] == outcome.good["closed"] == 0
    assert outcome.latest_s <= LATEST_S
    assert outcome.good["200"] > 0
