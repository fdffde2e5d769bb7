"""Limits of a route for one class, inherited field by field, each with the table that states it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields

import msgspec

from hollybay.balancing import interface as api

from .schema import LimitsTable, RateTable, RetryAfterTable

__all__ = [
    "FILE_KEYS",
    "EffectiveLimits",
    "LimitSettings",
    "Rate",
    "effective_limits",
    "inherit_limits",
]

# The operator file's key of each limit, by the field's name.
FILE_KEYS = {limit.name: limit.encode_name for limit in msgspec.structs.fields(LimitsTable)}
_HEADER_KEY = "header:"  # prefix of the header's name in a rate's `by`


@dataclass(frozen=True, slots=True)
class Rate:
    """A rate limit by token buckets.

    Attributes
    ----------
    per_second
        Tokens added per second; a request takes one.
    burst
        Maximum number of tokens in a bucket.
    header
        The header (lower case) whose value is the key of a request's bucket; empty: none.
    tenant
        Whether the tenant is the key of a request's bucket.
    max_keys
        Maximum number of buckets; all further keys share one.
    """

    per_second: float
    burst: int
    header: bytes = b""
    tenant: bool = False
    max_keys: int = 10_000


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits as the operator file states them; None: not stated.

    Durations are in ns, sizes in bytes. `FILE_KEYS` has the file's key of each field, and
    docs/OPERATORS-routes.md is the reference.

    Attributes
    ----------
    sources
        By field, the table that states the value.
    """

    attempt_timeout: int | None = None
    request_timeout: int | None = None
    attempts: int | None = None
    hedges: int | None = None
    hedge_delay: int | None = None
    retry_window: int | None = None
    retry_scope: str | None = None
    retry_budget: float | None = None
    body: int | None = None
    in_flight: int | None = None
    rate: Rate | None = None
    retry_after: tuple[int, int] | None = None
    sources: Mapping[str, str] = field(default_factory=dict)


_LIMITS = tuple(limit.name for limit in fields(LimitSettings) if limit.name != "sources")


@dataclass(frozen=True, slots=True)
class EffectiveLimits:
    """Limits in force for a route and a class.

    Attributes
    ----------
    scope
        The name under which requests are counted and retry budgets accrue: the route's name, or `class:NAME`
        where no route matches.
    class_index
        Index of the class in the settings; -1: limits of a tenant, which belong to no class.
    request_timeout
        ns; 0: not limited.
    max_body
        Bytes; -1: not limited.
    max_in_flight
        Requests; 0: not limited.
    retry_after
        Bounds (ns) of Retry-After; None: derived from when a token is available.
    balancer_limits
        The limits that the balancer enforces; None: none of them is stated.
    limit_settings
        The limits as the file states them.
    components
        If not empty, a request is counted under each of these limits instead of under `scope`.
    """

    scope: str
    class_index: int
    request_timeout: int
    max_body: int
    max_in_flight: int
    rate: Rate | None
    retry_after: tuple[int, int] | None
    balancer_limits: api.Limits | None
    limit_settings: LimitSettings
    components: tuple[EffectiveLimits, ...] = ()


def inherit_limits(levels: list[tuple[str, LimitsTable]]) -> LimitSettings:
    """Take each limit from the first level that states it.

    Parameters
    ----------
    levels
        Tables with their names, the most specific first.
    """
    values: dict[str, object] = {}
    sources: dict[str, str] = {}
    for name in _LIMITS:
        for table, limits in levels:
            value = getattr(limits, name)
            if value is not None:
                values[name] = _without_table_types(value)
                sources[name] = table
                break
    return LimitSettings(sources=sources, **values)  # type: ignore[arg-type]


def _without_table_types(value: object) -> object:
    """Convert a value of the operator file's tables to the type that `LimitSettings` has."""
    if isinstance(value, RateTable):
        by = value.by
        return Rate(
            per_second=float(value.per_second),
            burst=value.burst or max(1, round(value.per_second)),
            header=by.removeprefix(_HEADER_KEY).lower().encode() if by.startswith(_HEADER_KEY) else b"",
            tenant=by == "tenant",
            max_keys=value.max_keys,
        )
    if isinstance(value, RetryAfterTable):
        return (value.least, value.most)
    return value


def effective_limits(scope: str, class_index: int, settings: LimitSettings) -> EffectiveLimits:
    """Derive the limits for admission and for the balancer from checked settings."""
    balancer_limits = api.Limits(
        attempts=settings.attempts or 0,
        attempt_timeout=settings.attempt_timeout or 0,
        hedges=-1 if settings.hedges is None else settings.hedges,
        hedge_delay=settings.hedge_delay or 0,
        retry_window=settings.retry_window or 0,
        retry_scope=None if settings.retry_scope is None else api.DEDUPLICATION_SCOPES[settings.retry_scope],
        retry_share=-1.0 if settings.retry_budget is None else settings.retry_budget,
        budget=scope,
        retry_after=settings.retry_after or (0, 0),
    )
    return EffectiveLimits(
        scope,
        class_index,
        settings.request_timeout or 0,
        -1 if settings.body is None else settings.body,
        settings.in_flight or 0,
        settings.rate,
        settings.retry_after,
        None if balancer_limits == api.Limits(budget=scope) else balancer_limits,
        settings,
    )
