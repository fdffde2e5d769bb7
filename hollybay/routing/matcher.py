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
from typing import Generic, TypeVar

from .paths import Kind, Pattern
from .tree import HeaderRule, Node, Rows, Rule, Table, rows_at, with_entry, with_rows, without_entry

__all__ = ["HeaderRule", "Matcher", "Overlap", "Rule", "best", "overlaps", "takes"]


# Overlaps that are looked for in one file: they can be as many as there are pairs.
MAX_OVERLAPS = 1000

R = TypeVar("R", bound=Rule)


@dataclass(frozen=True, slots=True)
class Overlap(Generic[R]):
    """Two routes that take one request, and no rule of precedence decides between them."""

    first: R
    second: R


def _hosts(route: Rule) -> tuple[str | None, ...]:
    return tuple(dict.fromkeys(route.hosts)) or (None,)


def _with_root(
    roots: Table[str, Node[R]], host: str, pattern: Pattern, rows: Rows[R] | None
) -> Table[str, Node[R]]:
    root = with_rows(roots.get(host), pattern, rows)
    if root is not None:
        return with_entry(roots, host, root)
    return without_entry(roots, host) if host in roots else roots


class _Clashes(Generic[R]):
    """Overlaps, each pair once."""

    def __init__(self, found: list[Overlap[R]]) -> None:
        self.found = found
        self.seen: set[frozenset[int]] = set()

    def add(self, first: R, second: R) -> None:
        pair = frozenset((id(first), id(second)))
        if pair not in self.seen:
            self.seen.add(pair)
            self.found.append(Overlap(first, second))


class Matcher(Generic[R]):
    """All routes, compiled: a persistent value. No method changes it or has a side effect."""

    __slots__ = ("any", "exact", "undecided", "wild")

    def __init__(self, routes: Iterable[R] = ()) -> None:
        """Compile routes; pairs that no rule decides are in `undecided`, by looking at all of them."""
        self.exact: Table[str, Node[R]] = {}
        self.wild: Table[str, Node[R]] = {}
        self.any: Node[R] | None = None
        self.undecided: list[Overlap[R]] = []
        clashes = _Clashes(self.undecided)
        for route in routes:
            for host in _hosts(route):
                rows = self._rows(host, route) or Rows()
                for there in rows.in_place_of(route):
                    clashes.add(there, route)
                self._put(host, route, rows.with_route(route))
        for root in self._roots():
            for rows in root.all_rows():
                for first, second in rows.undecided():
                    clashes.add(first, second)
                    if len(self.undecided) >= MAX_OVERLAPS:
                        return

    def with_route(self, route: R) -> Matcher[R]:
        """This matcher with one more route, which must not be undecided with any that is there."""
        after = self._copy()
        for host in _hosts(route):
            after._put(host, route, (after._rows(host, route) or Rows()).with_route(route))
        return after

    def without_route(self, route: R) -> Matcher[R]:
        """This matcher without one of its routes."""
        after = self._copy()
        for host in _hosts(route):
            rows = after._rows(host, route)
            if rows is not None:
                after._put(host, route, rows.without_route(route))
        return after

    def undecided_with(self, route: R) -> Iterator[R]:
        """Routes that take a request of this one, and no rule of precedence decides between them.

        Looks at the routes of the places at which this one would stand alone; each is told once.
        """
        seen: set[int] = set()
        for host in _hosts(route):
            rows = self._rows(host, route)
            for other in rows.undecided_with(route) if rows is not None else ():
                if id(other) not in seen:
                    seen.add(id(other))
                    yield other

    def _copy(self) -> Matcher[R]:
        copy: Matcher[R] = Matcher()
        copy.exact, copy.wild, copy.any = self.exact, self.wild, self.any
        return copy

    def _rows(self, host: str | None, route: R) -> Rows[R] | None:
        """What stands at a route's place under a host."""
        if host is None:
            return rows_at(self.any, route.pattern)
        if host.startswith("*."):
            return rows_at(self.wild.get(host[2:]), route.pattern)
        return rows_at(self.exact.get(host), route.pattern)

    def _put(self, host: str | None, route: R, rows: Rows[R] | None) -> None:
        """Put other routes at a route's place under a host; while the matcher is made."""
        if host is None:
            self.any = with_rows(self.any, route.pattern, rows)
        elif host.startswith("*."):
            self.wild = _with_root(self.wild, host[2:], route.pattern, rows)
        else:
            self.exact = _with_root(self.exact, host, route.pattern, rows)

    def _roots(self) -> Iterator[Node[R]]:
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
