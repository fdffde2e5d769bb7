"""Hedging: a second attempt of a request whose first one takes long, if its route asks for hedges.

Without such a route no hedge is sent; the reasons are in docs/DESIGN-decisions.md.
"""

from __future__ import annotations

from .estimates import Estimates
from .interface import Effect, Limits, RequestClass, Settings
from .retries import ANYWHERE, RetryPolicy
from .server_selection import ServerSelector
from .state import TrackedRequest, TrackedServer

__all__ = ["Hedging"]

# No hedges are sent while attempts lose more than this share of their priority weight: if responses are slow
# everywhere there is an overload, to which hedges would add.
MAX_LOSS_SHARE = 0.1
# If the route sets no delay, a request is hedged after its latency objective divided by this.
OBJECTIVE_DIVISOR = 2


class Hedging:
    """Decides when a request is hedged, and at which server.

    Parameters
    ----------
    settings
        The node's settings; hedging_allowed must be set for any hedge.
    estimates
        What the node has learned from responses.
    retry_policy
        Decides which further attempts are safe, and keeps their budgets.
    selector
        Picks servers.
    """

    def __init__(
        self, settings: Settings, estimates: Estimates, retry_policy: RetryPolicy, selector: ServerSelector
    ) -> None:
        self.settings = settings
        self.estimates = estimates
        self.retry_policy = retry_policy
        self.selector = selector

    def delay(self, limits: Limits | None, cls: RequestClass) -> int | None:
        """Return the time (ns) after which a request of a class is hedged; None if it is not hedged."""
        if limits is None or limits.hedges == 0:
            return None
        if limits.hedges < 0 and not limits.hedge_delay:
            return None
        if not self.settings.hedging_allowed or cls.effect == Effect.UNSAFE:
            return None
        return limits.hedge_delay or cls.latency_objective // OBJECTIVE_DIVISOR

    def pick(self, request: TrackedRequest, now: int) -> TrackedServer | None:
        """Return the server of a request's hedge, and charge the budgets for it; None for no hedge."""
        policy = self.retry_policy
        if request.in_flight_attempts != 1 or policy.hedge_tokens < 1.0:
            return None
        if request.body_pending or request.streaming:
            return None
        if self.estimates.loss_share > MAX_LOSS_SHARE:
            return None
        last = request.attempts[-1]
        if last.server.last_answer_at > last.sent_at:
            # The server has responded to another attempt since: only this attempt takes long.
            return None
        scope = policy.scope_of(request, now, hedging_allowed=True)
        if scope is None:
            return None
        if scope is ANYWHERE:
            server = self.selector.pick_idle_local(now)
        else:
            server = self.selector.pick_within(request, scope, now)
        if server is None or server.in_flight:
            return None
        if any(attempt.server is server for attempt in request.attempts):
            return None
        if not policy.withdraw(request.limits):
            return None
        policy.hedge_tokens -= 1.0
        return server
