"""The queue of a balancer's scheduled work, for which its caller needs a single timer."""

from __future__ import annotations

from enum import IntEnum
from heapq import heappop, heappush
from typing import NamedTuple

__all__ = ["Wakeup", "WakeupKind", "WakeupQueue"]


class WakeupKind(IntEnum):
    """The kinds of scheduled work."""

    REVIEW = 0
    HEDGE = 1
    SERVER_WAIT = 2  # the next selection for a request that waits for a server
    POLL = 3


class Wakeup(NamedTuple):
    """One entry of the queue; entries are ordered by time.

    Attributes
    ----------
    due
        The time (ns).
    sequence
        The order of entries that are due at the same time.
    kind
        The kind of work that is due.
    request_id
        The request concerned, 0 if there is none.
    """

    due: int
    sequence: int
    kind: WakeupKind
    request_id: int


class WakeupQueue:
    """Wakeups in the order of their time, and the time for which the caller's timer is set."""

    __slots__ = ("_armed_for", "_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[Wakeup] = []
        self._sequence = 0
        self._armed_for = 0  # the earliest time for which a timer is set, 0: none

    def schedule(self, due: int, kind: WakeupKind, request_id: int = 0) -> None:
        """Add a wakeup at a time (ns)."""
        self._sequence += 1
        heappush(self._heap, Wakeup(due, self._sequence, kind, request_id))

    def timer_fired(self, now: int) -> None:
        """Record that a timer has fired at a time (ns)."""
        if self._armed_for and self._armed_for <= now:
            self._armed_for = 0

    def pop_due(self, now: int) -> Wakeup | None:
        """Remove and return the first wakeup that is due; None if there is none."""
        if self._heap and self._heap[0].due <= now:
            return heappop(self._heap)
        return None

    def arm(self, now: int) -> int:
        """Return the delay (ns) of a timer to set now; 0 if an earlier one is set or nothing is scheduled."""
        if not self._heap:
            return 0
        due = self._heap[0].due
        if self._armed_for and due >= self._armed_for:
            return 0
        self._armed_for = max(due, now + 1)
        return self._armed_for - now
