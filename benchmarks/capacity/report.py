"""Formats outcomes as a text table, as JSON and as a plot."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from .fits import Extrapolation, Fit, Point, extrapolate, fit
from .measurement import Measured, NotCarried, Outcome, Rejected
from .registry import MEASUREMENTS

__all__ = ["Series", "as_json", "as_table", "outcome_line", "plot", "series_of"]


class Series(msgspec.Struct, frozen=True):
    """One quantity of a measurement at all sizes. fit, target: None with fewer than two sizes."""

    measurement: str
    quantity: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit | None
    target: Extrapolation | None


def series_of(outcomes: Iterable[Outcome]) -> list[Series]:
    """Group the measured values by quantity, and fit each quantity by size."""
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
    """Format an outcome as a line of text."""
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
    """Format all outcomes, then the fits and their predictions at the expected size."""
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
    """Encode outcomes and series as JSON."""
    kinds = {Measured: "measured", NotCarried: "not carried", Rejected: "refused"}
    found = {
        "outcomes": [{"kind": kinds[type(one)], **msgspec.to_builtins(one)} for one in outcomes],
        "series": series_of(outcomes),
    }
    return msgspec.json.format(msgspec.json.encode(found), indent=1)


def plot(outcomes: Sequence[Outcome], path: Path) -> None:
    """Plot every quantity by size on logarithmic axes, relative to its value at its largest size; a panel for
    each unit of size. A quantity that does not depend on the size is flat, a proportional one diagonal."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawn = [one for one in series_of(outcomes) if len(one.points) > 1 and _largest(one).value > 0]
    panels = list(dict.fromkeys(MEASUREMENTS[one.measurement].counted for one in drawn))
    figure, axes = pyplot.subplots(len(panels), 1, figsize=(10, 4.2 * len(panels)), squeeze=False)
    for panel, axis in zip(panels, axes[:, 0], strict=True):
        for one in drawn:
            if MEASUREMENTS[one.measurement].counted != panel:
                continue
            last = _largest(one)
            label = f"{one.measurement}, {one.quantity}: {_short(last.value)} {one.unit}"
            points = sorted(one.points, key=lambda point: point.size)
            axis.plot(
                [p.size for p in points], [p.value / last.value for p in points], marker="o", label=label
            )
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xlabel(panel)
        axis.set_ylabel("part of the value at the largest size")
        axis.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
        axis.grid(True, which="major", alpha=0.3)
    figure.savefig(path, dpi=80, bbox_inches="tight")
    pyplot.close(figure)


def _largest(one: Series) -> Point:
    return max(one.points, key=lambda point: point.size)


def _short(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
