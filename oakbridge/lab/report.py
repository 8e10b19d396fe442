"""Writes the result files of a run: summary.json, tables, histograms and charts."""

from __future__ import annotations

import base64
import json
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

import matplotlib
from hdrh.histogram import HdrHistogram

from oakbridge import __version__
from oakbridge.lab import table
from oakbridge.lab.checks.check import Check, encode_check
from oakbridge.lab.checks.server_load import percentile
from oakbridge.lab.checks.service import first_tries
from oakbridge.lab.checks.site_loss import site_load_by_second
from oakbridge.lab.helper_process import Results
from oakbridge.lab.history import (
    MEMBER_CHANGE_COLUMNS,
    STEP_COLUMNS,
    History,
    encode_member_change,
    encode_step,
)
from oakbridge.lab.process import HelperRole

matplotlib.use("Agg")
from matplotlib import pyplot as plt

MAX_LATENCY_US = 60_000_000  # longer latencies are recorded as this
SIGNIFICANT_DIGITS = 3


def write(
    out: Path, history: History, checks: list[Check], results: Results, seed: int, commit: str
) -> dict[str, Any]:
    """Write all result files of a run; return the summary."""
    rows = first_tries(history)
    classes = [request_class.name for request_class in history.plan.classes]
    summary = {
        "seed": seed,
        "version": __version__,
        "commit": commit,
        "nodes": len(history.fleet.nodes),
        "servers": len(history.fleet.servers),
        "seconds": history.duration_us / 1e6,
        "ok": all(check.holds for check in checks),
        "checks": [encode_check(check) for check in checks],
        "requests": len(rows),
        "status": {
            str(status): count
            for status, count in sorted(Counter(row["status"] for row in rows).items())
        },
        "latency_ms": _write_latencies(out, rows, classes),
        "costs": _costs(results),
        "switch": _sum(results.get(HelperRole.SWITCH, [])),
        "sent late": sum(result["sent late"] for result in results.get(HelperRole.LOAD, [])),
    }
    changes = [encode_member_change(change) for change in history.member_changes]
    table.write(out / "views.parquet", MEMBER_CHANGE_COLUMNS, changes)
    steps = [encode_step(step) for step in history.performed_steps]
    table.write(out / "steps.parquet", STEP_COLUMNS, steps)
    _write_charts(out, history, classes)
    (out / "summary.json").write_text(json.dumps(summary, indent=2) + "\n")
    return summary


