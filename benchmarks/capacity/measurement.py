"""What a measurement is, and what one size of it may come to."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hollybay.hollow.meter import Limits, ResourceUsage, late_reason

__all__ = [
    "Figures",
    "Measured",
    "Measurement",
    "NotCarried",
    "Outcome",
    "RefusedSize",
    "Rejected",
    "RunFailed",
    "judge",
]


class RefusedSize(Exception):
    """What is measured refuses this size; the text is its own reason."""


class RunFailed(Exception):
    """The rig could not carry a run; the text says what failed."""


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run found, by name of the quantity; spent: what the rig was while it ran.

    notes: what else the page should say, such as the size of a file.
    """

    values: Mapping[str, float]
    spent: ResourceUsage
    notes: Mapping[str, float] = field(default_factory=dict)

    def only(self, *names: str) -> Figures:
        """These quantities of it."""
        return Figures({name: self.values[name] for name in names}, self.spent, self.notes)


@dataclass(frozen=True, slots=True)
class Measured:
    """One size with its figures."""

    measurement: str
    size: int
    values: Mapping[str, float]
    notes: Mapping[str, float]
    waited_part: float
    late_s: float


@dataclass(frozen=True, slots=True)
class NotCarried:
    """One size that the rig could not carry: it has no figure."""

    measurement: str
    size: int
    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """One size that the measured code refuses, and the reason that it gives."""

    measurement: str
    size: int
    reason: str


Outcome = Measured | NotCarried | Rejected


@dataclass(frozen=True, slots=True)
class Measurement:
    """One thing that is measured by size.

    run: measures one size in this process, RefusedSize where the code refuses it; quantities: the unit of
    each value; sizes: those that are run by default; quick: those of a test; counted: what the size counts;
    processes: whether it starts other processes, and so takes seconds also where it is small.
    """

    name: str
    title: str
    counted: str
    quantities: Mapping[str, str]
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    run: Callable[[int], Figures]
    target: int
    limits: Limits = field(default_factory=Limits)
    time_limit_s: float = 300.0
    processes: bool = False


def judge(measurement: Measurement, size: int, figures: Figures) -> Outcome:
    """The figures, unless the rig was late."""
    reason = late_reason(figures.spent, measurement.limits)
    if reason:
        return NotCarried(measurement.name, size, reason)
    return Measured(
        measurement.name,
        size,
        dict(figures.values),
        dict(figures.notes),
        figures.spent.waited_part,
        figures.spent.late_s,
    )
