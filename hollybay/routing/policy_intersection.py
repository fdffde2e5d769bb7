"""The intersection of two policies, in force while one replaces the other: only what both allow.

Each request is resolved under both policies. It is rejected if either rejects it, or if they give it two
classes; otherwise the stricter of each pair of limits applies, and it is counted under the limits of both.
The combined limits of two valid policies are valid: `checks.check_limits` finds no problem in them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TypeVar

from hollybay.balancing import interface as api

from .checks import SCOPE_WIDTH, longest_first_attempt
from .compiled_policy import CompiledPolicy, Rejection
from .limits import EffectiveLimits, LimitSettings, Rate, effective_limits

__all__ = ["PolicyIntersection", "intersect_limits", "separate_scopes"]

# Status for a request to which the two policies assign different classes: the change of policy ends shortly.
CLASS_CONFLICT_STATUS = 503
# Greater than any retry budget: represents the balancer's default where none is stated.
UNSTATED_RETRY_BUDGET = 2.0

T = TypeVar("T", int, float)


class PolicyIntersection:
    """Two policies that apply together, with the methods of `CompiledPolicy` that requests need.

    Parameters
    ----------
    first, second
        The policies; where both reject a request, the response is that of the first.
    settings
        The settings that both were compiled for.
    """

    def __init__(self, first: CompiledPolicy, second: CompiledPolicy, settings: api.Settings) -> None:
        self.first, self.second = first, second
        self.settings = settings
        # Cost: linear in the number of headers, which are few, rather than in the number of routes.
        self.inspected_headers = (
            first.inspected_headers
            if first.inspected_headers is second.inspected_headers
            else first.inspected_headers | second.inspected_headers
        )
        self.peers = first.peers  # a change of [peers] requires a restart
        self.has_tenant_limits = first.has_tenant_limits or second.has_tenant_limits
        # Combined limits by the `id` of both parts, which stay alive as long as their policies.
        self._combined: dict[tuple[int, int], EffectiveLimits] = {}

    def resolve(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes]
    ) -> EffectiveLimits | Rejection | None:
        """Return the limits that both allow a request, or its rejection; None: it names no class."""
        first = self.first.resolve(method, target, headers)
        second = self.second.resolve(method, target, headers)
        if isinstance(first, Rejection):
            return first
        if isinstance(second, Rejection):
            return second
        if first is None or second is None:
            return None
        if first is second:
            return first  # both policies have the same limits for it
        if first.class_index != second.class_index:
            return Rejection(
                CLASS_CONFLICT_STATUS, "two policies take it for two classes, and one gives way now"
            )
        key = (id(first), id(second))
        combined = self._combined.get(key)
        if combined is None:
            request_class = self.settings.classes[first.class_index]
            combined = self._combined[key] = intersect_limits(first, second, request_class)
        return combined

    def scopes(self) -> frozenset[str]:
        """Return all scopes in which either counts requests. Cost: linear in the number of routes."""
        return self.first.scopes() | self.second.scopes()

    def has_scope(self, scope: str) -> bool:
        """Tell whether either counts requests in a scope."""
        return self.first.has_scope(scope) or self.second.has_scope(scope)

    def tenant_limits(self, name: str) -> tuple[EffectiveLimits, ...]:
        """Return the limits of both over all requests of a tenant, so that a request counts once in each."""
        found = (*self.first.tenant_limits(name), *self.second.tenant_limits(name))
        return separate_scopes(found[0], found[1]) if len(found) > 1 else found

    def policies(self) -> tuple[CompiledPolicy, ...]:
        """Return the policies that apply together."""
        return (self.first, self.second)


def intersect_limits(
    first: EffectiveLimits, second: EffectiveLimits, request_class: api.RequestClass
) -> EffectiveLimits:
    """Return the combined limits of a request of a class: only what both allow.

    Raises
    ------
    ValueError
        The limits are of different classes.
    """
    if first.class_index != second.class_index:
        raise ValueError(f"limits of class {first.class_index} and of class {second.class_index}")
    settings = _intersect_settings(first.limit_settings, second.limit_settings, request_class)
    # Retry budgets accrue by scope: the stricter budget continues to accrue in its own scope.
    scope = first.scope if _retry_budget(first) <= _retry_budget(second) else second.scope
    combined = effective_limits(scope, first.class_index, settings)
    return replace(combined, components=separate_scopes(first, second))


def separate_scopes(first: EffectiveLimits, second: EffectiveLimits) -> tuple[EffectiveLimits, ...]:
    """Return limits in force together, each with a scope of its own, so that a request counts once in each.

    Limits of one scope are merged into the lower limit in flight and the lower rate. Rates whose buckets have
    different keys cannot be compared, so the second is counted in a scope of its own.
    """
    if first.scope != second.scope:
        return (first, second)
    counts = [limits.max_in_flight for limits in (first, second) if limits.max_in_flight]
    max_in_flight = min(counts, default=0)
    rate, other_rate = first.rate, second.rate
    if rate is None or other_rate is None:
        return (replace(first, rate=rate or other_rate, max_in_flight=max_in_flight),)
    if (rate.header, rate.tenant) == (other_rate.header, other_rate.tenant):
        return (replace(first, rate=_lower_rate(rate, other_rate), max_in_flight=max_in_flight),)
    return (
        replace(first, max_in_flight=max_in_flight),
        replace(second, scope=f"{second.scope} (its successor)", max_in_flight=0),
    )


def _lower_rate(first: Rate, second: Rate) -> Rate:
    """Return the lower of two rates whose buckets have the same keys."""
    return replace(
        first,
        per_second=min(first.per_second, second.per_second),
        burst=min(first.burst, second.burst),
        max_keys=min(first.max_keys, second.max_keys),
    )


def _retry_budget(limits: EffectiveLimits) -> float:
    stated = limits.limit_settings.retry_budget
    return UNSTATED_RETRY_BUDGET if stated is None else stated


@dataclass(frozen=True, slots=True)
class _AttemptLimits:
    """The stricter limits of two policies on attempts. Durations are in ns; None: not stated."""

    request_timeout: int | None
    attempt_timeout: int | None
    attempts: int | None
    retry_budget: float | None
    deduplication_window: int  # within which servers drop duplicates of a keyed request


def _intersect_settings(
    first: LimitSettings, second: LimitSettings, request_class: api.RequestClass
) -> LimitSettings:
    """Return the stricter settings of both, without contradictions between them."""
    retry_window = _lesser(first.retry_window, second.retry_window)
    limits = _intersect_attempts(first, second, request_class, retry_window)
    hedge_delay = _greater(first.hedge_delay, second.hedge_delay)
    hedges = min(_allowed_hedges(first), _allowed_hedges(second))
    if hedges and not _allows_hedge(limits, hedge_delay, request_class):
        hedges = 0
    return LimitSettings(
        attempt_timeout=limits.attempt_timeout,
        request_timeout=limits.request_timeout,
        attempts=limits.attempts,
        hedges=hedges if hedges or _states_hedges(first) or _states_hedges(second) else None,
        hedge_delay=hedge_delay if hedges else None,
        retry_window=retry_window,
        retry_scope=_narrower_scope(first.retry_scope, second.retry_scope),
        retry_budget=limits.retry_budget,
        body=_lesser(first.body, second.body),
        in_flight=_lesser(first.in_flight, second.in_flight),
        rate=None,  # each rate applies separately, see EffectiveLimits.components
        retry_after=_later_retry_after(first.retry_after, second.retry_after),
        sources={**first.sources, **second.sources},
    )


def _intersect_attempts(
    first: LimitSettings,
    second: LimitSettings,
    request_class: api.RequestClass,
    retry_window: int | None,
) -> _AttemptLimits:
    request_timeout = _lesser(first.request_timeout, second.request_timeout)
    attempt_timeout = _lesser(first.attempt_timeout, second.attempt_timeout)
    if attempt_timeout is not None and request_timeout is not None:
        attempt_timeout = min(attempt_timeout, request_timeout)
    attempts = _lesser(first.attempts, second.attempts)
    retry_budget = _lesser(first.retry_budget, second.retry_budget)
    if retry_budget == 0 and attempts is not None:
        attempts = 1
    window = request_class.retry_window(retry_window)
    is_keyed = request_class.effect == api.Effect.KEYED
    if is_keyed and attempts is not None and attempts > 1 and attempt_timeout:
        # The last attempt must begin within the window. Combined, the two policies may state more attempts
        # with longer time-outs than either does alone.
        attempts = max(1, min(attempts, 1 + (window - 1) // attempt_timeout))
    return _AttemptLimits(request_timeout, attempt_timeout, attempts, retry_budget, window)


def _allows_hedge(limits: _AttemptLimits, hedge_delay: int | None, request_class: api.RequestClass) -> bool:
    """Tell whether a hedge could be sent under these limits."""
    if limits.retry_budget == 0 or (limits.attempts is not None and limits.attempts < 2):
        return False
    if hedge_delay is None:
        return True
    first_attempt = longest_first_attempt(request_class, limits.attempt_timeout, limits.request_timeout)
    is_keyed = request_class.effect == api.Effect.KEYED
    window = limits.deduplication_window if is_keyed else request_class.deadline
    return hedge_delay < first_attempt and hedge_delay < window


def _allowed_hedges(settings: LimitSettings) -> int:
    """Return the hedges that settings allow: none unless their number or their delay is stated."""
    return settings.hedges if settings.hedges is not None else int(settings.hedge_delay is not None)


def _states_hedges(settings: LimitSettings) -> bool:
    return settings.hedges is not None or settings.hedge_delay is not None


def _narrower_scope(first: str | None, second: str | None) -> str | None:
    """Return the scope with fewer servers; one that is not stated is ignored."""
    scopes = [scope for scope in (first, second) if scope is not None]
    return min(scopes, key=lambda scope: SCOPE_WIDTH[api.DEDUPLICATION_SCOPES[scope]]) if scopes else None


def _later_retry_after(
    first: tuple[int, int] | None, second: tuple[int, int] | None
) -> tuple[int, int] | None:
    """Return the later bounds (ns) of Retry-After; bounds that are not stated are ignored."""
    if first is None or second is None:
        return second if first is None else first
    return max(first[0], second[0]), max(first[1], second[1])


def _lesser(first: T | None, second: T | None) -> T | None:
    """Return the lesser of two limits; one that is not stated is ignored."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def _greater(first: T | None, second: T | None) -> T | None:
    """Return the greater of two delays; one that is not stated is ignored."""
    if first is None or second is None:
        return second if first is None else first
    return max(first, second)
