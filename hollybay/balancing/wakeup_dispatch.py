"""Dispatch of due wakeups, when the node's timer fires, to the components that scheduled them."""

from __future__ import annotations

from .decision_context import DecisionContext
from .further_attempts import FurtherAttempts
from .interface import TimerFired
from .server_updates import ServerUpdates
from .wakeups import WakeupKind

__all__ = ["WakeupDispatch"]


class WakeupDispatch:
    """Dispatches the wakeups that are due.

    Parameters
    ----------
    context
        The node's state and components, and the event being handled.
    server_updates
        Handles reviews and polls.
    further_attempts
        Handles hedges and waits for a server.
    """

    def __init__(
        self, context: DecisionContext, server_updates: ServerUpdates, further_attempts: FurtherAttempts
    ) -> None:
        self.context = context
        self.wakeups = context.wakeups
        self.server_updates = server_updates
        self.further_attempts = further_attempts

    def on_timer_fired(self, _: TimerFired) -> None:
        """Handle all wakeups that are due, in the order of their time."""
        now = self.context.now
        self.wakeups.timer_fired(now)
        while (wakeup := self.wakeups.pop_due(now)) is not None:
            if wakeup.kind == WakeupKind.REVIEW:
                self.server_updates.review()
            elif wakeup.kind == WakeupKind.POLL:
                self.server_updates.poll()
            else:
                self.further_attempts.on_wakeup(wakeup.kind, wakeup.request_id)
