"""The tables of docs/CAPACITY.md, from outcomes that were written as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import cast

import msgspec

from .budgets import Range, Verdict, judged
from .measurement import Measured, NotCarried, Outcome, Rejected
from .registry import MEASUREMENTS
from .report import Series, series_of

__all__ = ["budget_table", "read_outcomes", "slope_table"]

_KINDS: dict[str, type[Outcome]] = {"measured": Measured, "not carried": NotCarried, "refused": Rejected}


def read_outcomes(paths: Iterable[Path]) -> list[Outcome]:
    """Outcomes of several files; of one size of one measurement the last that has a figure counts."""
    found: dict[tuple[str, int], Outcome] = {}
    for path in paths:
        for one in msgspec.json.decode(path.read_bytes())["outcomes"]:
            if one["measurement"] not in MEASUREMENTS:
                continue  # of an earlier state of the table
            kind: type[Outcome] = _KINDS[one.pop("kind")]
            outcome = cast(Outcome, msgspec.convert(one, kind))
            key = (outcome.measurement, outcome.size)
            if not isinstance(outcome, NotCarried) or key not in found:
                found[key] = outcome
    order = list(MEASUREMENTS)
    return sorted(found.values(), key=lambda one: (order.index(one.measurement), one.size))


def slope_table(outcomes: Sequence[Outcome]) -> str:
    """Each quantity with the sizes that were run, its slope, and its value at the expected size."""
    lines = [
        "| measurement | quantity | size: value | slope, base (worst residual) | power (worst residual) "
        "| bends | at the expected size |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for one in series_of(outcomes):
        lines.append(_slope_line(one, [o for o in outcomes if o.measurement == one.measurement]))
    return "\n".join(lines)


def _slope_line(one: Series, outcomes: Sequence[Outcome]) -> str:
    cells = [f"{point.size:,.0f}: {short(point.value)}" for point in one.points]
    cells += [f"{o.size:,}: refused" for o in outcomes if isinstance(o, Rejected)]
    cells += [f"{o.size:,}: not carried" for o in outcomes if isinstance(o, NotCarried)]
    head = f"| `{one.measurement}` | {one.quantity}, {one.unit} | {'; '.join(cells)} |"
    if one.fit is None or one.target is None:
        return f"{head} | | | |"
    line, power = one.fit.line, one.fit.power
    straight = f"{short(line.slope)}, {short(line.base)} ({100 * line.worst:.0f} %)"
    curve = f"{power.exponent:.2f} ({100 * power.worst:.0f} %)" if power is not None else ""
    figure = span(Range(one.target.least, one.target.most))
    beyond = "run" if one.target.beyond <= 1 else f"{one.target.beyond:.1f} x the last size"
    bends = "yes" if one.fit.bends else ""
    return f"{head} {straight} | {curve} | {bends} | {figure} at {one.target.size:,.0f} ({beyond}) |"


def budget_table(outcomes: Sequence[Outcome]) -> str:
    """Each row of the budgets with its verdict."""
    lines = [
        "| role | what | figure | budget | verdict | slope x size |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for verdict in judged(series_of(outcomes)):
        row = verdict.row
        figure = "not measured" if verdict.figure is None else f"{span(verdict.figure)} {row.unit}"
        lines.append(
            f"| {row.role} | {row.what} | {figure} | {short(row.budget)} | {said(verdict)} | {row.how} |"
        )
    return "\n".join(lines)


def said(verdict: Verdict) -> str:
    """Over or under, and by what factor."""
    factor = verdict.factor
    if factor is None:
        return ""
    if factor.least > 1:
        return f"**OVER {span(factor)} x**"
    if factor.most <= 1:
        return f"under, {span(factor)} x"
    return f"**OVER or under, {span(factor)} x**"


def span(found: Range) -> str:
    """One figure, or two where they differ."""
    least, most = short(found.least), short(found.most)
    return least if least == most else f"{least} to {most}"


def short(value: float) -> str:
    """Two or three digits that count."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.2g}" if abs(value) < 1 else f"{value:.3g}"
