"""What becomes of one request under a plan, in words: for the command line and for the operators' page."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .checks import DURATIONS, shown
from .limits import Rate, Sourced
from .paths import BadPath
from .route_table import Denied, Plan

__all__ = ["Explained", "Line", "explain"]


@dataclass(frozen=True, slots=True)
class Line:
    """One limit: its name, its value in the file's words, and the table that it comes from."""

    name: str
    value: str
    source: str


@dataclass(frozen=True, slots=True)
class Explained:
    """The route that takes a request (None: none), its class, variables and limits; or why none may."""

    route: str | None
    cls: str
    variables: Mapping[str, str] = field(default_factory=dict)
    limits: tuple[Line, ...] = ()
    denied: Denied | None = None


def explain(plan: Plan, method: bytes, target: bytes, given: Mapping[bytes, bytes]) -> Explained:
    """Tell it for a request; given: headers, names in lower case."""
    applied = plan.apply(method, target, given)
    if applied is None:
        applied = Denied(404, "the path names no class, and no route takes it")
    if isinstance(applied, Denied):
        return Explained(None, "", denied=applied)
    try:
        route, segments = plan.route_of(method, target, given)
    except BadPath:  # apply() would have said so
        raise AssertionError("an ambiguous path was taken") from None
    variables = {}
    if route is not None and segments is not None:
        at = [n for n, part in enumerate(route.pattern.segments) if part is None]
        variables = {name: segments[n] for name, n in zip(route.pattern.names, at, strict=True)}
    cls = next(name for name, number in plan.classes.items() if number == applied.cls)
    return Explained(route.name if route is not None else None, cls, variables, _lines(applied.words))


def _lines(words: Sourced) -> tuple[Line, ...]:
    return tuple(
        Line(name, _text(name, getattr(words, name)), source) for name, source in sorted(words.source.items())
    )


def _text(name: str, value: object) -> str:
    if isinstance(value, Rate):
        by = "tenant" if value.tenant else f"header {value.header.decode()}" if value.header else "route"
        return f"{value.per_second:g}/s, burst {value.burst}, by {by}, {value.most_keys} keys at most"
    if isinstance(value, tuple):
        return " to ".join(shown(part) for part in value)
    if name in DURATIONS:
        assert isinstance(value, int)
        return shown(value)
    return str(value)
