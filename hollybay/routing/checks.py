"""Checks limits against the four rules, the platform's caps and each other.

Rule 1 (no request is lost): no time-out is longer than the promised response time or the deadline. Rule 2
(no effect twice): no retry or hedge of an unsafe class, and none of a keyed class outside its deduplication
scope or window. Caps of the platform: attempts, hedges, Retry-After and body sizes are within what the
settings and the node allow.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from .limits import FILE_KEYS, LimitSettings
from .problems import FileProblem

__all__ = [
    "DURATION_LIMITS",
    "MAX_BODY_BYTES",
    "SCOPE_WIDTH",
    "CheckedLimits",
    "check_limits",
    "format_duration",
    "longest_first_attempt",
]

# The largest body that a file may allow, in bytes; the node's own limit is a little higher.
MAX_BODY_BYTES = 32 << 20
# The limits that are durations, in ns.
DURATION_LIMITS = frozenset(("attempt_timeout", "request_timeout", "hedge_delay", "retry_window"))
# How many servers a retry may reach, in order: cell, zone, all.
SCOPE_WIDTH = {
    api.DeduplicationScope.CELL: 0,
    api.DeduplicationScope.ZONE: 1,
    api.DeduplicationScope.ALL: 2,
}


def format_duration(ns: int) -> str:
    """Return a duration (ns) as the operator file writes it."""
    return f"{ns / SECOND:g}s" if ns >= SECOND else f"{ns / MS:g}ms"


def longest_first_attempt(
    request_class: api.RequestClass, attempt_timeout: int | None, request_timeout: int | None
) -> int:
    """Return the longest time (ns) that a first attempt may take; a time-out of None does not limit it."""
    deadline = request_class.deadline
    return min(attempt_timeout or deadline, request_timeout or deadline)


@dataclass(frozen=True, slots=True)
class CheckedLimits:
    """Limits to check: those of a route or class for requests of a class.

    Attributes
    ----------
    table
        The route's or class's table in the operator file.
    """

    table: str
    request_class: api.RequestClass
    limits: LimitSettings

    def problem(self, field: str, reason: str) -> FileProblem:
        """Return a problem of a limit, reported at the table that states it.

        If the limit is inherited, the reason also names the table that it is in force for.
        """
        value = getattr(self.limits, field)
        table = self.limits.sources[field]
        if table != self.table:
            reason = f"{reason} (in force for [{self.table}])"
        if field in DURATION_LIMITS:
            value = format_duration(value)
        return FileProblem(table, FILE_KEYS[field], value, reason)

    def is_specific(self, field: str) -> bool:
        """Tell whether a limit is stated for the class or route, and not inherited from [defaults]."""
        return self.limits.sources.get(field, "defaults") != "defaults"

    def in_same_table(self, first: str, second: str) -> bool:
        """Tell whether two limits are stated in the same table."""
        return self.limits.sources.get(first) == self.limits.sources.get(second)


def check_limits(checked: CheckedLimits, settings: api.Settings) -> Iterator[FileProblem]:
    """Yield all problems of these limits."""
    yield from _check_repeated_effects(checked)
    yield from _check_lost_requests(checked)
    yield from _check_platform_caps(checked, settings)
    yield from _check_contradictions(checked)
    yield from _check_hedge_delay(checked, settings)
    yield from _check_attempts_within_budget(checked)


def _check_repeated_effects(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check rule 2, according to the effect of the class."""
    effect = checked.request_class.effect
    if effect == api.Effect.UNSAFE:
        yield from _check_unsafe(checked)
    elif effect == api.Effect.SAFE:
        yield from _check_safe(checked)
    else:
        yield from _check_keyed(checked)


