"""Outcomes as a table, as JSON and as a plot."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from .fits import Extrapolation, Fit, Point, extrapolate, fit
from .measurement import Measured, NotCarried, Outcome, Rejected
from .registry import MEASUREMENTS

__all__ = ["Series", "as_json", "as_table", "outcome_line", "plot", "series_of"]


class Series(msgspec.Struct, frozen=True):
    """One quantity of one measurement over its sizes. fit, target: None with fewer than two sizes."""

    measurement: str
    quantity: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit | None
    target: Extrapolation | None


def series_of(outcomes: Iterable[Outcome]) -> list[Series]:
    """The quantities of all sizes that have figures, with their fits."""
    measured = [one for one in outcomes if isinstance(one, Measured)]
    found = []
    for name in dict.fromkeys(one.measurement for one in measured):
        measurement = MEASUREMENTS[name]
        runs = [one for one in measured if one.measurement == name]
        for quantity, unit in measurement.quantities.items():
            points = tuple(Point(run.size, run.values[quantity]) for run in runs if quantity in run.values)
            fitted = fit(points) if len({point.size for point in points}) > 1 else None
            at_target = extrapolate(fitted, measurement.target) if fitted is not None else None
            found.append(Series(name, quantity, unit, points, fitted, at_target))
    return found


def outcome_line(outcome: Outcome) -> str:
    """One outcome in words."""
    head = f"{outcome.measurement:24s} {outcome.size:>8,d}  "
    if isinstance(outcome, NotCarried):
        return f"{head}not carried: {outcome.reason}"
    if isinstance(outcome, Rejected):
        return f"{head}refused: {outcome.reason}"
    units = MEASUREMENTS[outcome.measurement].quantities
    values = ", ".join(f"{k} {_short(v)} {units.get(k, '')}".rstrip() for k, v in outcome.values.items())
    notes = "".join(f", {k} {_short(v)}" for k, v in outcome.notes.items())
    return f"{head}{values}{notes}  [waited {100 * outcome.waited_part:.0f} %]"


def as_table(outcomes: Sequence[Outcome]) -> str:
    """All outcomes, and below them the fits and what they say of the expected size."""
    lines = [outcome_line(outcome) for outcome in outcomes]
    lines += ["", "fits (straight line by relative squares; power by logarithms)"]
    for one in series_of(outcomes):
        if one.fit is None or one.target is None:
            continue
        line, power = one.fit.line, one.fit.power
        text = f"{one.measurement:24s} {one.quantity:16s} {_short(line.base)} + {_short(line.slope)} * size"
        text += f" (worst residual {100 * line.worst:.0f} %)"
        if power is not None:
            text += f"; size ** {power.exponent:.2f} ({100 * power.worst:.0f} %)"
        text += "; BENDS" if one.fit.bends else ""
        least, most = _short(one.target.least), _short(one.target.most)
        at = least if least == most else f"{least} to {most}"
        text += f"; at {one.target.size:,.0f}: {at} {one.unit}"
        lines.append(text + (f" ({one.target.beyond:.0f}x beyond)" if one.target.beyond > 1 else " (run)"))
    return "\n".join(lines)


def as_json(outcomes: Sequence[Outcome]) -> bytes:
    """Outcomes and series, for other programs."""
    kinds = {Measured: "measured", NotCarried: "not carried", Rejected: "refused"}
    found = {
        "outcomes": [{"kind": kinds[type(one)], **msgspec.to_builtins(one)} for one in outcomes],
        "series": series_of(outcomes),
    }
    return msgspec.json.format(msgspec.json.encode(found), indent=1)


def plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Each quantity by size, on logarithmic axes, its value at its largest size taken for 1."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 6))
    for one in series_of(outcomes):
        points = sorted(one.points, key=lambda point: point.size)
        if len(points) < 2 or points[-1].value <= 0:
            continue
        label = f"{one.measurement} ({one.quantity}): {_short(points[-1].value)} {one.unit} at most"
        axes.plot(
            [p.size for p in points], [p.value / points[-1].value for p in points], marker="o", label=label
        )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("size")
    axes.set_ylabel("part of the value at the largest size that was run")
    axes.legend(fontsize=6, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    axes.grid(True, which="major", alpha=0.3)
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)


def _short(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
