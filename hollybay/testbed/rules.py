"""The four rules, as pure functions over the records of one request or one server.

lost   each request gets exactly one final response, in time (checked in `ledger`)
dup    a request takes effect at most once, and is not rejected as safe to retry once it may have run
drain  a server gets no request later than the drain grace after the node was told that it drains
cold   the work sent to a starting server in any window is limited to a multiple of its present capacity

Times are integer nanoseconds on one monotonic clock. The rules come from the platform's protocol page
(results and what they prove) and from the settings (grace, window, group, cold share).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hollybay.balancing import interface as api
from hollybay.units import SECOND

__all__ = [
    "ColdWindow",
    "Execution",
    "cold_allowance",
    "cold_violation",
    "drain_violation",
    "rejection_violation",
    "repeat_violation",
    "slow_start_factor",
]


@dataclass(frozen=True, slots=True)
class Execution:
    """A possible execution of a request: the time (ns), and the zone and cell of the server."""

    at: int
    zone: int = 0
    cell: int = 0


def repeat_violation(
    cls: api.RequestClass, ran: Sequence[Execution], again: Execution, slack: int = 0
) -> str | None:
    """Return why a request that may have run before must not run again, or None.

    Parameters
    ----------
    cls
        The class of the request.
    ran
        Its possible executions so far, in order of time.
    again
        The further execution.
    slack
        Extension of the deduplication window (ns), for differences between clocks and network delay.
    """
    if not ran or cls.effect == api.Effect.SAFE:
        return None
    if cls.effect == api.Effect.UNSAFE:
        return "an unsafe request ran again"
    first = ran[0]
    if again.at - first.at >= cls.deduplication_window + slack:
        return "a keyed request ran again past its window"
    if (cls.deduplication_scope == api.DeduplicationScope.CELL and again.cell != first.cell) or (
        cls.deduplication_scope == api.DeduplicationScope.ZONE and again.zone != first.zone
    ):
        return "a keyed request ran again outside its group"
    return None


def rejection_violation(cls: api.RequestClass, ran: bool) -> str | None:
    """Return why a request must not be rejected as safe to retry, or None; `ran`: it may have run."""
    if not ran or cls.effect == api.Effect.SAFE:
        return None
    if cls.effect == api.Effect.KEYED and cls.deduplication_scope == api.DeduplicationScope.ALL:
        return None
    return "rejected as safe to retry, but it may have run"


def drain_violation(told: int | None, sent: int, grace: int) -> str | None:
    """Return why no request may be sent to a server at this time, or None.

    Parameters
    ----------
    told
        When (ns) the node was told that the server drains or is gone; None if it was not.
    sent
        When (ns) the request is sent.
    grace
        How long (ns) after `told` requests may be sent.
    """
    if told is None or sent <= told + grace:
        return None
    return f"sent {(sent - told) / SECOND:.3f} s after the node was told of the drain"


def slow_start_factor(age: int, cold_share: float, warm_up: int) -> float:
    """The fraction of its capacity that a server has at least at this age (ns), from `cold_share` to 1."""
    if age >= warm_up:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0, age) / warm_up


def cold_allowance(
    capacity: float, at: int, cold_share: float, warm_up: int, multiple: float, span: int
) -> float:
    """Work (ns) that may be sent to a starting server within the span (ns) that ends at this age (ns).

    capacity: seconds of work per second when warm (cores x speed).
    """
    middle = max(0, at - span // 2)
    return multiple * capacity * slow_start_factor(middle, cold_share, warm_up) * span


class ColdWindow:
    """Sliding window over the work sent to a starting server.

    The work of any span must not exceed multiple x present capacity x span by more than one request, unless a
    third of it or more came from nodes that had not been told of the start. After the warm-up nothing is
    counted. Times in ns, capacity in seconds of work per second.
    """

    def __init__(self, capacity: float, cold_share: float, warm_up: int, multiple: float, span: int) -> None:
        self.capacity, self.cold_share, self.warm_up = capacity, cold_share, warm_up
        self.multiple, self.span = multiple, span
        self._came: deque[tuple[int, int, int]] = deque()  # age, work, and work of nodes that were told
        self._total = 0
        self._total_told = 0

    def add(self, age: int, work: int, told: bool = True) -> str | None:
        """Add a request, in order of age; returns why it overloads the server, or None.

        told: whether the node that sent it had been told of the start.
        """
        if age >= self.warm_up:
            return None
        work_told = work if told else 0
        self._came.append((age, work, work_told))
        self._total += work
        self._total_told += work_told
        while self._came[0][0] <= age - self.span:
            _, past_work, past_work_told = self._came.popleft()
            self._total -= past_work
            self._total_told -= past_work_told
        allowed = cold_allowance(self.capacity, age, self.cold_share, self.warm_up, self.multiple, self.span)
        if self._total <= allowed + work or 3 * self._total_told <= 2 * self._total:
            return None
        return (
            f"{self._total / SECOND:.2f} s of work within {self.span / SECOND:.1f} s at age "
            f"{age / SECOND:.2f} s, {allowed / SECOND:.2f} s allowed"
        )


def cold_violation(
    arrivals: Iterable[tuple[int, int]],
    capacity: float,
    cold_share: float,
    warm_up: int,
    multiple: float,
    span: int,
) -> str | None:
    """Return why a starting server was overloaded, or None; see `ColdWindow`.

    arrivals: age of the server (ns) and work (ns) of each request sent to it, in order of age.
    """
    window = ColdWindow(capacity, cold_share, warm_up, multiple, span)
    return next((reason for age, work in arrivals if (reason := window.add(age, work))), None)
