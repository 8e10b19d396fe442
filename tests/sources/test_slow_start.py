"""A cold server that joins by file, over sockets: it gets its part and is not pushed over."""

import asyncio
import json
from math import sqrt

from peers import SETTINGS, run, with_timeout
from rewritten_files import RecordingStandIn, RewrittenFileWorld, rows_of

from oakbridge.demo.load import Load
from oakbridge.node.config import Config
from oakbridge.node.node import Node
from oakbridge.node.settings import read_settings
from oakbridge.sources.file_source import FileOptions, FileSource
from oakbridge.standin.behaviour import Behaviour

RATE = 300  # requests a second
WARM_SERVERS = 6
MIN_SHARE = 0.2  # of a warm server's part, at the start
OVERLOAD_FACTOR = 2.5
WINDOW_S = 1.0


def test_server_that_joins_by_file_is_warmed_up(tmp_path):
    """It gets some requests, but no more than the overload factor allows over the window."""
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
            servers = {n: ("ready", s.address[1]) for n, s in list(stand_ins.items())[:count]}
            path.with_suffix(".new").write_text(json.dumps({"endpoints": rows_of(servers)}))
            path.with_suffix(".new").rename(path)

        write(WARM_SERVERS)
        cold = SETTINGS["invariants"] | {
            "cold-from": MIN_SHARE,
            "fall-multiple": OVERLOAD_FACTOR,
            "warm-up": 60_000_000,
        }
        settings = RewrittenFileWorld.pinned(
            read_settings(SETTINGS | {"discovery": "pushed", "invariants": cold})
        )
        config = Config("n", ("127.0.0.1", 0), None, 7, 1024, None, settings)
        node = Node(
            config, loop, lambda clock: FileSource(FileOptions(path, settle_s=0.01), clock.now)
        )
        node.source.start()
        await with_timeout(node.source.ready())
        node.start()
        load = Load(node.server.address, {"look": 10.0}, RATE, 3.0, 5)
        running = asyncio.create_task(load.run())
        while load.tally.done < RATE // 2:
            await asyncio.sleep(0.01)
        write(WARM_SERVERS + 1)
        tally = await with_timeout(running)
        node.close()
        newcomer = stand_ins[f"s{WARM_SERVERS}"]
        for stand in stand_ins.values():
            stand.stop()
        assert tally.answered == {200: tally.sent}
        assert newcomer.arrived_at, "it is not left out"
        even_rate = RATE / (WARM_SERVERS + 1)  # a second, as if it were warm
        allowed_rate = even_rate * MIN_SHARE * OVERLOAD_FACTOR  # a second
        span_s = (newcomer.arrived_at[-1] - newcomer.arrived_at[0]) / 1e6
        assert (
            len(newcomer.arrived_at) - 1 <= allowed_rate * span_s
        )  # over all of its cold time, whatever pace the machine keeps
        most = max(
            sum(1 for t in newcomer.arrived_at if at <= t < at + WINDOW_S * 1e6)
            for at in newcomer.arrived_at
        )
        # One window allows for chance as the platform does: calls that the machine held up come together.
        assert most <= allowed_rate * WINDOW_S + 2 * sqrt(allowed_rate * WINDOW_S) + 2

    run(scenario())
