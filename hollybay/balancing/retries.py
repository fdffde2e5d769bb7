"""Which further attempts and which rejections are safe, and the node's budgets for retries and hedges.

A request may run twice only if its class allows it: SAFE ones anywhere, KEYED ones where servers drop the
duplicate (deduplication scope and window). UNSAFE ones are sent again only if no earlier attempt can have had
an effect.
"""

from __future__ import annotations

from .interface import NEVER_RAN, DeduplicationScope, Effect, Limits, RequestClass, Settings
from .retry_budgets import RetryBudgets
from .state import TrackedAttempt, TrackedRequest, TrackedServer

__all__ = ["ANYWHERE", "RetryPolicy", "RetryScope", "allowed_scope", "is_client_retry_harmless"]

# Hedge tokens credited per request, and the largest number saved up: enough for rare stragglers, too few to
# cause an overload.
HEDGES_PER_REQUEST = 0.1
MAX_SAVED_HEDGES = 10.0
# Retry tokens credited per request, the largest number saved up, and the number that a new node starts with.
RETRIES_PER_REQUEST = 0.5
MAX_SAVED_RETRIES = 50.0
INITIAL_RETRIES = 10.0


class RetryScope:
    """Where a further attempt may go: anywhere, or within one zone or cell (-1: any)."""

    __slots__ = ("cell", "zone")

    def __init__(self, zone: int = -1, cell: int = -1) -> None:
        self.zone = zone
        self.cell = cell

    def allows(self, server: TrackedServer) -> bool:
        """Whether a server is within the scope."""
        return (self.zone < 0 or server.zone == self.zone) and (self.cell < 0 or server.cell == self.cell)


ANYWHERE = RetryScope()


def may_have_run(attempt: TrackedAttempt) -> bool:
    """Whether an attempt, finished or in flight, can have had an effect."""
    return attempt.result not in NEVER_RAN


def deduplication_deadline(first: TrackedAttempt, cls: RequestClass, route_window: int, slack: int) -> int:
    """Return the time (ns) from which servers may no longer recognise a duplicate.

    Parameters
    ----------
    first
        The first attempt that may have run.
    cls
        The request's class, which has a deduplication window.
    route_window
        The window (ns) that the route allows, 0 for no limit; it only shortens that of the class.
    slack
        Time (ns) subtracted because of the resolution of the clock.
    """
    return first.sent_at + cls.retry_window(route_window) - slack


def allowed_scope(
    cls: RequestClass,
    attempts: list[TrackedAttempt],
    now: int,
    hedging_allowed: bool,
    max_attempts: int,
    slack: int = 0,
) -> RetryScope | None:
    """Return where a further attempt may go, such that the request has no effect twice.

    Parameters
    ----------
    cls
        The request's class.
    attempts
        Its attempts so far.
    now
        The time (ns).
    hedging_allowed
        Whether there may be two attempts in flight.
    max_attempts
        The largest number of attempts of a request.
    slack
        Time (ns) subtracted from the deduplication window.

    Returns
    -------
    RetryScope or None
        None if no further attempt is allowed.
    """
    if len(attempts) >= max_attempts:
        return None
    first: TrackedAttempt | None = None
    for attempt in attempts:
        if attempt.result is None and not hedging_allowed:
            return None
        if first is None and may_have_run(attempt):
            first = attempt
    if first is None or cls.effect == Effect.SAFE:
        return ANYWHERE
    if cls.effect == Effect.UNSAFE or now >= deduplication_deadline(first, cls, 0, slack):
        return None
    if cls.deduplication_scope == DeduplicationScope.CELL:
        return RetryScope(cell=first.cell)
    if cls.deduplication_scope == DeduplicationScope.ZONE:
        return RetryScope(zone=first.zone)
    return ANYWHERE


def narrowed_scope(
    cls: RequestClass,
    attempts: list[TrackedAttempt],
    now: int,
    scope: RetryScope | None,
    limits: Limits,
    slack: int,
) -> RetryScope | None:
    """Return an allowed scope as restricted by a route's limits, which can only narrow it.

    Parameters are those of `allowed_scope`; `scope` is its result.
    """
    if scope is None or (limits.attempts and len(attempts) >= limits.attempts):
        return None
    first = next(filter(may_have_run, attempts), None)
    if first is None or cls.effect != Effect.KEYED:
        return scope
    if now >= deduplication_deadline(first, cls, limits.retry_window, slack):
        return None
    if limits.retry_scope == DeduplicationScope.CELL:
        return RetryScope(scope.zone, first.cell)
    if limits.retry_scope == DeduplicationScope.ZONE and scope.cell < 0:
        return RetryScope(zone=first.zone)
    return scope


def is_client_retry_harmless(cls: RequestClass, attempts: list[TrackedAttempt]) -> bool:
    """Whether a retry by the client is harmless, so that the request may be rejected."""
    if cls.effect == Effect.SAFE:
        return True
    if cls.effect == Effect.KEYED and cls.deduplication_scope == DeduplicationScope.ALL:
        return True
    return not any(may_have_run(attempt) for attempt in attempts)


class RetryPolicy:
    """Decides which further attempts are safe, and keeps the budgets for them.

    Parameters
    ----------
    settings
        The node's settings.

    Attributes
    ----------
    hedge_tokens, retry_tokens
        Tokens left in the node's budgets of hedges and of retries.
    route_budgets
        The retry budgets of routes that have one.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.hedge_tokens = 0.0
        self.retry_tokens = INITIAL_RETRIES
        self.route_budgets = RetryBudgets()

    def record_request(self) -> None:
        """Credit the node's budgets for a new request."""
        self.hedge_tokens = min(self.hedge_tokens + HEDGES_PER_REQUEST, MAX_SAVED_HEDGES)
        self.retry_tokens = min(self.retry_tokens + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def scope_of(self, request: TrackedRequest, now: int, hedging_allowed: bool) -> RetryScope | None:
        """Return where a further attempt may go by the request's class, the settings and its route."""
        settings = self.settings
        cls = settings.classes[request.class_index]
        attempts = request.attempts
        slack = settings.tick
        scope = allowed_scope(cls, attempts, now, hedging_allowed, settings.max_attempts, slack)
        if request.limits is not None:
            scope = narrowed_scope(cls, attempts, now, scope, request.limits, slack)
        return scope

    def write_deadline(self, request: TrackedRequest) -> int:
        """Return the time (ns) by which the last byte of a further attempt must be written; 0: no limit.

        Later, servers may no longer recognise the duplicate.
        """
        if not request.attempts:
            return 0
        cls = self.settings.classes[request.class_index]
        if cls.effect != Effect.KEYED:
            return 0
        first = next(filter(may_have_run, request.attempts), None)
        if first is None:
            return 0
        limits = request.limits
        route_window = limits.retry_window if limits is not None else 0
        return deduplication_deadline(first, cls, route_window, self.settings.tick)

    def deposit(self, limits: Limits | None) -> None:
        """Credit the request's route budget, if it has one."""
        if limits is not None and limits.retry_share >= 0.0:
            self.route_budgets.deposit(limits.budget, limits.retry_share)

    def withdraw(self, limits: Limits | None) -> bool:
        """Charge a retry or hedge to the request's route budget, if it has one; False if none is left."""
        if limits is None or limits.retry_share < 0.0:
            return True
        return self.route_budgets.withdraw(limits.budget)
