"""The guard over repeats and refusals, and the budgets of further attempts."""

from __future__ import annotations

from .interface import NEVER_RAN, DeduplicationScope, Effect, Limits, RequestClass, Settings
from .retry_budgets import Budgets
from .state import Owed, Server, Try

__all__ = ["ANYWHERE", "Repeats", "Scope", "may_refuse", "resend_scope"]

# Further copies per request: enough for rare stragglers, too few to make a storm.
COPY_BUDGET, COPY_SAVED = 0.1, 10.0
# Resends per request on average, and the most that may be saved up.
RESEND_BUDGET, RESEND_SAVED = 0.5, 50.0


class Scope:
    """Where a further attempt may go: anywhere, or within one zone or cell."""

    __slots__ = ("cell", "zone")

    def __init__(self, zone: int = -1, cell: int = -1) -> None:
        self.zone = zone
        self.cell = cell

    def allows(self, server: Server) -> bool:
        return (self.zone < 0 or server.zone == self.zone) and (self.cell < 0 or server.cell == self.cell)


ANYWHERE = Scope()


def closes(first: Try, cls: RequestClass, own: int, slack: int) -> int:
    """When the window of a keyed class is over; own: its route's (ns), 0 for none."""
    return first.sent + (min(own, cls.deduplication_window) if own else cls.deduplication_window) - slack


def resend_scope(
    cls: RequestClass, tries: list[Try], now: int, hedging_allowed: bool, most: int, slack: int = 0
) -> Scope | None:
    """The guard of every further attempt: where it may go, or None. Against effects that happen twice."""
    if len(tries) >= most:
        return None
    first: Try | None = None
    for t in tries:
        if t.result is None and not hedging_allowed:
            return None
        if first is None and t.result not in NEVER_RAN:
            first = t
    if first is None or cls.effect == Effect.SAFE:
        return ANYWHERE
    if cls.effect == Effect.UNSAFE or now >= closes(first, cls, 0, slack):
        return None
    if cls.deduplication_scope == DeduplicationScope.CELL:
        return Scope(cell=first.cell)
    if cls.deduplication_scope == DeduplicationScope.ZONE:
        return Scope(zone=first.zone)
    return ANYWHERE


def limited_scope(
    cls: RequestClass, tries: list[Try], now: int, scope: Scope | None, limits: Limits, slack: int
) -> Scope | None:
    """What an operator's limits leave of a further attempt that the guard allows; they only narrow it."""
    if scope is None or (limits.attempts and len(tries) >= limits.attempts):
        return None
    first = next((t for t in tries if t.result not in NEVER_RAN), None)
    if first is None or cls.effect != Effect.KEYED:
        return scope
    if now >= closes(first, cls, limits.retry_window, slack):
        return None
    if limits.retry_scope == DeduplicationScope.CELL:
        return Scope(scope.zone, first.cell)
    if limits.retry_scope == DeduplicationScope.ZONE and scope.cell < 0:
        return Scope(zone=first.zone)
    return scope


def may_refuse(cls: RequestClass, tries: list[Try]) -> bool:
    """The guard of every refusal, which tells the client that trying again is harmless."""
    if cls.effect == Effect.SAFE:
        return True
    if cls.effect == Effect.KEYED and cls.deduplication_scope == DeduplicationScope.ALL:
        return True
    return all(t.result in NEVER_RAN for t in tries)


class Repeats:
    """What further attempts a node has left, of its own and by route."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.copies = 0.0
        self.resends = RESEND_SAVED / 5
        self.routes = Budgets()  # repeats that routes with a retry budget have left

    def arrived(self) -> None:
        """Each request adds to the node's budgets."""
        self.copies = min(self.copies + COPY_BUDGET, COPY_SAVED)
        self.resends = min(self.resends + RESEND_BUDGET, RESEND_SAVED)

    def scope(self, request: Owed, now: int, hedging_allowed: bool) -> Scope | None:
        """Where a further attempt of a request may go by its class, the settings and its route."""
        settings = self.settings
        cls, tries, slack = settings.classes[request.cls], request.tries, settings.tick
        scope = resend_scope(cls, tries, now, hedging_allowed, settings.max_attempts, slack)
        if request.limits is not None:
            scope = limited_scope(cls, tries, now, scope, request.limits, slack)
        return scope

    def until(self, request: Owed) -> int:
        """When a keyed request's window is over, for the last byte of a further attempt; 0: never."""
        cls, limits = self.settings.classes[request.cls], request.limits
        ran = (t for t in request.tries if t.result not in NEVER_RAN)
        first = next(ran, None) if cls.effect == Effect.KEYED else None
        if first is None:
            return 0
        return closes(first, cls, limits.retry_window if limits is not None else 0, self.settings.tick)

    def save(self, limits: Limits | None) -> None:
        """A request adds to its route's retry budget, where there is one."""
        if limits is not None and limits.retry_share >= 0.0:
            self.routes.save(limits.budget, limits.retry_share)

    def spend(self, limits: Limits | None) -> bool:
        """Take a repeat from its route's retry budget, where there is one; False: none is left."""
        return limits is None or limits.retry_share < 0.0 or self.routes.spend(limits.budget)
