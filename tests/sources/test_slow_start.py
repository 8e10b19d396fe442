"""Slow start of a cold server that the server file adds, over sockets."""

import asyncio
import json
from math import sqrt

from peers import SETTINGS, run, with_timeout
from rewritten_files import RecordingStandIn, RewrittenFileHarness, rows_of

from oakbridge.demo.load import LoadGenerator
from oakbridge.node.config import Config
from oakbridge.node.node import Node
from oakbridge.node.settings import read_settings
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.standin.behaviour import Behaviour

RATE = 300  # requests a second
WARM_SERVERS = 6
MIN_CAPACITY = 0.2  # fraction of its capacity that a server has at its start
OVERLOAD_FACTOR = 2.5
WINDOW_S = 1.0


def test_server_added_by_a_file_gets_requests_without_overload(tmp_path):
    """It gets some requests, but at most the overload factor times its capacity in any window."""
    path = tmp_path / "servers.json"

    async def scenario():
        loop = asyncio.get_running_loop()
        stand_ins = {}
        for i in range(WARM_SERVERS + 1):
            stand_ins[f"s{i}"] = RecordingStandIn(
                f"s{i}", Behaviour(0.004), i, lambda: node.clock.now()
            )
            await stand_ins[f"s{i}"].start()

        def write(count: int) -> None:
            servers = {
                name: ("ready", stand_in.address[1])
                for name, stand_in in list(stand_ins.items())[:count]
            }
            path.with_suffix(".new").write_text(json.dumps({"endpoints": rows_of(servers)}))
            path.with_suffix(".new").rename(path)

        write(WARM_SERVERS)
        cold = SETTINGS["invariants"] | {
            "cold-from": MIN_CAPACITY,
            "fall-multiple": OVERLOAD_FACTOR,
            "warm-up": 60_000_000,
        }
        settings = RewrittenFileHarness.with_pinned_list(
            read_settings(SETTINGS | {"discovery": "pushed", "invariants": cold})
        )
        config = Config("n", ("127.0.0.1", 0), None, 7, 1024, None, settings)
        node = Node(
            config, loop, lambda clock: FileSource(FileOptions(path, settle_s=0.01), clock.now)
        )
        node.source.start()
        await with_timeout(node.source.ready())
        node.start()
        load = LoadGenerator(node.server.address, {"look": 10.0}, RATE, 3.0, 5)
        running = asyncio.create_task(load.run())
        while load.tally.done < RATE // 2:
            await asyncio.sleep(0.01)
        write(WARM_SERVERS + 1)
        tally = await with_timeout(running)
        node.close()
        new_server = stand_ins[f"s{WARM_SERVERS}"]
        for each in stand_ins.values():
            each.stop()
        assert tally.answered == {200: tally.sent}
        assert new_server.arrived_at, "the new server got no requests"
        even_rate = RATE / (WARM_SERVERS + 1)  # requests per second for a warm server
        allowed_rate = even_rate * MIN_CAPACITY * OVERLOAD_FACTOR  # requests per second
        span_s = (new_server.arrived_at[-1] - new_server.arrived_at[0]) / 1e6
        # The mean rate over the whole span holds however fast the machine is.
        assert len(new_server.arrived_at) - 1 <= allowed_rate * span_s
        max_in_window = max(
            sum(
                1
                for time_us in new_server.arrived_at
                if start_us <= time_us < start_us + WINDOW_S * 1e6
            )
            for start_us in new_server.arrived_at
        )
        # As on the platform, a window may have more by chance: requests that the machine delays
        # arrive together.
        assert max_in_window <= allowed_rate * WINDOW_S + 2 * sqrt(allowed_rate * WINDOW_S) + 2

    run(scenario())
