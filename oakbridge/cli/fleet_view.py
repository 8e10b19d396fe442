"""The output of ``oakbridge fleet status`` and ``watch``: rows for JSON, tables for people."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.peers import STATE_STYLE
from oakbridge.fleet.client import AgentResponse
from oakbridge.fleet.health import instance_health, is_healthy

Row = dict[str, Any]  # in the form that ``--json`` prints

MAX_NAME_WIDTH = 28  # longest name that a column shows, in characters
MAX_EXIT_WIDTH = 26  # longest text on crashes and the last exit, in characters
MAX_GENERATIONS = 4  # newest generations that the total line counts


def agent_row(response: AgentResponse) -> Row:
    """Return an agent's row; without a response, the agent's state is unknown."""
    if not response.ok:
        return {
            "agent": response.agent,
            "state": "unknown",
            "error": response.error or response.body.get("error", ""),
        }
    status = response.body
    return {
        "agent": response.agent,
        "state": "answers",
        "pid": status["pid"],
        "lease": status["lease"],
        "zone": status.get("zone", ""),
        "version": status.get("version", ""),
        "instances": len(status["instances"]),
        "clock_off_s": round(status["time"] - time.time(), 3),
    }


def instance_rows(responses: list[AgentResponse]) -> list[Row]:
    """Return the rows of all instances that agents report, with the health of each."""
    return [
        {"agent": response.agent, "health": instance_health(row), **row}
        for response in responses
        if response.ok
        for row in response.body["instances"]
    ]


def health_by_name(responses: list[AgentResponse], instances: list[Row]) -> dict[str, str]:
    """Return each instance's health by ``AGENT/INSTANCE``; a silent agent's is unknown."""
    health = {response.agent: "unknown" for response in responses if not response.ok}
    for row in instances:
        health[f"{row['agent']}/{row['name']}"] = str(row["health"])
    return health


def health_changes(before: dict[str, str], now: dict[str, str]) -> list[Row]:
    """Return a row for each name whose health differs from the health before."""
    names = sorted(now.keys() | before.keys())
    return [
        {
            "time": round(time.time(), 3),
            "name": name,
            "was": before.get(name),
            "is": now.get(name),
        }
        for name in names
        if now.get(name) != before.get(name)
    ]


def fleet_view(
    responses: list[AgentResponse], instances: list[Row], *, all_rows: bool = True
) -> Group:
    """Return the fleet as a table within 80 columns.  ``all_rows``: not only unhealthy instances.

    Instances come first, then agents that do not respond, then the total.
    """
    table = _instance_table()
    for row in instances:
        if all_rows or not is_healthy(row["health"]):
            table.add_row(*_instance_cells(row))
    silent = [_silent_agent_line(response) for response in responses if not response.ok]
    total = _total_line(instances, len(silent), len(responses))
    return Group(*([table] if table.row_count else []), *silent, total)


def _instance_table() -> Table:
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("instance", no_wrap=True, overflow="ellipsis", max_width=MAX_NAME_WIDTH)
    table.add_column("health", no_wrap=True)
    for name in ("gen", "servers", "req/s"):
        table.add_column(name, justify="right", no_wrap=True)
    table.add_column(
        "crashes, last words", no_wrap=True, overflow="ellipsis", max_width=MAX_EXIT_WIDTH
    )
    return table


def _instance_cells(row: Row) -> list[str | Text]:
    node = row["node"]
    crashes = row["crashes"]
    return [
        f"{row['agent']}/{row['name']}",
        Text(row["health"], style="green" if is_healthy(row["health"]) else "red"),
        str(row["generation"]),
        str(node.get("servers", "")),
        str(node.get("attempts_per_s", "")),
        f"{crashes}: {row['last_exit']}" if crashes else "",
    ]


def _silent_agent_line(response: AgentResponse) -> Text:
    error = agent_row(response)["error"]
    return Text(
        f"{response.agent}: unknown: {error}", style="yellow", no_wrap=True, overflow="ellipsis"
    )


def _total_line(instances: list[Row], unknown_agents: int, agents: int) -> Text:
    health = Counter(row["health"] for row in instances)
    counts = (
        ", ".join(f"{count} {state}" for state, count in health.most_common()) or "no instances"
    )
    generations = Counter(row["generation"] for row in instances)
    newest = sorted(generations.items(), reverse=True)[:MAX_GENERATIONS]
    generation_counts = ", ".join(f"{count} at {number}" for number, count in newest) or "none"
    return Text(
        f"{counts}; {unknown_agents} of {agents} agents unknown; generations: {generation_counts}"
    )


def members_view(members: list[Row]) -> Group:
    """Return the members that one member knows, as a table with the number in each state."""
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for name in ("member", "site", "state", "by", "address", "version"):
        table.add_column(name, no_wrap=True, overflow="ellipsis", max_width=MAX_NAME_WIDTH)
    for row in members:
        state = Text(row["state"], style=STATE_STYLE.get(row["state"], ""))
        table.add_row(row["name"], row["site"], state, row["by"], row["address"], row["version"])
    counts = Counter(row["state"] for row in members)
    return Group(
        table,
        Text(", ".join(f"{count} {state_name}" for state_name, count in counts.most_common())),
    )
