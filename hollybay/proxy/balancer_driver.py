"""Driver of the balancer: passes events to it with the monotonic time, and carries out its actions."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.units import SECOND

from . import system

__all__ = ["ActionHandlers", "BalancerDriver"]

log = logging.getLogger("hollybay.proxy")

# Function that carries out the actions of each type.
ActionHandlers = Mapping[type, Callable[[Any], None]]


class BalancerDriver:
    """A balancer, its clock and its timers.

    Parameters
    ----------
    settings, seed
        Settings of the balancer, and the seed of its random numbers.
    handlers
        Functions that carry out the actions of each type, except `SetTimer` and `Log`, which the driver
        carries out itself.
    event_failed
        Called with an event whose handling raised an exception, so that the affected request can be ended.

    Attributes
    ----------
    now
        Time (ns) that was last passed to the balancer.
    timers
        Running timers of the balancer.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        handlers: ActionHandlers,
        event_failed: Callable[[api.Event], None],
    ) -> None:
        self.now = system.monotonic_ns()
        self.balancer = Balancer(settings, seed, self.now)
        self.timers: set[asyncio.TimerHandle] = set()
        self._loop = asyncio.get_running_loop()
        self._handlers: ActionHandlers = {api.SetTimer: self._set_timer, api.Log: self._log, **handlers}
        self._event_failed = event_failed
        self._queue: deque[tuple[int, api.Event]] = deque()
        self._is_feeding = False

    def feed(self, event: api.Event, at: int = 0) -> None:
        """Feed an event to the balancer, after the queued ones; its actions precede the next event.

        Parameters
        ----------
        event
            The event.
        at
            Minimum time (ns) of the event for the balancer.
        """
        if self._is_feeding:
            self._queue.append((at, event))
            return
        self._is_feeding = True
        try:
            self._handle(max(at, system.monotonic_ns()), event)
            while self._queue:
                at, event = self._queue.popleft()
                self._handle(max(at, system.monotonic_ns()), event)
        finally:
            self._is_feeding = False

    def _handle(self, now: int, event: api.Event) -> None:
        self.now = now
        # An exception ends only the affected request, not the process with all other requests.
        try:
            for action in self.balancer.handle(now, event):
                self._handlers[type(action)](action)
        except Exception:
            log.exception("handling of the balancer event %s failed", type(event).__name__)
            self._event_failed(event)

    def _set_timer(self, action: api.SetTimer) -> None:
        # Relative to the balancer's clock, which may be ahead of the monotonic clock after a timer that fired
        # early. The balancer ignores a timer that fires before it is due by that clock, and would then wait
        # for it forever.
        due = self.now + action.delay

        def fire() -> None:
            self.timers.discard(handle)
            # The event loop may call slightly early, and the balancer would ignore a timer that is not due.
            self.feed(api.TimerFired(action.token), due)

        handle = self._loop.call_later(max(0, due - system.monotonic_ns()) / SECOND, fire)
        self.timers.add(handle)

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)
