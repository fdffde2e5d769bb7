"""The limits of a route for one class: inherited field by field, each with the table that it comes from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields

from hollybay.balancing import interface as api

from .schema import LimitsTable

__all__ = ["GROUPS", "Effective", "Rate", "Sourced", "effective", "inherit"]

GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


@dataclass(frozen=True, slots=True)
class Rate:
    """A token bucket: requests a second, the most that are saved up, and whose requests share a bucket.

    header: the lower-case name where buckets go by a header's value; tenant: they go by tenant.
    """

    per_second: float
    burst: int
    header: bytes = b""
    tenant: bool = False
    most_keys: int = 10_000


@dataclass(frozen=True, slots=True)
class Sourced:
    """Limits as they stand in the file, durations in ns, and by field the table that each comes from."""

    attempt_timeout: int | None = None
    request_timeout: int | None = None
    attempts: int | None = None
    copies: int | None = None
    copy_delay: int | None = None
    repeat_window: int | None = None
    repeat_group: str | None = None
    retry_budget: float | None = None
    body: int | None = None
    in_flight: int | None = None
    rate: Rate | None = None
    retry_after: tuple[int, int] | None = None
    source: Mapping[str, str] = ()  # type: ignore[assignment]


_FIELDS = tuple(field.name for field in fields(Sourced) if field.name != "source")


@dataclass(frozen=True, slots=True)
class Effective:
    """What is in force for a route and a class, for the edge and for the module.

    scope: the route's name, or `class:NAME` where no route takes the request; buckets and budgets go by it.
    request_timeout (ns), body (bytes), in_flight: 0 means not limited here. retry_after: ns, or None.
    """

    scope: str
    cls: int
    request_timeout: int
    body: int
    in_flight: int
    rate: Rate | None
    retry_after: tuple[int, int] | None
    module: api.Limits | None
    words: Sourced
    parts: tuple[Effective, ...] = ()  # of the narrower of two policies: those of each, to count under


def inherit(levels: list[tuple[str, LimitsTable]]) -> Sourced:
    """Limits from the most specific level that states each; levels: table name and table, route first."""
    values: dict[str, object] = {}
    source: dict[str, str] = {}
    for name in _FIELDS:
        for table, limits in levels:
            value = getattr(limits, name)
            if value is not None:
                values[name] = _plain(name, value)
                source[name] = table
                break
    return Sourced(source=source, **values)  # type: ignore[arg-type]


def _plain(name: str, value: object) -> object:
    """A field's value without the file's own types."""
    if name == "rate":
        by = value.by  # type: ignore[attr-defined]
        per_second = value.per_second  # type: ignore[attr-defined]
        return Rate(
            per_second=float(per_second),
            burst=value.burst or max(1, round(per_second)),  # type: ignore[attr-defined]
            header=by[7:].lower().encode() if by.startswith("header:") else b"",
            tenant=by == "tenant",
            most_keys=value.most_keys,  # type: ignore[attr-defined]
        )
    if name == "retry_after":
        return (value.least, value.most)  # type: ignore[attr-defined]
    return value


def effective(scope: str, cls: int, words: Sourced) -> Effective:
    """What these words mean for the edge and the module; they have been checked."""
    module = api.Limits(
        attempts=words.attempts or 0,
        attempt_timeout=words.attempt_timeout or 0,
        hedges=-1 if words.copies is None else words.copies,
        hedge_delay=words.copy_delay or 0,
        retry_window=words.repeat_window or 0,
        retry_scope=None if words.repeat_group is None else GROUPS[words.repeat_group],
        retry_share=-1.0 if words.retry_budget is None else words.retry_budget,
        budget=scope,
        retry_after=words.retry_after or (0, 0),
    )
    return Effective(
        scope,
        cls,
        words.request_timeout or 0,
        -1 if words.body is None else words.body,
        words.in_flight or 0,
        words.rate,
        words.retry_after,
        # Where nothing is said the module need not look.
        None if module == api.Limits(budget=scope) else module,
        words,
    )
