"""Explains what a policy decides for one request: its route, and its limits with the table of each."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .checks import DURATION_LIMITS, format_duration
from .compiled_policy import CompiledPolicy, Rejection
from .limits import FILE_KEYS, LimitSettings, Rate

__all__ = ["Explanation", "LimitLine", "explain_request"]

UNKNOWN_CLASS = Rejection(404, "the path names no class, and no route matches the request")


@dataclass(frozen=True, slots=True)
class LimitLine:
    """One limit: its key and value as the operator file writes them, and the table that states it."""

    name: str
    value: str
    source: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """What a policy decides for a request.

    Attributes
    ----------
    route
        The route that matches; None: no route does.
    class_name
        The request's class; empty if it is rejected.
    variables
        Values of the variables of the route's path.
    limits
        Limits in force, by name.
    rejection
        Why the request is rejected; None: it is not.
    """

    route: str | None
    class_name: str
    variables: Mapping[str, str] = field(default_factory=dict)
    limits: tuple[LimitLine, ...] = ()
    rejection: Rejection | None = None


def explain_request(
    policy: CompiledPolicy, method: bytes, target: bytes, headers: Mapping[bytes, bytes]
) -> Explanation:
    """Explain a request.

    Parameters
    ----------
    headers
        The request's headers, names in lower case.
    """
    resolved = policy.resolve(method, target, headers)
    if resolved is None:
        resolved = UNKNOWN_CLASS
    if isinstance(resolved, Rejection):
        return Explanation(None, "", rejection=resolved)
    route, segments = policy.find_route(method, target, headers)
    variables = {}
    if route is not None and segments is not None:
        positions = [position for position, part in enumerate(route.pattern.segments) if part is None]
        names = route.pattern.variable_names
        variables = {name: segments[position] for name, position in zip(names, positions, strict=True)}
    class_name = next(name for name, index in policy.class_indexes.items() if index == resolved.class_index)
    route_name = route.name if route is not None else None
    return Explanation(route_name, class_name, variables, _limit_lines(resolved.limit_settings))


def _limit_lines(settings: LimitSettings) -> tuple[LimitLine, ...]:
    lines = (
        LimitLine(FILE_KEYS[field], _format_limit(field, getattr(settings, field)), source)
        for field, source in settings.sources.items()
    )
    return tuple(sorted(lines, key=lambda line: line.name))


def _format_limit(field: str, value: object) -> str:
    if isinstance(value, Rate):
        key = _bucket_key(value)
        return f"{value.per_second:g}/s, burst {value.burst}, by {key}, {value.max_keys} keys at most"
    if isinstance(value, tuple):
        return " to ".join(format_duration(part) for part in value)
    if field in DURATION_LIMITS:
        assert isinstance(value, int)
        return format_duration(value)
    return str(value)


def _bucket_key(rate: Rate) -> str:
    """Return what the buckets of a rate are keyed by, as shown to operators."""
    if rate.tenant:
        return "tenant"
    return f"header {rate.header.decode()}" if rate.header else "route"
