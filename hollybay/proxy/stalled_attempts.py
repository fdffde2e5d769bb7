"""Attempts whose response has begun and then stalled: the server may only have paused, or it may never end.

Such an attempt is not ended, as a sound response would be lost. The balancer is told that it has failed, and
decides on a retry as after any failure; both go on, and the first one that has a response is used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollybay.balancing import interface as api
from hollybay.units import SECOND

from . import system
from .pending_request import FINISHED, PENDING, PendingRequest
from .upstream.attempt import UpstreamAttempt

__all__ = ["StalledAttempts", "cancel_stalled"]

# Share of the time left that a stalled response gets where no other attempt may be made beside it.
SHARE_FOR_STALLED_ATTEMPT = 0.5


class StalledAttempts:
    """Makes other attempts beside those whose response has stalled.

    Parameters
    ----------
    settings
        Settings of the balancer.
    loop
        The event loop.
    feed
        Feeds an event to the balancer.
    """

    def __init__(
        self, settings: api.Settings, loop: asyncio.AbstractEventLoop, feed: Callable[[api.Event], None]
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._feed = feed

    def report(self, request: PendingRequest, attempt: UpstreamAttempt) -> None:
        """Report a stalled attempt to the balancer, if its class may run twice.

        Where there may not be two attempts at a time, it ends when half of the request's time is over, which
        leaves the rest to a retry.
        """
        request_class = self._settings.classes[request.class_index]
        if request.state is not PENDING or request_class.effect == api.Effect.UNSAFE:
            return
        if not self._settings.hedging_allowed:
            self._end_at_half_time(request, attempt)
            return
        attempt.is_reported = True
        request.stalled += 1
        self._feed(
            api.AttemptFinished(
                request.id,
                attempt.number,
                attempt.server,
                api.Result.RESET,
                attempt.response_time(),
                report=attempt.report,
            )
        )

    def _end_at_half_time(self, request: PendingRequest, attempt: UpstreamAttempt) -> None:
        """Let an attempt fail once half of the time left is over, in place of its own timeout."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        left_s = max(0, request.deadline - system.monotonic_ns()) / SECOND
        attempt.timer = self._loop.call_later(left_s * SHARE_FOR_STALLED_ATTEMPT, attempt.connection_lost)


def cancel_stalled(request: PendingRequest) -> None:
    """Cancel the attempts that the balancer takes for failed, if their request needs no response any more."""
    if request.stalled and request.state is FINISHED:
        for attempt in list(request.attempts):
            if attempt is not None and attempt.is_reported and attempt.result is None:
                attempt.cancel()
