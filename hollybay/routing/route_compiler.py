"""Compiles routes, and the limits that routes and classes inherit. Problems are collected, not raised."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from hollybay.balancing import interface as api

from .checks import CheckedLimits, check_limits
from .class_declarations import quoted_names
from .compiled_policy import CLASS_SCOPE, Route
from .limits import EffectiveLimits, effective_limits, inherit_limits
from .matcher import HeaderMatch
from .paths import Pattern, parse_pattern
from .problems import FileProblem
from .schema import ClassTable, HeaderTable, LimitsTable, RouteTable

__all__ = [
    "LimitsContext",
    "compile_class_limits",
    "compile_route",
    "compile_route_limits",
    "rate_headers",
    "route_headers",
]

METHODS = {api.Effect.SAFE: b"GET", api.Effect.KEYED: b"POST", api.Effect.UNSAFE: b"POST"}
# Headers that frame the message or name its host. Intermediaries may interpret them differently, so no route
# matches on them.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection", b"host"))
_NO_LIMITS = LimitsTable()


@dataclass(frozen=True, slots=True)
class LimitsContext:
    """Everything that the limits of a route depend on besides its own table.

    Attributes
    ----------
    class_indexes
        Class indexes in the settings, by the class's name.
    classes
        The tables of classes, by the class's name.
    defaults
        The [defaults] table.
    """

    settings: api.Settings
    class_indexes: Mapping[str, int]
    classes: Mapping[str, ClassTable]
    defaults: LimitsTable

    @classmethod
    def of(
        cls, settings: api.Settings, classes: Mapping[str, ClassTable], defaults: LimitsTable
    ) -> LimitsContext:
        """Create the context of these tables."""
        class_indexes = {request_class.name: index for index, request_class in enumerate(settings.classes)}
        return cls(settings, class_indexes, classes, defaults)

    def levels(self, name: str) -> list[tuple[str, LimitsTable]]:
        """Return the tables from which limits of a class are inherited, with their names."""
        own = self.classes.get(name)
        limits = own.limits if own is not None else _NO_LIMITS
        return [(f"class.{name}.limits", limits), ("defaults", self.defaults)]


def compile_class_limits(index: int, context: LimitsContext, problems: list[FileProblem]) -> EffectiveLimits:
    """Return the limits of requests of a class that no route matches; problems found are appended."""
    request_class = context.settings.classes[index]
    limits = inherit_limits(context.levels(request_class.name))
    checked = CheckedLimits(f"class.{request_class.name}.limits", request_class, limits)
    problems += check_limits(checked, context.settings)
    return effective_limits(f"{CLASS_SCOPE}{request_class.name}", index, limits)


def compile_route_limits(
    table: RouteTable, index: int, context: LimitsContext, problems: list[FileProblem]
) -> EffectiveLimits:
    """Return the limits of a route for requests of a class; problems found are appended."""
    request_class = context.settings.classes[index]
    table_name = f"route {table.name!r}.limits"
    limits = inherit_limits([(table_name, table.limits), *context.levels(request_class.name)])
    problems += check_limits(CheckedLimits(table_name, request_class, limits), context.settings)
    return effective_limits(table.name, index, limits)


def compile_route(table: RouteTable, context: LimitsContext, problems: list[FileProblem]) -> Route | None:
    """Compile one route; problems found are appended.

    Returns
    -------
    Route or None
        None: its path or headers are not valid.
    """
    table_name = f"route {table.name!r}"
    problems_before = len(problems)
    pattern = _compile_pattern(table, table_name, problems)
    headers = _compile_headers(table.headers, table_name, problems)
    if pattern is None or len(problems) > problems_before:
        return None
    class_index, possible = _route_classes(table, pattern, context.class_indexes, table_name, problems)
    limits_by_class: dict[int, EffectiveLimits] = {}
    for index in possible:
        request_class = context.settings.classes[index]
        method = METHODS[request_class.effect].decode()
        if not table.methods or method in table.methods:
            limits_by_class[index] = compile_route_limits(table, index, context, problems)
        elif class_index is not None:
            reason = f"requests of class {request_class.name!r} use the method {method}"
            problems.append(FileProblem(table_name, "methods", table.methods, reason))
    if not limits_by_class and len(problems) == problems_before:
        problems.append(
            FileProblem(table_name, "methods", table.methods, "no class has requests of these methods")
        )
    return Route(
        table.name,
        table_name,
        tuple(table.hosts or ()),
        tuple(method.encode() for method in table.methods or ()),
        pattern,
        headers,
        class_index,
        limits_by_class,
    )


def rate_headers(limits: EffectiveLimits) -> Iterator[bytes]:
    """Yield the header, if any, that a rate's buckets are keyed by."""
    if limits.rate is not None and limits.rate.header:
        yield limits.rate.header


