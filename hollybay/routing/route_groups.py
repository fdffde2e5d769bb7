"""The routes of one host and path, grouped by what else they match, so that a group takes one look-up."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from .paths import Pattern
from .persistent_map import PersistentMap, with_entry, without_entry

__all__ = ["HeaderMatch", "PathRoutes", "RouteMatch"]

_EMPTY: dict[Any, Any] = {}


@dataclass(frozen=True, slots=True)
class HeaderMatch:
    """A header (lower case) that a request must have, with this value; None: with any value."""

    name: bytes
    value: bytes | None = None


class RouteMatch(Protocol):
    """What a route matches."""

    @property
    def name(self) -> str:
        """Return the name of the route."""

    @property
    def hosts(self) -> Sequence[str]:
        """Return the hosts that it matches; empty: all."""

    @property
    def methods(self) -> Sequence[bytes]:
        """Return the methods that it matches; empty: all."""

    @property
    def pattern(self) -> Pattern:
        """Return the pattern of the paths that it matches."""

    @property
    def headers(self) -> Sequence[HeaderMatch]:
        """Return the headers that a request must have."""


R = TypeVar("R", bound=RouteMatch)


class _Shape(NamedTuple):
    """The properties that all routes of a group share.

    Attributes
    ----------
    has_methods
        Whether they state methods.
    exact_headers, present_headers
        Headers that must have a value, and those that must be present; both sorted.
    """

    has_methods: bool
    exact_headers: tuple[bytes, ...]
    present_headers: tuple[bytes, ...]

    @property
    def rank(self) -> tuple[bool, int, int]:
        """The precedence of the group; a higher value is more specific."""
        exact_count = len(self.exact_headers)
        return (self.has_methods, exact_count + len(self.present_headers), exact_count)


class _Placement(NamedTuple):
    """Where a route is stored at its path: the shape of its group, and a key for each of its methods."""

    shape: _Shape
    keys: tuple[object, ...]


def _header_values(route: RouteMatch) -> dict[bytes, bytes]:
    return {header.name: header.value for header in route.headers if header.value is not None}


def _placement(route: RouteMatch) -> _Placement:
    values = _header_values(route)
    exact = tuple(sorted(values))
    present = tuple(sorted(header.name for header in route.headers if header.value is None))
    shape = _Shape(bool(route.methods), exact, present)
    methods = tuple(dict.fromkeys(route.methods)) or (None,)
    if not exact:
        return _Placement(shape, methods)
    return _Placement(shape, tuple((method, *[values[name] for name in exact]) for method in methods))


class _Group(Generic[R]):
    """Routes of one shape, by method and header values; immutable once it is in use."""

    __slots__ = (
        "_indexes",
        "entries",
        "exact_headers",
        "has_headers",
        "has_methods",
        "present_headers",
        "rank",
        "shape",
    )

    def __init__(self, shape: _Shape, entries: PersistentMap[object, R]) -> None:
        self.shape = shape
        self.has_methods, self.exact_headers, self.present_headers = shape
        self.has_headers = bool(shape.exact_headers or shape.present_headers)
        self.rank = shape.rank
        self.entries = entries
        # For each set of headers shared with another group: routes by name, under method and values of these.
        self._indexes: dict[tuple[bytes, ...], PersistentMap[object, PersistentMap[str, R]]] = _EMPTY

    def find(self, method: bytes, headers: Mapping[bytes, bytes]) -> R | None:
        """Return the route that matches a request."""
        for name in self.present_headers:
            if name not in headers:
                return None
        if not self.exact_headers:
            return self.entries.get(method if self.has_methods else None)
        values = [headers.get(name) for name in self.exact_headers]
        return self.entries.get((method if self.has_methods else None, *values))

    def with_route(self, route: R, keys: Sequence[object]) -> _Group[R]:
        """Return this group with a route at those of the keys that are free."""
        entries = self.entries
        for key in keys:
            if key not in entries:
                entries = with_entry(entries, key, route)
        group = _Group(self.shape, entries)
        group._indexes = {names: self._indexed(index, names, route) for names, index in self._indexes.items()}
        return group

    def without_route(self, route: R, keys: Sequence[object]) -> _Group[R] | None:
        """Return this group without a route; None: no route is left."""
        entries = self.entries
        for key in keys:
            if entries.get(key) is route:
                entries = without_entry(entries, key)
        if not entries:
            return None
        group = _Group(self.shape, entries)
        group._indexes = {
            names: self._unindexed(index, names, route) for names, index in self._indexes.items()
        }
        return group

    def agreeing_with(self, route: RouteMatch, shared: tuple[bytes, ...]) -> Iterator[R]:
        """Yield routes that have a method and the values of the shared headers in common with another route.

        The first call for a set of headers builds an index of the whole group, which changes keep up to date.
        """
        index = self._indexes.get(shared)
        if index is None:
            index = {}
            for entry in self.entries.values():
                index = self._indexed(index, shared, entry)
            self._indexes = {**self._indexes, shared: index}
        for key in self._index_keys(route, shared):
            found = index.get(key)
            if found is not None:
                yield from found.values()

    def _index_keys(self, route: RouteMatch, shared: tuple[bytes, ...]) -> list[object]:
        values = _header_values(route)
        shared_values = tuple(values[name] for name in shared)
        methods = dict.fromkeys(route.methods) if self.has_methods else (None,)
        return [(method, *shared_values) for method in methods]

    def _indexed(
        self, index: PersistentMap[object, PersistentMap[str, R]], shared: tuple[bytes, ...], route: R
    ) -> PersistentMap[object, PersistentMap[str, R]]:
        """Return an index with a route added."""
        for key in self._index_keys(route, shared):
            index = with_entry(index, key, with_entry(index.get(key, _EMPTY), route.name, route))
        return index

    def _unindexed(
        self, index: PersistentMap[object, PersistentMap[str, R]], shared: tuple[bytes, ...], route: R
    ) -> PersistentMap[object, PersistentMap[str, R]]:
        """Return an index with a route removed."""
        for key in self._index_keys(route, shared):
            routes = index.get(key, _EMPTY)
            if routes.get(route.name) is not route:
                continue
            remaining = without_entry(routes, route.name)
            index = with_entry(index, key, remaining) if remaining else without_entry(index, key)
        return index


class PathRoutes(Generic[R]):
    """The routes of one host and path, the most specific groups first; immutable."""

    __slots__ = ("groups",)

    def __init__(self, groups: tuple[_Group[R], ...] = ()) -> None:
        self.groups = groups

    def find(self, method: bytes, headers: Mapping[bytes, bytes]) -> R | None:
        """Return the most specific route that matches a request."""
        for group in self.groups:
            if group.has_headers:
                route = group.find(method, headers)
            else:
                route = group.entries.get(method if group.has_methods else None)
            if route is not None:
                return route
        return None

    def with_route(self, route: R) -> PathRoutes[R]:
        """Return these routes and one more, which does not replace a route that matches the same requests."""
        shape, keys = _placement(route)
        for position, group in enumerate(self.groups):
            if group.shape == shape:
                changed = group.with_route(route, keys)
                return PathRoutes((*self.groups[:position], changed, *self.groups[position + 1 :]))
        new: _Group[R] = _Group[R](shape, _EMPTY).with_route(route, keys)
        # The sort is stable: among groups of equal rank, the older one stays first.
        return PathRoutes(tuple(sorted((*self.groups, new), key=lambda group: group.rank, reverse=True)))

    def without_route(self, route: R) -> PathRoutes[R] | None:
        """Return these routes without one of them; None: no route is left."""
        shape, keys = _placement(route)
        groups: list[_Group[R]] = []
        for group in self.groups:
            remaining = group.without_route(route, keys) if group.shape == shape else group
            if remaining is not None:
                groups.append(remaining)
        return PathRoutes(tuple(groups)) if groups else None

    def duplicates_of(self, route: R) -> Iterator[R]:
        """Yield other routes of the same shape that share a key with this one."""
        shape, keys = _placement(route)
        for group in self.groups:
            if group.shape != shape:
                continue
            for key in keys:
                existing = group.entries.get(key)
                if existing is not None and existing is not route:
                    yield existing

    def ambiguous_with(self, route: R) -> Iterator[R]:
        """Yield routes of equal precedence that match a request which this one matches, too.

        Examines all groups, and in each only the routes that agree with this one.
        """
        yield from self.duplicates_of(route)
        shape, _ = _placement(route)
        for group in self.groups:
            if group.rank == shape.rank and group.shape != shape:
                shared = tuple(name for name in shape.exact_headers if name in group.exact_headers)
                yield from (other for other in group.agreeing_with(route, shared) if other is not route)

    def ambiguous_pairs(self) -> Iterator[tuple[R, R]]:
        """Yield all pairs of different groups of equal precedence that match one request."""
        for position, first in enumerate(self.groups):
            for second in self.groups[position + 1 :]:
                if first.rank == second.rank:
                    yield from _agreeing_pairs(first, second)


def _agreeing_pairs(first: _Group[R], second: _Group[R]) -> Iterator[tuple[R, R]]:
    """Yield routes of two groups with a method and the values of all shared headers in common."""
    shared = [name for name in first.exact_headers if name in second.exact_headers]

    def keys(group: _Group[R], route: R) -> Iterator[tuple[bytes, ...]]:
        values = _header_values(route)
        shared_values = tuple(values[name] for name in shared)
        for method in route.methods if group.has_methods else (b"",):
            yield (method, *shared_values)

    by_key: dict[tuple[bytes, ...], list[R]] = {}
    for route in second.entries.values():
        for key in keys(second, route):
            by_key.setdefault(key, []).append(route)
    for route in first.entries.values():
        for key in keys(first, route):
            for other in by_key.get(key, ()):
                if other is not route:
                    yield route, other
