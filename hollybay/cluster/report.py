"""The report of a run: its figures, the bounds they exceed, and their output as tables, JSON and a plot."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.table import Table

from hollybay.testbed.ledger import FinalOutcome
from hollybay.units import SECOND

from .evenness import FIGURES, evenness, idle_series, settle_time, share_time
from .harness import Outcome
from .merged_run import MergedRun
from .models import ModelResult, random_by_capacity, single_dispatcher

__all__ = ["ClassFigures", "Report", "plot", "report_of", "tables"]


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """One class of requests; times in ms, shares from 0 to 1."""

    name: str
    asked: int
    served: int
    refused: int
    failed: int
    excused: int
    p50_ms: float
    p99_ms: float
    in_time: float  # share of the requests served within the latency objective


@dataclass(frozen=True, slots=True)
class Report:
    """All figures. beside: the figures of both models on the same arrivals; broken: bounds exceeded."""

    name: str
    seed: int
    nodes: int
    servers: int
    load: float
    figures: dict[str, float]
    beside: dict[str, dict[str, float]]
    classes: tuple[ClassFigures, ...]
    rules: dict[str, int]
    faults: tuple[str, ...]
    excused: dict[str, int]
    door: dict[str, int]  # operators' calls by status, 0 for no response
    trusted: bool
    reasons: tuple[str, ...]
    broken: tuple[str, ...]
    up_seconds: float
    node_cpu: float
    node_memory_mb: float
    rig_cpu: float
    series: tuple[tuple[float, float], ...]  # seconds, and idle while queued as mean over half a second
    keeper_cpu: float = 0.0
    changes: tuple[
        tuple[int, str, str, float], ...
    ] = ()  # policy changes: code, name, reported text, seconds
    under: dict[str, int] = field(default_factory=dict)  # requests begun, by policies in force
    torn: tuple[str, ...] = ()  # violations of atomic policy changes
    status: dict[str, Any] = field(default_factory=dict)  # status of each node at the end
    reasons_by_node: tuple[dict[str, list[str]], ...] = ()  # for each change, why nodes could not serve it

    @property
    def exit_status(self) -> int:
        """0 all rules and bounds hold, 1 a rule or bound is violated, 3 the run is invalid."""
        wrong = self.broken or self.torn or any(self.rules.values())
        return 3 if not self.trusted else 1 if wrong else 0

    def as_json(self) -> dict[str, Any]:
        """Return all fields for a JSON file; the figures are null if the run is invalid."""
        data = asdict(self)
        if not self.trusted:
            for key in ("figures", "beside", "classes", "series", "broken"):
                data[key] = None
        return data


class _Times:
    """Histogram of response times, to three significant figures."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, 120_000_000, 3)  # microseconds

    def add(self, ns: int) -> None:
        self.histogram.record_value(max(1, ns // 1000))

    def ms(self, percentile: float) -> float:
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


def _model_figures(
    played: ModelResult, aim_class: set[str], outcome: Outcome, since: int
) -> dict[str, float]:
    even = evenness(played.visits, outcome.merged.lifetimes, since, outcome.ended)
    times = _Times()
    for rid in aim_class:
        if rid in played.took:
            times.add(played.took[rid])
    return {**even.figures(), "p99_ms": times.ms(99.0), "p50_ms": times.ms(50.0)}


def report_of(outcome: Outcome) -> Report:
    """Compute all figures of a run, from the end of its warm-up to its end."""
    plan, merged = outcome.plan, outcome.merged
    since = outcome.started_at + plan.run.warm
    until = outcome.ended
    counted = {rid: e for rid, e in merged.ledger.requests.items() if since <= e.at < until}
    rows, lost_worth = _classes(outcome, counted)
    even = evenness(merged.visits, merged.lifetimes, since, until)
    classes = merged.ledger.limits.classes
    quick = min(range(len(classes)), key=lambda n: classes[n].latency_objective)
    aimed = {rid for rid, entry in counted.items() if entry.cls == quick}
    beside = {
        name: _model_figures(model(merged.arrivals, merged.lifetimes, plan.seed), aimed, outcome, since)
        for name, model in (("one", single_dispatcher), ("drawn", random_by_capacity))
    }
    figures = even.figures()
    p99 = rows[quick].p99_ms
    asked = max(1, len(counted))
    figures |= {
        "idle_over_floor": max(0.0, even.idle_while_queued - beside["one"]["idle_while_queued"]),
        "lost_worth": lost_worth,
        "refused": sum(row.refused for row in rows) / asked,
        "failed": sum(row.failed - row.excused for row in rows) / asked,
        "p99_ms": p99,
        "p99_over_floor": p99 / beside["one"]["p99_ms"] if beside["one"]["p99_ms"] else 0.0,
    }
    series = idle_series(merged.visits, merged.lifetimes, outcome.started_at, until)
    figures |= _after_faults(outcome, series, len(merged.arrivals))
    broken = tuple(
        f"{name}: {figures.get(name, float('inf')):.4g}, at most {most:g}"
        for name, most in sorted(plan.most.items())
        if not figures.get(name, float("inf")) <= most
    )
    return Report(
        plan.name,
        plan.seed,
        plan.run.nodes,
        plan.run.servers,
        plan.run.load,
        figures,
        beside,
        rows,
        merged.verdict.counts,
        tuple(f"{f.rule}: {f.subject}: {f.reason}" for f in merged.verdict.violations[:50]),
        dict(merged.excused),
        dict(sorted(Counter(str(call.status) for call in merged.admin_calls).items())),
        bool(outcome.validity),
        outcome.validity.reasons,
        broken,
        outcome.up_seconds,
        outcome.node_cpu,
        outcome.node_memory_mb,
        outcome.rig_cpu,
        tuple(_half_second_means(series, outcome.started_at)),
        outcome.keeper_cpu,
        tuple((one[0], one[1], one[2], one[4]) for one in outcome.change_results if one),
        dict(Counter(" and ".join(one.names) for one in merged.requests_begun)),
        _atomicity_violations(merged),
        outcome.status,
        tuple(one[3] for one in outcome.change_results if one),
    )


def _atomicity_violations(merged: MergedRun) -> tuple[str, ...]:
    """Return where a policy change was not atomic over all nodes (hollybay.consensus.invariants)."""
    if not merged.requests_begun and not merged.change_reports:
        return ()
    from hollybay.consensus.invariants import (
        OutcomeReported,
        ReportedOutcome,
        RequestBegun,
        find_violations,
    )

    outcomes = {0: ReportedOutcome.IN_FORCE, 1: ReportedOutcome.NOT_IN_FORCE}
    events: list[RequestBegun | OutcomeReported] = [
        RequestBegun(one.at, one.node, one.names) for one in merged.requests_begun
    ]
    events += [
        OutcomeReported(one.at, one.change, outcomes[one.code])
        for one in merged.change_reports
        if one.change and one.code in outcomes
    ]
    return tuple(f"{violation.node}: {violation.reason}" for violation in find_violations(events)[:50])


def _half_second_means(series: list[tuple[int, float]], began: int) -> list[tuple[float, float]]:
    of: dict[int, list[float]] = {}
    for at, part in series:
        of.setdefault((at - began) * 2 // SECOND, []).append(part)
    return [(n / 2, sum(parts) / len(parts)) for n, parts in sorted(of.items())]


def _classes(outcome: Outcome, counted: dict[str, Any]) -> tuple[tuple[ClassFigures, ...], float]:
    rows = []
    earned = asked = 0.0
    for number, cls in enumerate(outcome.merged.ledger.limits.classes):
        mine = [entry for entry in counted.values() if entry.cls == number]
        times = _Times()
        ends: Counter[FinalOutcome | None] = Counter()
        in_time = 0
        for entry in mine:
            ends[entry.final] += 1
            if entry.final is FinalOutcome.SERVED:
                times.add(entry.ended - entry.at)
                in_time += entry.ended - entry.at <= cls.latency_objective
        earned += cls.priority_weight * in_time
        asked += cls.priority_weight * len(mine)
        rows.append(
            ClassFigures(
                cls.name,
                len(mine),
                ends[FinalOutcome.SERVED],
                ends[FinalOutcome.REFUSED],
                len(mine) - ends[FinalOutcome.SERVED] - ends[FinalOutcome.REFUSED],
                sum(e.excused and e.final not in (FinalOutcome.SERVED, FinalOutcome.REFUSED) for e in mine),
                times.ms(50.0),
                times.ms(99.0),
                in_time / len(mine) if mine else 1.0,
            )
        )
    return tuple(rows), 1.0 - earned / asked if asked else 0.0


def _after_faults(outcome: Outcome, series: list[tuple[int, float]], arrivals: int) -> dict[str, float]:
    """Compute the recovery times: after the first fault, and of servers that are new or restarted."""
    plan, merged = outcome.plan, outcome.merged
    found: dict[str, float] = {}
    faults = [f for f in plan.faults if f.at > plan.run.warm]
    if faults:
        first = min(faults, key=lambda f: f.at)
        before = [
            p for at, p in series if outcome.started_at + plan.run.warm <= at < outcome.started_at + first.at
        ]
        if before:
            took = settle_time(series, sum(before) / len(before), outcome.started_at + first.at)
            found["settle_s"] = took if took is not None else plan.run.seconds / SECOND
    rate = arrivals / (plan.run.seconds / SECOND)
    total = sum(lifetime.capacity for lifetime in merged.lifetimes)
    times = []
    limits = merged.ledger.limits
    for lifetime in merged.lifetimes:
        for start in merged.ledger.starts.get(lifetime.name, ()):
            if start.cold and start.at < outcome.ended:
                warmth = {s: start.slow_start_factor(start.at + s * SECOND, limits) for s in range(60)}
                took = share_time(
                    merged.visits, lifetime, start.at, outcome.ended, rate * lifetime.capacity / total, warmth
                )
                times.append(took if took is not None else (outcome.ended - start.at) / SECOND)
    if times:
        found["share_s"] = max(times)
    return found


def tables(report: Report) -> list[Table]:
    """Return the tables of figures and request classes for a terminal."""
    figures = Table(
        title=f"{report.name}, seed {report.seed}: {report.nodes} nodes, {report.servers} servers"
    )
    for column in ("figure", "this tier", "one node that sees all", "drawn by capacity"):
        figures.add_column(column, justify="left" if column == "figure" else "right")
    for name in FIGURES:
        if name in report.figures:
            others = [report.beside[model].get(name) for model in ("one", "drawn")]
            figures.add_row(
                name, f"{report.figures[name]:.4g}", *("" if v is None else f"{v:.4g}" for v in others)
            )
    classes = Table(title="Requests")
    for column in ("class", "asked", "served", "refused", "failed", "excused", "p50 ms", "p99 ms", "in time"):
        classes.add_column(column, justify="left" if column == "class" else "right")
    for row in report.classes:
        classes.add_row(
            row.name,
            *(str(n) for n in (row.asked, row.served, row.refused, row.failed, row.excused)),
            f"{row.p50_ms:.0f}",
            f"{row.p99_ms:.0f}",
            f"{row.in_time:.3f}",
        )
    return [figures, classes]


def plot(report: Report, path: Path) -> None:
    """Plot idle while queued over the run as a PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 3.5))
    axes.plot([at for at, _ in report.series], [part for _, part in report.series])
    floor = report.beside["one"]["idle_while_queued"]
    axes.axhline(floor, linestyle="--", color="grey", label="one node that sees all, mean")
    axes.set_xlabel("s")
    axes.set_ylabel("idle while queued")
    axes.set_title(f"{report.name}: {report.nodes} nodes, {report.servers} servers, load {report.load:g}")
    axes.set_ylim(bottom=0.0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
