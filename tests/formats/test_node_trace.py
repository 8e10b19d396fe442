"""The trace lines of a node with OAKBRIDGE_TRACE=1, compared with the log of an earlier version.

``fixtures/node/trace.log`` has the trace lines of a run like that of :func:`traced_run`.
"""

import asyncio
import importlib.util
import json
import os
import signal
import sys
from collections import Counter
from dataclasses import fields
from pathlib import Path

from peers import (
    SETTINGS,
    Client,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint,
    free_ports,
    listing,
    reply,
    run,
    with_timeout,
)

from oakbridge.node.settings import read_settings
from oakbridge.node.trace_format import RESULT_NAMES, encode_settings
from oakbridge.policy.events import AttemptResult

ROOT = Path(__file__).parents[2]
FIXTURE = Path(__file__).parent / "fixtures" / "node" / "trace.log"
LINE_START = " trace {"
# Counts since the last line; counts of zero are omitted.
COUNTS = [
    "taken", "sent", "again", "cold", "served", "refuse", "fail", "cancel", "settimer", "watch",
    "lists", "lists_lost", "opened", "refused_connections", "asked_whole", "asked_changes",
    "list_lines",
]  # fmt: skip


def fleet_day():
    """Import the program that sums the lines of all nodes."""
    spec = importlib.util.spec_from_file_location("fleet_day", ROOT / "benchmarks" / "fleet_day.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def trace_lines(log: str) -> list[str]:
    return [
        line[line.index(LINE_START) + len(LINE_START) - 1 :]
        for line in log.splitlines()
        if LINE_START in line
    ]


async def traced_run(folder: Path) -> str:
    """Run a node with one server that listens and one that does not; return its log.

    Two requests are served, one fails and one is rejected.
    """
    responses = {
        "/ok": reply(200),
        "/full": reply(503, b"", "X-Not-Processed: 1"),
        "/error": reply(500),
    }
    async with (
        ScriptedServer(lambda request: responses[request.url]) as server,
        ScriptedDiscovery() as discovery,
    ):
        port, closed = free_ports(2)
        discovery.put(listing(2, endpoint("s-0", server.port), endpoint("s-1", closed)))
        raw = {
            "name": "n3", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "7", "limits": {"sockets": 1024}, "settings": SETTINGS,
            "known": listing(1, endpoint("s-0", server.port)),
        }  # fmt: skip
        (folder / "c.json").write_text(json.dumps(raw))
        given = os.environ | {"NODE_CONFIG": str(folder / "c.json"), "OAKBRIDGE_TRACE": "1"}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakbridge", cwd=ROOT, env=given, stderr=asyncio.subprocess.PIPE
        )
        try:
            log = await read_log_until(process, "node listening")
            calls = [("/ok", "look"), ("/ok", "book"), ("/error", "book"), ("/full", "brief")]
            for url, priority_class in calls:
                client = await Client.connect(port)
                client.send(priority_class, url=url)
                await client.read_response()
                client.close()
            for _ in range(2):
                log += await read_log_until(process, LINE_START)
            process.send_signal(signal.SIGTERM)
            log += (await with_timeout(process.stderr.read())).decode()
            assert await with_timeout(process.wait()) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
    return log


async def read_log_until(process, text: str) -> str:
    lines = []
    while not lines or text not in lines[-1]:
        lines.append((await with_timeout(process.stderr.readline())).decode())
        assert lines[-1], "the node has exited"
    return "".join(lines)


def fixed_fields(line: dict) -> list[str]:
    return [name for name in line if name not in COUNTS]


def test_trace_has_the_fields_of_the_earlier_version(tmp_path):
    log = run(traced_run(tmp_path))
    start, *lines = trace_lines(log)
    start_before, *lines_before = trace_lines(FIXTURE.read_text())
    at, at_before = (f'"at":{json.loads(line)["at"]}' for line in (start, start_before))
    assert start.replace(at, at_before) == start_before
    lines, before = [json.loads(line) for line in lines], json.loads(lines_before[0])
    for line in lines:
        assert fixed_fields(line) == fixed_fields(before)
        assert set(line) - set(fixed_fields(line)) <= set(COUNTS)
        assert all(line[name] for name in COUNTS if name in line)
    total = Counter()
    for line in lines:
        total.update({name: line[name] for name in COUNTS if name in line})
    assert (total["taken"], total["served"]) == (4, 2)
    results = Counter()
    for line in lines:
        for counts in line["ends"].values():
            results.update(counts)
    assert results["ok"] == 2
    assert results["error"] >= 1
    assert results["full"] + results["connect_failed"] >= 1
    assert total["sent"] == sum(count for name, count in results.items() if name != "cold")
    assert total["refused_connections"] <= total["opened"] <= total["sent"]
    assert total["refuse"] + total["fail"] == 2


def test_fleet_program_reads_the_earlier_log():
    """The program sums the counts of a line of the fixture."""
    module = fleet_day()
    entries = list(module.read_trace_lines(FIXTURE.parent))
    assert [line["node"] for line in entries] == ["n3"] * 3
    sums = module.sum_lines(entries[1:2])
    assert {name: sums[name] for name in ("nodes", "taken", "served", "ok")} == {
        "nodes": 1, "taken": 4, "served": 2, "ok": 2,
    }  # fmt: skip


def test_each_setting_and_each_result_has_a_name():
    """Guards against a new setting that the trace's first line lacks."""
    settings = read_settings(SETTINGS)
    encoded = encode_settings(settings)
    assert len(encoded) == len(fields(settings))
    assert len(encoded["classes"][0]) == len(fields(settings.classes[0]))
    assert len(encoded["goal"]) == len(fields(settings.goal))
    assert len(encoded["prices"]) == len(fields(settings.prices))
    assert set(RESULT_NAMES) == set(AttemptResult)
