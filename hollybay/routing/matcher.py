"""The compiled matcher finds the route of a request, at a cost independent of the number of routes.

Precedence is by specificity, as in the Kubernetes Gateway API, never by order in the file:

1. the host: an exact one, then the longest wildcard, then none;
2. the path: full patterns (the leftmost segment in which they differ decides, a literal before a variable),
   then the longest prefix, by segments;
3. a method before none;
4. more headers before fewer, and of as many the one with more exact values.

Two routes of equal precedence that match one request overlap, and are rejected: see `find_overlaps`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from .paths import Pattern, PatternKind
from .persistent_map import PersistentMap, with_entry, without_entry
from .route_groups import HeaderMatch, PathRoutes, RouteMatch
from .tree import SegmentNode, routes_at, with_routes

__all__ = ["HeaderMatch", "Matcher", "Overlap", "RouteMatch", "find_overlaps", "matches", "most_specific"]

# Maximum number of overlaps reported for one file: there can be one for each pair of routes.
MAX_OVERLAPS = 1000
WILDCARD = "*."

R = TypeVar("R", bound=RouteMatch)


@dataclass(frozen=True, slots=True)
class Overlap(Generic[R]):
    """Two routes of equal precedence that match one request."""

    first: R
    second: R


class _OverlapCollector(Generic[R]):
    """Collects overlaps, each pair once."""

    def __init__(self, found: list[Overlap[R]]) -> None:
        self.found = found
        self.seen: set[frozenset[int]] = set()

    def add(self, first: R, second: R) -> None:
        pair = frozenset((id(first), id(second)))
        if pair not in self.seen:
            self.seen.add(pair)
            self.found.append(Overlap(first, second))


class Matcher(Generic[R]):
    """All routes, compiled. Immutable: methods that add or remove a route return a new matcher.

    Parameters
    ----------
    routes
        The routes; pairs that overlap are listed in `overlaps`. Cost: linear in the number of routes.

    Attributes
    ----------
    exact_hosts, wildcard_hosts
        The tree of routes of each host; wildcards without their `*.`.
    any_host
        The tree of routes that state no host.
    """

    __slots__ = ("any_host", "exact_hosts", "overlaps", "wildcard_hosts")

    def __init__(self, routes: Iterable[R] = ()) -> None:
        self.exact_hosts: PersistentMap[str, SegmentNode[R]] = {}
        self.wildcard_hosts: PersistentMap[str, SegmentNode[R]] = {}
        self.any_host: SegmentNode[R] | None = None
        self.overlaps: list[Overlap[R]] = []
        collector = _OverlapCollector(self.overlaps)
        for route in routes:
            for host in _stated_hosts(route):
                existing = self._routes_at(host, route) or PathRoutes()
                for other in existing.duplicates_of(route):
                    collector.add(other, route)
                self._set_routes_at(host, route, existing.with_route(route))
        for root in self._roots():
            for routes_of_path in root.all_routes():
                for first, second in routes_of_path.ambiguous_pairs():
                    collector.add(first, second)
                    if len(self.overlaps) >= MAX_OVERLAPS:
                        return

    def find(
        self, method: bytes, host: str, segments: Sequence[str], headers: Mapping[bytes, bytes]
    ) -> R | None:
        """Return the most specific route that matches a request.

        Parameters
        ----------
        host
            In lower case, without a port.
        headers
            Names in lower case.
        """
        if self.exact_hosts or self.wildcard_hosts:
            root = self.exact_hosts.get(host)
            if root is not None:
                route = root.find(method, segments, headers)
                if route is not None:
                    return route
            if self.wildcard_hosts:
                route = self._find_by_wildcard(method, host, segments, headers)
                if route is not None:
                    return route
        return self.any_host.find(method, segments, headers) if self.any_host is not None else None

    def with_route(self, route: R) -> Matcher[R]:
        """Return a matcher with one more route, which must not overlap with any existing route."""
        after = self._clone()
        for host in _stated_hosts(route):
            existing = after._routes_at(host, route) or PathRoutes()
            after._set_routes_at(host, route, existing.with_route(route))
        return after

    def without_route(self, route: R) -> Matcher[R]:
        """Return a matcher without one of its routes."""
        after = self._clone()
        for host in _stated_hosts(route):
            existing = after._routes_at(host, route)
            if existing is not None:
                after._set_routes_at(host, route, existing.without_route(route))
        return after

    def ambiguous_with(self, route: R) -> Iterator[R]:
        """Yield each route that overlaps with this one, once.

        Examines only the routes at the same hosts and path.
        """
        seen: set[int] = set()
        for host in _stated_hosts(route):
            existing = self._routes_at(host, route)
            for other in existing.ambiguous_with(route) if existing is not None else ():
                if id(other) not in seen:
                    seen.add(id(other))
                    yield other

    def _find_by_wildcard(
        self, method: bytes, host: str, segments: Sequence[str], headers: Mapping[bytes, bytes]
    ) -> R | None:
        """Return the matching route of the longest wildcard that has one."""
        dot = host.find(".")
        while dot >= 0:
            root = self.wildcard_hosts.get(host[dot + 1 :])
            if root is not None:
                route = root.find(method, segments, headers)
                if route is not None:
                    return route
            dot = host.find(".", dot + 1)
        return None

    def _clone(self) -> Matcher[R]:
        clone: Matcher[R] = Matcher()
        clone.exact_hosts = self.exact_hosts
        clone.wildcard_hosts = self.wildcard_hosts
        clone.any_host = self.any_host
        return clone

    def _routes_at(self, host: str | None, route: R) -> PathRoutes[R] | None:
        """Return the routes of a host at a route's path."""
        if host is None:
            return routes_at(self.any_host, route.pattern)
        if host.startswith(WILDCARD):
            return routes_at(self.wildcard_hosts.get(host.removeprefix(WILDCARD)), route.pattern)
        return routes_at(self.exact_hosts.get(host), route.pattern)

    def _set_routes_at(self, host: str | None, route: R, routes: PathRoutes[R] | None) -> None:
        """Replace the routes of a host at a route's path; called only while the matcher is being built."""
        if host is None:
            self.any_host = with_routes(self.any_host, route.pattern, routes)
        elif host.startswith(WILDCARD):
            suffix = host.removeprefix(WILDCARD)
            self.wildcard_hosts = _with_root(self.wildcard_hosts, suffix, route.pattern, routes)
        else:
            self.exact_hosts = _with_root(self.exact_hosts, host, route.pattern, routes)

    def _roots(self) -> Iterator[SegmentNode[R]]:
        yield from self.exact_hosts.values()
        yield from self.wildcard_hosts.values()
        if self.any_host is not None:
            yield self.any_host