def _check_unsafe(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check that an unsafe request is never retried or hedged."""
    limits = checked.limits
    name = checked.request_class.name
    why = f"class {name!r} must never run twice, and what seems lost may have run (rule 2)"
    if limits.attempts is not None and limits.attempts > 1:
        reason = f"permits a repeat: {why}; leave it out: the node tries again only where nothing ran"
        yield checked.problem("attempts", reason)
    if limits.hedges:
        yield checked.problem("hedges", f"permits a hedge, a second copy of a request: {why}")
    for field in ("retry_window", "retry_scope"):
        if getattr(limits, field) is not None and checked.is_specific(field):
            yield checked.problem(field, f"permits a repeat: {why}")


def _check_safe(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Reject bounds on where and when a safe request may be retried: it may be retried anywhere."""
    reason = f"class {checked.request_class.name!r} is safe to retry anywhere: there is nothing to restrict"
    for field in ("retry_window", "retry_scope"):
        if getattr(checked.limits, field) is not None and checked.is_specific(field):
            yield checked.problem(field, reason)


def _check_keyed(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check that a keyed request is retried only where, and as long as, servers drop its duplicates."""
    limits, request_class = checked.limits, checked.request_class
    name = request_class.name
    own_window, own_scope = request_class.deduplication_window, request_class.deduplication_scope
    if limits.retry_window is not None and limits.retry_window > own_window:
        past = f"past its window of {format_duration(own_window)}"
        yield checked.problem("retry_window", f"repeats of {name!r} {past} run a second time (rule 2)")
    if limits.retry_scope is not None:
        scope = api.DEDUPLICATION_SCOPES[limits.retry_scope]
        if SCOPE_WIDTH[scope] > SCOPE_WIDTH[own_scope]:
            outside = f"outside its {own_scope.name.lower()}"
            yield checked.problem("retry_scope", f"repeats of {name!r} {outside} run a second time (rule 2)")
    window = request_class.retry_window(limits.retry_window)
    if limits.attempts is not None and limits.attempts > 1 and limits.attempt_timeout is not None:
        last_begins = (limits.attempts - 1) * limits.attempt_timeout
        if last_begins >= window:
            reason = (
                f"the last attempt would begin after {format_duration(last_begins)}, past the window of "
                f"{format_duration(window)} in which servers drop a repeat of {name!r} (rule 2)"
            )
            yield checked.problem("attempts", reason)
    if limits.hedges and limits.hedge_delay is not None and limits.hedge_delay >= window:
        past = f"past its window of {format_duration(window)}"
        yield checked.problem("hedge_delay", f"a hedge of {name!r} {past} runs a second time (rule 2)")


def _check_lost_requests(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check rule 1: no attempt may exceed the promised response time, and no request its deadline."""
    limits, request_class = checked.limits, checked.request_class
    objective, deadline = request_class.latency_objective, request_class.deadline
    if limits.attempt_timeout is not None and limits.attempt_timeout > objective:
        reason = (
            f"longer than the {format_duration(objective)} within which a response of "
            f"{request_class.name!r} is promised (rule 1)"
        )
        yield checked.problem("attempt_timeout", reason)
    if limits.request_timeout is not None and limits.request_timeout > deadline:
        reason = (
            f"longer than the {format_duration(deadline)} that clients of {request_class.name!r} wait: "
            "a later response would be lost (rule 1)"
        )
        yield checked.problem("request_timeout", reason)


def _check_platform_caps(checked: CheckedLimits, settings: api.Settings) -> Iterator[FileProblem]:
    """Check what the settings and the node allow."""
    limits = checked.limits
    if limits.attempts is not None and limits.attempts > settings.max_attempts:
        yield checked.problem("attempts", f"the platform allows {settings.max_attempts} at most")
    if limits.hedges and not settings.hedging_allowed:
        yield checked.problem("hedges", "the platform allows no hedges (second copies)")
    if limits.body is not None and limits.body > MAX_BODY_BYTES:
        yield checked.problem("body", f"the node accepts bodies of {MAX_BODY_BYTES} bytes at most")
    if limits.retry_after is not None:
        least, most = limits.retry_after
        if not settings.max_retry_after:
            yield checked.problem("retry_after", "the platform allows no Retry-After")
        elif most > settings.max_retry_after:
            allowed = format_duration(settings.max_retry_after)
            yield checked.problem("retry_after", f"most: the platform allows {allowed} at most")
        if least > most:
            yield checked.problem("retry_after", "least is more than most")


def _check_contradictions(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check time-outs and hedges against the other limits."""
    limits = checked.limits
    total = limits.request_timeout
    if limits.attempt_timeout is not None and total is not None and limits.attempt_timeout > total:
        reason = f"longer than the request_timeout of {format_duration(total)} for all attempts"
        yield checked.problem("attempt_timeout", reason)
    if limits.hedges:
        if limits.attempts is not None and limits.attempts < 2:
            yield checked.problem("hedges", "a hedge is a second attempt, and only one attempt is allowed")
        if limits.retry_budget == 0:
            yield checked.problem("hedges", "a retry_budget of 0 allows no hedges")


def _check_hedge_delay(checked: CheckedLimits, settings: api.Settings) -> Iterator[FileProblem]:
    """Check that a hedge delay applies to hedges that are allowed, and is shorter than the first attempt."""
    limits, request_class = checked.limits, checked.request_class
    if limits.hedge_delay is None:
        return
    is_unsafe = request_class.effect == api.Effect.UNSAFE
    if limits.hedges == 0 and checked.in_same_table("hedges", "hedge_delay"):
        yield checked.problem("hedge_delay", "there is no hedge to delay: copies is 0")
    if not settings.hedging_allowed and checked.is_specific("hedge_delay"):
        yield checked.problem("hedge_delay", "there is no hedge to delay: the platform allows none")
    if is_unsafe and checked.is_specific("hedge_delay"):
        yield checked.problem("hedge_delay", f"there is no hedge to delay: {request_class.name!r} is unsafe")
    first_attempt = longest_first_attempt(request_class, limits.attempt_timeout, limits.request_timeout)
    if limits.hedges != 0 and not is_unsafe and limits.hedge_delay >= first_attempt:
        reason = f"the first attempt ends after {format_duration(first_attempt)}: no hedge would be sent"
        yield checked.problem("hedge_delay", reason)


def _check_attempts_within_budget(checked: CheckedLimits) -> Iterator[FileProblem]:
    """Check that more than one attempt has a retry budget."""
    limits = checked.limits
    if limits.attempts is not None and limits.attempts > 1 and limits.retry_budget == 0:
        yield checked.problem("attempts", "a retry_budget of 0 allows only one attempt")
