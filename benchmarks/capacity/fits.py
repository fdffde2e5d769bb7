"""Linear and power-law fits of a figure by size, with residuals. Pure.

Both fits use relative errors: otherwise the largest size alone would determine a line over sizes from 1,000
to 100,000.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

__all__ = ["Extrapolation", "Fit", "Line", "Point", "Power", "extrapolate", "fit", "fit_line", "fit_power"]

# Points are not linear if the line misses one by more than this share of its value, or if the slopes between
# neighbours differ by more than this factor.
MAX_RESIDUAL = 0.25
MAX_SLOPE_RATIO = 1.6
# If the base of the line is negative, an exponent further above 1 than this is a bend, although a line fits
# the few points.
MAX_EXPONENT_DISTANCE = 0.25
# A figure with a small spread does not depend on the size if the line's residual is this share of the spread.
MIN_NOISE_SHARE = 0.2
NEGLIGIBLE_SPREAD = 0.1
MIN_POINTS_FOR_A_BEND = 3


@dataclass(frozen=True, slots=True)
class Point:
    """A figure at a size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Line:
    """value = base + slope * size. residuals: (value - line) / value, for each point."""

    base: float
    slope: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        """The value of the line at a size."""
        return self.base + self.slope * size

    @property
    def worst(self) -> float:
        """The largest residual, without its sign."""
        return max((abs(one) for one in self.residuals), default=0.0)


@dataclass(frozen=True, slots=True)
class Power:
    """value = factor * size ** exponent. residuals: (value - power) / value, for each point."""

    factor: float
    exponent: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        """The value of the power law at a size."""
        return float(self.factor * size**self.exponent)

    @property
    def worst(self) -> float:
        """The largest residual, without its sign."""
        return max((abs(one) for one in self.residuals), default=0.0)


@dataclass(frozen=True, slots=True)
class Fit:
    """Both fits of the same points. power: None if a size or a value is not positive.

    bends: whether three or more points are not linear.
    """

    points: tuple[Point, ...]
    line: Line
    power: Power | None
    bends: bool


@dataclass(frozen=True, slots=True)
class Extrapolation:
    """A figure at a size: least and most of the predictions; beyond: size over the largest measured size."""

    size: float
    least: float
    most: float
    beyond: float


def fit_line(points: Sequence[Point]) -> Line:
    """Least-squares line by relative residuals. ValueError: fewer than two sizes."""
    if len({point.size for point in points}) < 2:
        raise ValueError(f"points: expected at least two sizes for a line, got {len(points)} points")
    weights = [1.0 / max(abs(point.value), 1e-12) ** 2 for point in points]
    total_weight = sum(weights)
    mean_size = sum(w * p.size for w, p in zip(weights, points, strict=True)) / total_weight
    mean_value = sum(w * p.value for w, p in zip(weights, points, strict=True)) / total_weight
    spread = sum(w * (p.size - mean_size) ** 2 for w, p in zip(weights, points, strict=True))
    covariance = sum(
        w * (p.size - mean_size) * (p.value - mean_value) for w, p in zip(weights, points, strict=True)
    )
    slope = covariance / spread
    base = mean_value - slope * mean_size
    residuals = tuple(_relative(p.value, base + slope * p.size) for p in points)
    return Line(base, slope, residuals)


def fit_power(points: Sequence[Point]) -> Power | None:
    """Least-squares power law by logarithms; None if a size or a value is not positive, or with one size."""
    if any(point.size <= 0 or point.value <= 0 for point in points):
        return None
    logs = [(math.log(point.size), math.log(point.value)) for point in points]
    mean_size = sum(x for x, _ in logs) / len(logs)
    mean_value = sum(y for _, y in logs) / len(logs)
    spread = sum((x - mean_size) ** 2 for x, _ in logs)
    if spread == 0:
        return None
    exponent = sum((x - mean_size) * (y - mean_value) for x, y in logs) / spread
    factor = math.exp(mean_value - exponent * mean_size)
    residuals = tuple(_relative(p.value, factor * p.size**exponent) for p in points)
    return Power(factor, exponent, residuals)


def fit(points: Sequence[Point]) -> Fit:
    """Both fits, and whether the points are not linear. ValueError: fewer than two sizes."""
    ordered = tuple(sorted(points, key=lambda point: point.size))
    line = fit_line(ordered)
    power = fit_power(ordered)
    return Fit(ordered, line, power, _bends(ordered, line, power))


def extrapolate(found: Fit, size: float) -> Extrapolation:
    """The measured figure at a size, else a prediction: a range if the points are not linear or are few."""
    last = found.points[-1]
    known = [point.value for point in found.points if point.size == size]
    if known:
        values = known
    elif _flat(found.points, found.line):
        values = [point.value for point in found.points]
    else:
        values = _predictions(found, size)
    return Extrapolation(size, min(values), max(values), size / last.size)


def _predictions(found: Fit, size: float) -> list[float]:
    values = [max(0.0, found.line.at(size)), _last_slope(found.points, size)]
    if found.power is not None and (found.bends or len(found.points) < MIN_POINTS_FOR_A_BEND):
        values.append(found.power.at(size))
    return values


def _last_slope(points: Sequence[Point], size: float) -> float:
    """Extrapolate from the two largest sizes, as smaller sizes may have a different slope."""
    before, last = points[-2], points[-1]
    if last.size == before.size:
        return last.value
    slope = (last.value - before.value) / (last.size - before.size)
    return max(0.0, last.value + slope * (size - last.size))


def _bends(points: Sequence[Point], line: Line, power: Power | None) -> bool:
    if len(points) < MIN_POINTS_FOR_A_BEND:
        return False
    if _flat(points, line):
        return False
    if line.worst > MAX_RESIDUAL:
        return True
    slopes = [
        (after.value - before.value) / (after.size - before.size)
        for before, after in pairwise(points)
        if after.size > before.size
    ]
    if min(slopes) <= 0 or max(slopes) / min(slopes) > MAX_SLOPE_RATIO:
        return True
    return line.base < 0 and power is not None and power.exponent > 1 + MAX_EXPONENT_DISTANCE


def _flat(points: Sequence[Point], line: Line) -> bool:
    """Whether the figure does not depend on the size, within its noise: the spread is small, and a line
    explains little of it."""
    values = [point.value for point in points]
    if min(values) <= 0:
        return False
    spread = max(values) / min(values) - 1
    if spread <= NEGLIGIBLE_SPREAD:
        return True
    return spread <= MAX_RESIDUAL and line.worst >= spread * MIN_NOISE_SHARE


def _relative(value: float, fitted: float) -> float:
    return (value - fitted) / max(abs(value), 1e-12)
