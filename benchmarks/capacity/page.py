"""Tables of docs/CAPACITY.md, generated from outcomes in JSON files."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import cast

import msgspec

from .budgets import Range, Verdict, compare_with_budgets
from .measurement import Measured, NotCarried, Outcome, Rejected
from .registry import MEASUREMENTS
from .report import Series, series_of

__all__ = ["budget_table", "read_outcomes", "slope_table"]

_KINDS: dict[str, type[Outcome]] = {"measured": Measured, "not carried": NotCarried, "refused": Rejected}


def read_outcomes(paths: Iterable[Path]) -> list[Outcome]:
    """Read outcomes from files; for each measurement and size, the last that is not NotCarried counts."""
    found: dict[tuple[str, int], Outcome] = {}
    for path in paths:
        for one in msgspec.json.decode(path.read_bytes())["outcomes"]:
            if one["measurement"] not in MEASUREMENTS:
                continue  # the measurement was removed from the registry
            kind: type[Outcome] = _KINDS[one.pop("kind")]
            outcome = cast(Outcome, msgspec.convert(one, kind))
            key = (outcome.measurement, outcome.size)
            if not isinstance(outcome, NotCarried) or key not in found:
                found[key] = outcome
    order = list(MEASUREMENTS)
    return sorted(found.values(), key=lambda one: (order.index(one.measurement), one.size))


def slope_table(outcomes: Sequence[Outcome]) -> str:
    """Table of all quantities: values by size, slope, and the value at the expected size."""
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
    figure = range_text(Range(one.target.least, one.target.most))
    beyond = "run" if one.target.beyond <= 1 else f"{one.target.beyond:.1f} x the last size"
    bends = "yes" if one.fit.bends else ""
    return f"{head} {straight} | {curve} | {bends} | {figure} at {one.target.size:,.0f} ({beyond}) |"


def budget_table(outcomes: Sequence[Outcome]) -> str:
    """Table of the budgets, each with its figure and verdict."""
    lines = [
        "| role | what | figure | budget | verdict | slope x size |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for verdict in compare_with_budgets(series_of(outcomes)):
        row = verdict.row
        figure = "not measured" if verdict.figure is None else f"{range_text(verdict.figure)} {row.unit}"
        lines.append(
            f"| {row.role} | {row.what} | {figure} | {short(row.budget)} | {verdict_text(verdict)} "
            f"| {row.how} |"
        )
    return "\n".join(lines)


def verdict_text(verdict: Verdict) -> str:
    """Whether the figure is over or under its budget, and by what factor."""
    factor = verdict.factor
    if factor is None:
        return ""
    if factor.least > 1:
        return f"**OVER {range_text(factor)} x**"
    if factor.most <= 1:
        return f"under, {range_text(factor)} x"
    return f"**OVER or under, {range_text(factor)} x**"


def range_text(figure: Range) -> str:
    """The range as one number, or as two if they differ."""
    least, most = short(figure.least), short(figure.most)
    return least if least == most else f"{least} to {most}"


def short(value: float) -> str:
    """Format a value with two or three significant digits."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.2g}" if abs(value) < 1 else f"{value:.3g}"
