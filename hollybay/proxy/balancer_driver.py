"""Drives the balancer: feeds it events at the time of the monotonic clock, and carries out its actions."""

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

# What carries out the actions of each type.
ActionHandlers = Mapping[type, Callable[[Any], None]]


class BalancerDriver:
    """One balancer, its clock and its timers.

    Parameters
    ----------
    settings, seed
        Of the balancer.
    handlers
        What carries out the actions of each type; the driver itself carries out `SetTimer` and `Log`.
    event_failed
        Takes an event whose handling raised an exception, so that the request that it struck can be ended.

    Attributes
    ----------
    now
        The time (ns) that the balancer was last told.
    timers
        The balancer's timers that run.
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
        """Feed an event after those that are queued; its actions are carried out before the next one.

        Parameters
        ----------
        event
            The event.
        at
            The earliest time (ns) that the balancer is told for it.
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
        # An exception costs the request that it struck, never the process and with it all the others.
        try:
            for action in self.balancer.handle(now, event):
                self._handlers[type(action)](action)
        except Exception:
            log.exception("the balancer failed on %s", type(event).__name__)
            self._event_failed(event)

    def _set_timer(self, action: api.SetTimer) -> None:
        # Counted from the balancer's clock, which an early call may have put ahead: a timer that fires before
        # it is due by that clock is ignored by the balancer, which would then wait for it for ever.
        due = self.now + action.delay

        def fire() -> None:
            self.timers.discard(handle)
            # The loop may call a little early; the balancer would ignore a timer that is not yet due.
            self.feed(api.TimerFired(action.token), due)

        handle = self._loop.call_later(max(0, due - system.monotonic_ns()) / SECOND, fire)
        self.timers.add(handle)

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)