def _stated_hosts(route: RouteMatch) -> tuple[str | None, ...]:
    """Return the hosts of a route, each once; (None,): it states none."""
    return tuple(dict.fromkeys(route.hosts)) or (None,)


def _with_root(
    roots: PersistentMap[str, SegmentNode[R]], host: str, pattern: Pattern, routes: PathRoutes[R] | None
) -> PersistentMap[str, SegmentNode[R]]:
    """Return the trees of hosts with other routes at a pattern of one host."""
    root = with_routes(roots.get(host), pattern, routes)
    if root is not None:
        return with_entry(roots, host, root)
    return without_entry(roots, host) if host in roots else roots


def find_overlaps(routes: Iterable[R]) -> list[Overlap[R]]:
    """Return the pairs of routes that overlap."""
    return Matcher(routes).overlaps


# Reference implementation for tests: the same precedence, found by comparing all routes.


def matches(
    route: RouteMatch, method: bytes, host: str, segments: Sequence[str], headers: Mapping[bytes, bytes]
) -> bool:
    """Tell whether a route matches a request, regardless of other routes."""
    if route.hosts and not any(_host_matches(pattern, host) for pattern in route.hosts):
        return False
    if route.methods and method not in route.methods:
        return False
    for header in route.headers:
        if header.name not in headers:
            return False
        if header.value is not None and headers[header.name] != header.value:
            return False
    return _path_matches(route.pattern, segments)


def most_specific(
    routes: Iterable[R], method: bytes, host: str, segments: Sequence[str], headers: Mapping[bytes, bytes]
) -> R | None:
    """Return the most specific of the routes that match a request."""
    found = [route for route in routes if matches(route, method, host, segments, headers)]
    return max(found, key=lambda route: _rank(route, host)) if found else None


def _host_matches(pattern: str, host: str) -> bool:
    if pattern.startswith(WILDCARD):
        suffix = pattern.removeprefix(WILDCARD)
        return host.endswith(f".{suffix}") and host != suffix
    return host == pattern


def _path_matches(pattern: Pattern, segments: Sequence[str]) -> bool:
    if len(segments) < len(pattern.segments):
        return False
    if pattern.kind is PatternKind.FULL and len(segments) != len(pattern.segments):
        return False
    return all(
        segment == literal if literal is not None else bool(segment)
        for literal, segment in zip(pattern.segments, segments, strict=False)
    )


def _rank(route: RouteMatch, host: str) -> tuple[object, ...]:
    """Return the precedence of a route that matches a host; the higher, the more specific."""
    hosts = [pattern for pattern in route.hosts if _host_matches(pattern, host)]
    host_ranks = ((not pattern.startswith(WILDCARD), len(pattern)) for pattern in hosts)
    by_host = max(host_ranks, default=(False, 0))
    pattern = route.pattern
    literals = tuple(segment is not None for segment in pattern.segments)
    is_full = pattern.kind is PatternKind.FULL
    by_path = (1, literals, 0) if is_full else (0, (), len(pattern.segments))
    exact_headers = sum(header.value is not None for header in route.headers)
    return (by_host, by_path, bool(route.methods), len(route.headers), exact_headers)
