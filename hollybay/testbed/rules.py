"""The four rules as pure functions over what is known of one request or one server.

lost   each request gets exactly one final answer, in time (in `ledger`)
dup    a request has no effect twice, and is not rejected as harmless to retry once it may have run
drain  a server gets nothing later than the drain grace after the node was told that it drains
cold   a starting server gets no more work in any window than its present capacity allows, by a multiple

Times are integer nanoseconds on one monotonic clock. Source of the rules: the protocol page of the platform
(outcomes and what they prove) and the settings (grace, window, group, cold share).
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
    """Where and when a request may have run: the zone and cell of the server, the time (ns)."""

    at: int
    zone: int = 0
    cell: int = 0


def repeat_violation(
    cls: api.RequestClass, ran: Sequence[Execution], again: Execution, slack: int = 0
) -> str | None:
    """Why a request that may have run at these places must not run at a further one, or None.

    ran is in order of time; slack (ns) widens the window for clocks and the wire.
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
    """Why a request must not be refused (a retry said to be harmless), or None; ran: it may have run."""
    if not ran or cls.effect == api.Effect.SAFE:
        return None
    if cls.effect == api.Effect.KEYED and cls.deduplication_scope == api.DeduplicationScope.ALL:
        return None
    return "refused what may have run"


def drain_violation(told: int | None, sent: int, grace: int) -> str | None:
    """Why nothing may be sent at this time (ns) to a server whose end was told then, or None."""
    if told is None or sent <= told + grace:
        return None
    return f"sent {(sent - told) / SECOND:.3f} s after the drain was told"


def slow_start_factor(age: int, cold_share: float, warm_up: int) -> float:
    """The part of its capacity that a server has at least at this age (ns), from cold_share to 1."""
    if age >= warm_up:
        return 1.0
    return cold_share + (1.0 - cold_share) * max(0, age) / warm_up


def cold_allowance(
    capacity: float, at: int, cold_share: float, warm_up: int, multiple: float, span: int
) -> float:
    """Work (ns) that may come to a starting server in the span (ns) that ends at this age (ns).

    capacity: work done a second of time when warm, in seconds (cores x speed).
    """
    middle = max(0, at - span // 2)
    return multiple * capacity * slow_start_factor(middle, cold_share, warm_up) * span


class ColdWindow:
    """The work that came to one starting server within the span that ends with the last of it.

    The work of any span must stay within multiple x present capacity x span; one request is left to chance.
    Past its warm-up it is no cold server any more. Times in ns, capacity in seconds of work a second.
    """

    def __init__(self, capacity: float, cold_share: float, warm_up: int, multiple: float, span: int) -> None:
        self.capacity, self.cold_share, self.warm_up = capacity, cold_share, warm_up
        self.multiple, self.span = multiple, span
        self._came: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, age: int, work: int) -> str | None:
        """Note a request, in order of age; why the server was pushed over by it, or None."""
        if age >= self.warm_up:
            return None
        self._came.append((age, work))
        self._total += work
        while self._came[0][0] <= age - self.span:
            self._total -= self._came.popleft()[1]
        allowed = cold_allowance(self.capacity, age, self.cold_share, self.warm_up, self.multiple, self.span)
        if self._total <= allowed + work:
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
    """Why a starting server was pushed over, or None; see ColdWindow.

    arrivals: age of the server (ns) and work (ns) of each request sent to it, in order of age.
    """
    window = ColdWindow(capacity, cold_share, warm_up, multiple, span)
    return next((reason for age, work in arrivals if (reason := window.add(age, work))), None)
