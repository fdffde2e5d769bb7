"""Definition of a measurement, and the possible outcomes of a run at one size."""

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
    "Rejected",
    "RunFailed",
    "SizeRejected",
    "judge",
]


class SizeRejected(Exception):
    """The measured code rejects this size; the message is the reason that it gives."""


class RunFailed(Exception):
    """The rig could not carry the run; the message says what failed."""


@dataclass(frozen=True, slots=True)
class Figures:
    """Values of a run by quantity. spent: CPU, waiting time and lateness of the rig during the run.

    notes: additional values to report, such as the size of a file.
    """

    values: Mapping[str, float]
    spent: ResourceUsage
    notes: Mapping[str, float] = field(default_factory=dict)

    def only(self, *names: str) -> Figures:
        """A copy with only these quantities."""
        return Figures({name: self.values[name] for name in names}, self.spent, self.notes)


@dataclass(frozen=True, slots=True)
class Measured:
    """A run at one size with its figures."""

    measurement: str
    size: int
    values: Mapping[str, float]
    notes: Mapping[str, float]
    waited_part: float
    late_s: float


@dataclass(frozen=True, slots=True)
class NotCarried:
    """A run at one size that the rig could not carry; it has no figures."""

    measurement: str
    size: int
    reason: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """A size that the measured code rejects, and the reason that it gives."""

    measurement: str
    size: int
    reason: str


Outcome = Measured | NotCarried | Rejected


@dataclass(frozen=True, slots=True)
class Measurement:
    """A cost that is measured at several sizes.

    run: measures one size in this process, or raises SizeRejected; quantities: the unit of each value;
    sizes: the default sizes; quick: the sizes of the tests; counted: the unit of the size; target: the
    expected size; processes: whether it starts other processes, and so takes seconds even at a small size.
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
    """The outcome of a run: its figures, or NotCarried if the rig was too late or starved of CPU."""
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
