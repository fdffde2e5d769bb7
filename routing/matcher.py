"""The compiled matcher: which route a request takes, at a cost that does not grow with their number.

Precedence is by specificity, as in the Kubernetes Gateway API, never by order in the file:

1. the host: an exact one, then the longest wildcard, then none;
2. the path: whole ones (the leftmost segment in which they differ decides, a literal before a variable), then
   the longest prefix, by segments;
3. a method before none;
4. more headers before fewer, and of as many the one with more exact values.

Of two routes that take one request and are equal in all of this none wins: they are refused, see overlaps().
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from .paths import Kind, Pattern

__all__ = ["HeaderRule", "Matcher", "Overlap", "Rule", "best", "overlaps", "takes"]


# Overlaps that are looked for in one file: they can be as many as there are pairs.
MAX_OVERLAPS = 1000


@dataclass(frozen=True, slots=True)
class HeaderRule:
    """A header that must be there (lower case), with this value; None: any."""

    name: bytes
    value: bytes | None = None


class Rule(Protocol):
    """What a route says of the requests that it takes; () of hosts or methods: any."""

    @property
    def name(self) -> str: ...
    @property
    def hosts(self) -> Sequence[str]: ...
    @property
    def methods(self) -> Sequence[bytes]: ...
    @property
    def pattern(self) -> Pattern: ...
    @property
    def headers(self) -> Sequence[HeaderRule]: ...


R = TypeVar("R", bound=Rule)


class _Group(Generic[R]):
    """Routes of one place that ask for a method or none, and for the same headers: one look-up for all."""

    __slots__ = ("exact", "method", "plain", "present", "rank", "table")

    def __init__(self, method: bool, exact: tuple[bytes, ...], present: tuple[bytes, ...]) -> None:
        self.method = method
        self.exact = exact
        self.present = present
        self.plain = not exact and not present  # no header decides
        self.rank = (method, len(exact) + len(present), len(exact))
        self.table: dict[object, R] = {}

    def key(self, method: bytes, values: Mapping[bytes, bytes]) -> object:
        if not self.exact:
            return method if self.method else None
        return (method if self.method else None, *[values.get(name) for name in self.exact])

    def find(self, method: bytes, given: Mapping[bytes, bytes]) -> R | None:
        for name in self.present:
            if name not in given:
                return None
        return self.table.get(self.key(method, given))


class _Rows(Generic[R]):
    """The routes of one host and path, the most specific groups first."""

    __slots__ = ("groups",)

    def __init__(self) -> None:
        self.groups: list[_Group[R]] = []

    def add(self, method: bytes | None, headers: Sequence[HeaderRule], route: R) -> R | None:
        """Put a route in; the one that already stands in its very place, if any."""
        exact = {rule.name: rule.value for rule in headers if rule.value is not None}
        names = tuple(sorted(exact))
        present = tuple(sorted(rule.name for rule in headers if rule.value is None))
        for group in self.groups:
            if (group.method, group.exact, group.present) == (method is not None, names, present):
                break
        else:
            group = _Group(method is not None, names, present)
            self.groups.append(group)
            self.groups.sort(key=lambda g: g.rank, reverse=True)
        key = group.key(method or b"", {name: value for name, value in exact.items() if value is not None})
        there = group.table.setdefault(key, route)
        return None if there is route else there

    def find(self, method: bytes, given: Mapping[bytes, bytes]) -> R | None:
        for group in self.groups:
            if group.plain:
                route = group.table.get(method if group.method else None)
            else:
                route = group.find(method, given)
            if route is not None:
                return route
        return None

    def undecided(self) -> Iterator[tuple[R, R]]:
        """Pairs of equal rank that one request could take both."""
        for n, first in enumerate(self.groups):
            for second in self.groups[n + 1 :]:
                if first.rank == second.rank:
                    yield from _joined(first, second)


def _joined(first: _Group[R], second: _Group[R]) -> Iterator[tuple[R, R]]:
    """Routes of two groups that ask for different headers, and agree in those that both ask for."""
    shared = [name for name in first.exact if name in second.exact]

    def of(group: _Group[R], route: R) -> tuple[bytes | None, ...]:
        values = {rule.name: rule.value for rule in route.headers}
        return tuple(values[name] for name in shared)

    def methods(group: _Group[R], route: R) -> Sequence[bytes]:
        return route.methods if group.method else (b"",)

    index: dict[tuple[object, ...], list[R]] = {}
    for route in second.table.values():
        for method in methods(second, route):
            index.setdefault((method, *of(second, route)), []).append(route)
    for route in first.table.values():
        for method in methods(first, route):
            for other in index.get((method, *of(first, route)), ()):
                if other is not route:
                    yield route, other


class _Node(Generic[R]):
    """A place in the tree of segments."""

    __slots__ = ("literal", "prefix", "variable", "whole")

    def __init__(self) -> None:
        self.literal: dict[str, _Node[R]] = {}
        self.variable: _Node[R] | None = None
        self.whole: _Rows[R] | None = None
        self.prefix: _Rows[R] | None = None

    def rows(self, pattern: Pattern) -> _Rows[R]:
        """Where the routes of a pattern stand below this root."""
        node = self
        for segment in pattern.segments:
            if segment is None:
                if node.variable is None:
                    node.variable = _Node()
                node = node.variable
            else:
                node = node.literal.setdefault(segment, _Node())
        if pattern.kind is Kind.WHOLE:
            if node.whole is None:
                node.whole = _Rows()
            return node.whole
        if node.prefix is None:
            node.prefix = _Rows()
        return node.prefix

    def find(self, method: bytes, segments: Sequence[str], given: Mapping[bytes, bytes]) -> R | None:
        """The most specific route below this root."""
        # Along literals alone: that is where the most specific whole pattern and all prefixes stand.
        prefixes = [self.prefix] if self.prefix is not None else []
        branches = self.variable is not None
        node = self
        for segment in segments:
            child = node.literal.get(segment)
            if child is None:
                break
            node = child
            if node.prefix is not None:
                prefixes.append(node.prefix)
            if node.variable is not None:
                branches = True
        else:
            if node.whole is not None:
                route = node.whole.find(method, given)
                if route is not None:
                    return route
        if branches:
            route = self._branched(method, segments, given)
            if route is not None:
                return route
        while prefixes:
            route = prefixes.pop().find(method, given)
            if route is not None:
                return route
        return None

    def _branched(self, method: bytes, segments: Sequence[str], given: Mapping[bytes, bytes]) -> R | None:
        """Whole patterns with variables: depth first, literals before variables, as precedence has it."""
        last = len(segments)
        stack: list[tuple[_Node[R], int]] = [(self, 0)]
        while stack:
            node, at = stack.pop()
            if at == last:
                if node.whole is not None:
                    route = node.whole.find(method, given)
                    if route is not None:
                        return route
                continue
            segment = segments[at]
            if node.variable is not None and segment:
                stack.append((node.variable, at + 1))
            child = node.literal.get(segment)
            if child is not None:
                stack.append((child, at + 1))
        return None

    def all_rows(self) -> Iterator[_Rows[R]]:
        stack = [self]
        while stack:
            node = stack.pop()
            for rows in (node.whole, node.prefix):
                if rows is not None:
                    yield rows
            stack += node.literal.values()
            if node.variable is not None:
                stack.append(node.variable)


@dataclass(frozen=True, slots=True)
class Overlap(Generic[R]):
    """Two routes that take one request, and no rule of precedence decides between them."""

    first: R
    second: R


class Matcher(Generic[R]):
    """All routes, compiled. find() has no side effects; routes are never changed after this."""

    def __init__(self, routes: Iterable[R]) -> None:
        self.exact: dict[str, _Node[R]] = {}
        self.wild: dict[str, _Node[R]] = {}
        self.any: _Node[R] | None = None
        self.undecided: list[Overlap[R]] = []
        seen: set[frozenset[int]] = set()

        def clash(first: R, second: R) -> None:
            pair = frozenset((id(first), id(second)))
            if pair not in seen:
                seen.add(pair)
                self.undecided.append(Overlap(first, second))

        for route in routes:
            for host in route.hosts or (None,):
                rows = self._root(host).rows(route.pattern)
                for method in route.methods or (None,):
                    there = rows.add(method, route.headers, route)
                    if there is not None:
                        clash(there, route)
        for root in self._roots():
            for rows in root.all_rows():
                for first, second in rows.undecided():
                    clash(first, second)
                    if len(self.undecided) >= MAX_OVERLAPS:
                        return

    def _root(self, host: str | None) -> _Node[R]:
        if host is None:
            self.any = self.any or _Node()
            return self.any
        if host.startswith("*."):
            return self.wild.setdefault(host[2:], _Node())
        return self.exact.setdefault(host, _Node())

    def _roots(self) -> Iterator[_Node[R]]:
        yield from self.exact.values()
        yield from self.wild.values()
        if self.any is not None:
            yield self.any

    def find(
        self, method: bytes, host: str, segments: Sequence[str], given: Mapping[bytes, bytes]
    ) -> R | None:
        """The route of a request; host in lower case without a port, header names in lower case."""
        if self.exact or self.wild:
            root = self.exact.get(host)
            if root is not None:
                route = root.find(method, segments, given)
                if route is not None:
                    return route
            if self.wild:
                at = host.find(".")
                while at >= 0:
                    root = self.wild.get(host[at + 1 :])
                    if root is not None:
                        route = root.find(method, segments, given)
                        if route is not None:
                            return route
                    at = host.find(".", at + 1)
        return self.any.find(method, segments, given) if self.any is not None else None


def overlaps(routes: Iterable[R]) -> list[Overlap[R]]:
    """The pairs of routes between which no rule decides."""
    return Matcher(routes).undecided


# The reference: what the matcher must find, by looking at every route.


def takes(
    route: Rule, method: bytes, host: str, segments: Sequence[str], given: Mapping[bytes, bytes]
) -> bool:
    """Whether a route takes a request, by its words alone."""
    if route.hosts and not any(_host_takes(pattern, host) for pattern in route.hosts):
        return False
    if route.methods and method not in route.methods:
        return False
    for rule in route.headers:
        if rule.name not in given or (rule.value is not None and given[rule.name] != rule.value):
            return False
    return _path_takes(route.pattern, segments)


def _host_takes(pattern: str, host: str) -> bool:
    return host.endswith(pattern[1:]) and host != pattern[2:] if pattern[:2] == "*." else host == pattern


def _path_takes(pattern: Pattern, segments: Sequence[str]) -> bool:
    if len(segments) < len(pattern.segments) or (
        pattern.kind is Kind.WHOLE and len(segments) != len(pattern.segments)
    ):
        return False
    return all(
        segment == part if part is not None else bool(segment)
        for part, segment in zip(pattern.segments, segments, strict=False)
    )


def best(
    routes: Iterable[R], method: bytes, host: str, segments: Sequence[str], given: Mapping[bytes, bytes]
) -> R | None:
    """The most specific of the routes that take a request, found the slow way."""
    found = [route for route in routes if takes(route, method, host, segments, given)]
    return max(found, key=lambda route: _rank(route, host)) if found else None


def _rank(route: Rule, host: str) -> tuple[object, ...]:
    hosts = [pattern for pattern in route.hosts if _host_takes(pattern, host)]
    by_host = max(((pattern[:2] != "*.", len(pattern)) for pattern in hosts), default=(False, 0))
    pattern = route.pattern
    shape = tuple(segment is not None for segment in pattern.segments)
    values = sum(rule.value is not None for rule in route.headers)
    by_path = (1, shape, 0) if pattern.kind is Kind.WHOLE else (0, (), len(pattern.segments))
    return (by_host, by_path, bool(route.methods), len(route.headers), values)
