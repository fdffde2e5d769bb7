"""Lateness of the event loop of this process, which adds to each time measured on it."""

from __future__ import annotations

import asyncio

from hollybay.units import SECOND

__all__ = ["LoopLateness"]

INTERVAL_S = 0.005


class LoopLateness:
    """Sums up the lateness of a periodic timer.

    The timer is late when the process has no core, or when the loop is busy.

    Attributes
    ----------
    total_ns
        Lateness of all firings so far, summed up.
    """

    def __init__(self) -> None:
        self.total_ns = 0
        self._loop = asyncio.get_running_loop()
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to measure."""
        self._due = self._loop.time() + INTERVAL_S
        self._timer = self._loop.call_at(self._due, self._fire)

    def stop(self) -> None:
        """Stop to measure."""
        if self._timer is not None:
            self._timer.cancel()

    def until_now_ns(self) -> int:
        """The sum, with the lateness of a firing that is overdue."""
        return self.total_ns + max(0, int((self._loop.time() - self._due) * SECOND))

    def _fire(self) -> None:
        self.total_ns = self.until_now_ns()
        self.start()
