"""How late the event loop of this process is: what it adds to every time that is measured on it."""

from __future__ import annotations

import asyncio

from hollybay.units import SECOND

__all__ = ["LoopLateness"]

INTERVAL_S = 0.005


class LoopLateness:
    """The lateness of a timer that is set again and again, summed up.

    Its cause may be that the process had no core, or that the loop was busy.

    Attributes
    ----------
    total_ns
        Sum over all turns of the timer.
    """

    def __init__(self) -> None:
        self.total_ns = 0
        self._loop = asyncio.get_running_loop()
        self._due = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to measure."""
        self._due = self._loop.time() + INTERVAL_S
        self._timer = self._loop.call_at(self._due, self._fire)

    def stop(self) -> None:
        """End the measurement."""
        if self._timer is not None:
            self._timer.cancel()

    def until_now_ns(self) -> int:
        """The sum, with the lateness of the turn that is due now."""
        return self.total_ns + max(0, int((self._loop.time() - self._due) * SECOND))

    def _fire(self) -> None:
        self.total_ns = self.until_now_ns()
        self.start()
