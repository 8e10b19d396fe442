"""The result files of a run: summary.json, tables, histograms and charts."""

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

MAX_LATENCY_US = 60_000_000  # longer ones count as this
SIGNIFICANT_DIGITS = 3


def write(
    out: Path, history: History, checks: list[Check], results: Results, seed: int, commit: str
) -> dict[str, Any]:
    """Write all result files of a run; return the summary."""
    rows = first_tries(history)
    classes = [c.name for c in history.plan.classes]
    summary = {
        "seed": seed,
        "version": __version__,
        "commit": commit,
        "nodes": len(history.fleet.nodes),
        "servers": len(history.fleet.servers),
        "seconds": history.duration_us / 1e6,
        "ok": all(c.holds for c in checks),
        "checks": [encode_check(c) for c in checks],
        "requests": len(rows),
        "status": {str(k): n for k, n in sorted(Counter(r["status"] for r in rows).items())},
        "latency_ms": _latencies(out, rows, classes),
        "costs": _costs(results),
        "switch": _sum(results.get(HelperRole.SWITCH, [])),
        "sent late": sum(r["sent late"] for r in results.get(HelperRole.LOAD, [])),
    }
    changes = [encode_member_change(change) for change in history.member_changes]
    table.write(out / "views.parquet", MEMBER_CHANGE_COLUMNS, changes)
    steps = [encode_step(step) for step in history.performed_steps]
    table.write(out / "steps.parquet", STEP_COLUMNS, steps)
    _charts(out, history, classes)
    (out / "summary.json").write_text(json.dumps(summary, indent=2) + "\n")
    return summary


def _sum(counts: list[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return dict(total)


def _latencies(
    out: Path, rows: list[dict[str, Any]], classes: list[str]
) -> dict[str, dict[str, float]]:
    found, kept = {}, {}
    for k, name in enumerate(classes):
        histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for row in rows:
            if row["class"] == k and row["status"] == 200:
                histogram.record_value(min(MAX_LATENCY_US, max(1, row["took"])))
        found[name] = {
            f"p{q:g}": histogram.get_value_at_percentile(q) / 1e3 for q in (50, 90, 99, 99.9)
        }
        encoded = histogram.encode()
        kept[name] = (
            encoded.decode() if isinstance(encoded, bytes) else base64.b64encode(encoded).decode()
        )
    (out / "latencies.hdr.json").write_text(json.dumps(kept) + "\n")
    return found


def _costs(results: Results) -> dict[str, float]:
    found = results.get(HelperRole.PROCESS_MANAGER)
    costs = list(found[0]["costs"].values()) if found else []
    if not costs:
        return {}
    return {
        "node seconds of processor, median": percentile([c[0] for c in costs], 0.5),
        "node MB of its own, median": percentile([c[1] for c in costs], 0.5),
        "node MB of its own, most": max(c[1] for c in costs),
    }


def _charts(out: Path, history: History, classes: list[str]) -> None:
    seconds = max(1, history.duration_us // 1_000_000)
    figure, axes = plt.subplots(4, 1, figsize=(10, 13), constrained_layout=True)
    _answers(axes[0], history, classes, seconds)
    _views(axes[1], history, seconds)
    _loads(axes[2], history, seconds)
    for site, rates in site_load_by_second(history, [s.name for s in history.plan.sites]).items():
        axes[3].plot(range(seconds), rates, label=f"site {site}")
    axes[3].set(
        xlabel="s", ylabel="requests a second", title="Load at each site's servers", ylim=(0, None)
    )
    axes[3].legend(fontsize=7)
    for axis in (*axes[:2], axes[3]):
        for span in history.schedule.fault_spans:
            axis.axvspan(span.begin_us / 1e6, span.end_us / 1e6, color="0.9", zorder=0)
    figure.savefig(out / "run.png", dpi=110)
    plt.close(figure)


def _answers(axis: Any, history: History, classes: list[str], seconds: int) -> None:
    for k, name in enumerate(classes):
        good, refused = Counter[int](), Counter[int]()
        for row in history.requests:
            second = (row["due"] - history.begin_us) // 1_000_000
            if row["class"] == k:
                good[second] += row["status"] == 200 and row["took"] <= row["aim"]
                refused[second] += row["status"] in (429, 503)
        (line,) = axis.plot(
            range(seconds), [good[s] for s in range(seconds)], label=f"{name} served in time"
        )
        axis.plot(
            range(seconds),
            [refused[s] for s in range(seconds)],
            ":",
            color=line.get_color(),
            label=f"{name} refused",
        )
    axis.set(ylabel="a second", title="Answers (grey: faults)")
    axis.legend(fontsize=7, ncols=2)


def _views(axis: Any, history: History, seconds: int) -> None:
    changes: dict[str, Counter[int]] = defaultdict(Counter)
    for change in history.member_changes:
        changes[change.after][change.at_us // 1_000_000] += 1
    for state, counts in sorted(changes.items()):
        axis.step(
            range(seconds),
            [counts[s] for s in range(seconds)],
            label=f"become {state}",
            where="post",
        )
    axis.set(
        ylabel="views changed a second", title="What nodes hold of each other", yscale="symlog"
    )
    axis.legend(fontsize=7)


def _loads(axis: Any, history: History, seconds: int) -> None:
    counts = Counter(
        e["server"]
        for e in history.executions
        if 0 <= e["came"] - history.begin_us < history.duration_us
    )
    for site in sorted({s.site for s in history.fleet.servers}):
        rates = sorted(
            (counts[s.number] / seconds for s in history.fleet.servers if s.site == site),
            reverse=True,
        )
        axis.step(
            [n / max(1, len(rates)) for n in range(len(rates))],
            rates,
            label=f"site {site}",
            where="post",
        )
    axis.set(
        xlabel="servers, busiest first", ylabel="requests a second", title="Load at each server"
    )
    axis.legend(fontsize=7)


def lines(summary: dict[str, Any]) -> list[str]:
    """Return the lines of a summary as an operator reads it."""
    head = f"seed {summary['seed']}, {summary['nodes']} nodes, {summary['servers']} servers, {summary['seconds']:g} s"
    rows = [f"{head}: {'all holds' if summary['ok'] else 'NOT ALL HOLDS'}"]
    for check in summary["checks"]:
        figure = "-" if check["figure"] is None else f"{check['figure']:.4g}"
        wanted = f"  wanted {check['wanted']}" if check["wanted"] else ""
        mark = " " if check["holds"] else "!"
        rows.append(
            f"{mark} {check['name']:<24}{figure:>10}{wanted}{'  ' + check['note'] if check['note'] else ''}"
        )
    for name, found in summary["latency_ms"].items():
        rows.append(
            f"  {name:<24}" + "  ".join(f"{q} {value:.1f} ms" for q, value in found.items())
        )
    return rows