def _sum(counts: list[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for process_counts in counts:
        total.update(process_counts)
    return dict(total)


def _write_latencies(
    out: Path, rows: list[dict[str, Any]], classes: list[str]
) -> dict[str, dict[str, float]]:
    percentiles, histograms = {}, {}
    for class_number, name in enumerate(classes):
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for row in rows:
            if row["class"] == class_number and row["status"] == 200:
                histogram.record_value(min(MAX_LATENCY_US, max(1, row["took"])))
        percentiles[name] = {
            f"p{rank:g}": histogram.get_value_at_percentile(rank) / 1e3
            for rank in (50, 90, 99, 99.9)
        }
        encoded = histogram.encode()
        histograms[name] = (
            encoded.decode() if isinstance(encoded, bytes) else base64.b64encode(encoded).decode()
        )
    (out / "latencies.hdr.json").write_text(json.dumps(histograms) + "\n")
    return percentiles


def _costs(results: Results) -> dict[str, float]:
    manager_results = results.get(HelperRole.PROCESS_MANAGER)
    costs = list(manager_results[0]["costs"].values()) if manager_results else []
    if not costs:
        return {}
    return {
        "node seconds of processor, median": percentile([cost[0] for cost in costs], 0.5),
        "node MB of its own, median": percentile([cost[1] for cost in costs], 0.5),
        "node MB of its own, most": max(cost[1] for cost in costs),
    }


def _write_charts(out: Path, history: History, classes: list[str]) -> None:
    seconds = max(1, history.duration_us // 1_000_000)
    figure, axes = plt.subplots(4, 1, figsize=(10, 13), constrained_layout=True)
    _chart_responses(axes[0], history, classes, seconds)
    _chart_changes(axes[1], history, seconds)
    _chart_loads(axes[2], history, seconds)
    for site, rates in site_load_by_second(
        history, [plan_site.name for plan_site in history.plan.sites]
    ).items():
        axes[3].plot(range(seconds), rates, label=f"site {site}")
    axes[3].set(
        xlabel="s",
        ylabel="requests per second",
        title="Load at each site's servers",
        ylim=(0, None),
    )
    axes[3].legend(fontsize=7)
    for axis in (*axes[:2], axes[3]):
        for span in history.schedule.fault_spans:
            axis.axvspan(span.begin_us / 1e6, span.end_us / 1e6, color="0.9", zorder=0)
    figure.savefig(out / "run.png", dpi=110)
    plt.close(figure)


def _chart_responses(axis: Any, history: History, classes: list[str], seconds: int) -> None:
    for class_number, name in enumerate(classes):
        in_time, rejected = Counter[int](), Counter[int]()
        for row in history.requests:
            second = (row["due"] - history.begin_us) // 1_000_000
            if row["class"] == class_number:
                in_time[second] += row["status"] == 200 and row["took"] <= row["aim"]
                rejected[second] += row["status"] in (429, 503)
        (line,) = axis.plot(
            range(seconds),
            [in_time[position] for position in range(seconds)],
            label=f"{name} served in time",
        )
        axis.plot(
            range(seconds),
            [rejected[position] for position in range(seconds)],
            ":",
            color=line.get_color(),
            label=f"{name} rejected",
        )
    axis.set(ylabel="requests per second", title="Responses (grey: faults)")
    axis.legend(fontsize=7, ncols=2)


def _chart_changes(axis: Any, history: History, seconds: int) -> None:
    changes: dict[str, Counter[int]] = defaultdict(Counter)
    for change in history.member_changes:
        changes[change.after][change.at_us // 1_000_000] += 1
    for state, counts in sorted(changes.items()):
        axis.step(
            range(seconds),
            [counts[second] for second in range(seconds)],
            label=f"become {state}",
            where="post",
        )
    axis.set(
        ylabel="changes per second", title="Changes of members in the nodes' views", yscale="symlog"
    )
    axis.legend(fontsize=7)


def _chart_loads(axis: Any, history: History, seconds: int) -> None:
    counts = Counter(
        row["server"]
        for row in history.executions
        if 0 <= row["came"] - history.begin_us < history.duration_us
    )
    for site in sorted({server.site for server in history.fleet.servers}):
        rates = sorted(
            (counts[host.number] / seconds for host in history.fleet.servers if host.site == site),
            reverse=True,
        )
        axis.step(
            [index / max(1, len(rates)) for index in range(len(rates))],
            rates,
            label=f"site {site}",
            where="post",
        )
    axis.set(
        xlabel="servers, busiest first", ylabel="requests per second", title="Load at each server"
    )
    axis.legend(fontsize=7)


def lines(summary: dict[str, Any]) -> list[str]:
    """Return a summary as lines of text."""
    head = f"seed {summary['seed']}, {summary['nodes']} nodes, {summary['servers']} servers, {summary['seconds']:g} s"
    rows = [f"{head}: {'all holds' if summary['ok'] else 'NOT ALL HOLDS'}"]
    for check in summary["checks"]:
        figure = "-" if check["figure"] is None else f"{check['figure']:.4g}"
        wanted = f"  wanted {check['wanted']}" if check["wanted"] else ""
        mark = " " if check["holds"] else "!"
        rows.append(
            f"{mark} {check['name']:<24}{figure:>10}{wanted}{'  ' + check['note'] if check['note'] else ''}"
        )
    for name, percentiles in summary["latency_ms"].items():
        rows.append(
            f"  {name:<24}"
            + "  ".join(f"{rank} {value:.1f} ms" for rank, value in percentiles.items())
        )
    return rows