def route_headers(route: Route) -> set[bytes]:
    """Return the headers that a route matches or its rates are keyed by."""
    names = {header.name for header in route.headers}
    for limits in route.limits_by_class.values():
        names.update(rate_headers(limits))
    return names


def _compile_pattern(table: RouteTable, table_name: str, problems: list[FileProblem]) -> Pattern | None:
    path = table.path
    candidates = (("exact", path.exact), ("prefix", path.prefix), ("template", path.template))
    stated = [(kind, text) for kind, text in candidates if text is not None]
    if len(stated) != 1:
        problems.append(
            FileProblem(
                f"{table_name}.path", "", None, "exactly one of exact, prefix and template is required"
            )
        )
        return None
    kind, text = stated[0]
    try:
        return parse_pattern(kind, text)
    except ValueError as error:
        problems.append(FileProblem(f"{table_name}.path", kind, text, str(error)))
        return None


def _compile_headers(
    tables: Sequence[HeaderTable], table_name: str, problems: list[FileProblem]
) -> tuple[HeaderMatch, ...]:
    found: dict[bytes, HeaderMatch] = {}
    for table in tables:
        header_table = f"{table_name}.headers {table.name!r}"
        name = table.name.lower().encode()
        if (table.exact is None) == (table.present is None):
            problems.append(
                FileProblem(header_table, "", None, "exactly one of exact and present is required")
            )
        elif name in FRAMING_HEADERS:
            problems.append(
                FileProblem(
                    header_table,
                    "name",
                    table.name,
                    "frames the message or names its host, and cannot be matched: use hosts or path",
                )
            )
        elif name in found:
            problems.append(FileProblem(header_table, "name", table.name, "is listed twice"))
        else:
            value = None if table.exact is None else table.exact.encode("latin-1")
            found[name] = HeaderMatch(name, value)
    return tuple(found.values())


def _route_classes(
    table: RouteTable,
    pattern: Pattern,
    class_indexes: Mapping[str, int],
    table_name: str,
    problems: list[FileProblem],
) -> tuple[int | None, list[int]]:
    """Return the class that a route gives its requests (None: the path names it), and all possible ones."""
    first = pattern.segments[0] if pattern.segments else None
    if table.cls is not None:
        index = _stated_class(table.cls, first, class_indexes, table_name, problems)
        return index, [] if index is None else [index]
    if first is None:
        return None, list(class_indexes.values())
    index = class_indexes.get(first)
    if index is None:
        reason = (
            f"missing: the first segment of the path, {first!r}, names no class "
            f"(the settings have {quoted_names(class_indexes)})"
        )
        problems.append(FileProblem(table_name, "class", None, reason))
        return None, []
    return index, [index]


def _stated_class(
    name: str,
    first: str | None,
    class_indexes: Mapping[str, int],
    table_name: str,
    problems: list[FileProblem],
) -> int | None:
    """Return the class that a route states, unless the first segment of its paths may name another."""
    index = class_indexes.get(name)
    if index is None:
        reason = f"no such class; the settings have {quoted_names(class_indexes)}"
    elif first is None:
        reason = (
            "the path also matches requests whose first segment names another class, which may not be "
            "retried as this one: begin the path with a literal segment, or leave the class out"
        )
    elif class_indexes.get(first, index) != index:
        reason = f"the first segment of the path names class {first!r}"
    else:
        return index
    problems.append(FileProblem(table_name, "class", name, reason))
    return None
