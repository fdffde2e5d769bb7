"""The tree of path segments in which routes stand, as persistent values.

A change makes new nodes along the path that it touches and shares all others with the tree before it, which
goes on as it was. Containers with few entries are dicts, copied when one changes; larger ones are hash tries.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from immutables import Map

from .paths import Kind, Pattern

__all__ = [
    "HeaderRule",
    "Node",
    "Rows",
    "Rule",
    "Table",
    "rows_at",
    "with_entry",
    "with_rows",
    "without_entry",
]

# A dict with more entries than these becomes a hash trie: a copy of it would cost more than a path through
# one. A look-up in a dict takes some 30 ns less.
MAX_COPIED = 256

K = TypeVar("K")
V = TypeVar("V")
Table = dict[K, V] | Map[K, V]
_EMPTY: dict[Any, Any] = {}


def with_entry(table: Table[K, V], key: K, value: V) -> Table[K, V]:
    """A table with one more entry, or another value in it."""
    if not isinstance(table, dict):
        return table.set(key, value)
    if len(table) >= MAX_COPIED and key not in table:
        return Map(table).set(key, value)
    copied = table.copy()
    copied[key] = value
    return copied


def without_entry(table: Table[K, V], key: K) -> Table[K, V]:
    """A table without one of its entries."""
    if not isinstance(table, dict):
        fewer = table.delete(key)
        # Half, so that a table at the border is not made over and over.
        return fewer if len(fewer) > MAX_COPIED // 2 else dict(fewer.items())
    copied = table.copy()
    del copied[key]
    return copied


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


class _Shape(NamedTuple):
    """What routes of one group have in common: whether they name methods, and the headers that decide.

    exact: headers that must have a value; present: those that must be there. Both in order.
    """

    method: bool
    exact: tuple[bytes, ...]
    present: tuple[bytes, ...]

    @property
    def rank(self) -> tuple[bool, int, int]:
        """The higher, the more specific."""
        return (self.method, len(self.exact) + len(self.present), len(self.exact))


class _Slots(NamedTuple):
    """Where a route stands at its place: a shape, and a key for each of its methods."""

    shape: _Shape
    keys: tuple[object, ...]


def _values(route: Rule) -> dict[bytes, bytes]:
    return {rule.name: rule.value for rule in route.headers if rule.value is not None}


def _slots(route: Rule) -> _Slots:
    values = _values(route)
    exact = tuple(sorted(values))
    present = tuple(sorted(rule.name for rule in route.headers if rule.value is None))
    methods = tuple(dict.fromkeys(route.methods)) or (None,)
    if not exact:
        return _Slots(_Shape(bool(route.methods), exact, present), methods)
    keys = tuple((method, *[values[name] for name in exact]) for method in methods)
    return _Slots(_Shape(bool(route.methods), exact, present), keys)


class _Group(Generic[R]):
    """Routes of one place and shape: one look-up for all."""

    __slots__ = ("_indexes", "exact", "method", "plain", "present", "rank", "shape", "table")

    def __init__(self, shape: _Shape, table: Table[object, R]) -> None:
        self.shape = shape
        self.method, self.exact, self.present = shape
        self.plain = not shape.exact and not shape.present  # no header decides
        self.rank = shape.rank
        self.table = table
        # By the headers that it shares with another group: routes by method and values of these, by name.
        self._indexes: dict[tuple[bytes, ...], Table[object, Table[str, R]]] = _EMPTY

    def find(self, method: bytes, given: Mapping[bytes, bytes]) -> R | None:
        for name in self.present:
            if name not in given:
                return None
        if not self.exact:
            return self.table.get(method if self.method else None)
        key = (method if self.method else None, *[given.get(name) for name in self.exact])
        return self.table.get(key)

    def with_route(self, route: R, keys: Sequence[object]) -> _Group[R]:
        """This group with a route at those of the keys where none stands."""
        table = self.table
        for key in keys:
            if key not in table:
                table = with_entry(table, key, route)
        group = _Group(self.shape, table)
        group._indexes = {names: self._indexed(index, names, route) for names, index in self._indexes.items()}
        return group

    def without_route(self, route: R, keys: Sequence[object]) -> _Group[R] | None:
        """This group without a route; None: it was the last one."""
        table = self.table
        for key in keys:
            if table.get(key) is route:
                table = without_entry(table, key)
        if not table:
            return None
        group = _Group(self.shape, table)
        group._indexes = {
            names: self._unindexed(index, names, route) for names, index in self._indexes.items()
        }
        return group

    def agreeing(self, route: Rule, shared: tuple[bytes, ...]) -> Iterator[R]:
        """Routes of this group that agree with another one in a method and in the values of these headers.

        The first call for some headers looks at the whole group; the index is kept up from then on.
        """
        index = self._indexes.get(shared)
        if index is None:
            index = {}
            for one in self.table.values():
                index = self._indexed(index, shared, one)
            self._indexes = {**self._indexes, shared: index}
        for key in self._index_keys(route, shared):
            found = index.get(key)
            if found is not None:
                yield from found.values()

    def _index_keys(self, route: Rule, shared: tuple[bytes, ...]) -> list[object]:
        values = _values(route)
        rest = tuple(values[name] for name in shared)
        methods = dict.fromkeys(route.methods) if self.method else (None,)
        return [(method, *rest) for method in methods]

    def _indexed(
        self, index: Table[object, Table[str, R]], shared: tuple[bytes, ...], route: R
    ) -> Table[object, Table[str, R]]:
        for key in self._index_keys(route, shared):
            index = with_entry(index, key, with_entry(index.get(key, _EMPTY), route.name, route))
        return index

    def _unindexed(
        self, index: Table[object, Table[str, R]], shared: tuple[bytes, ...], route: R
    ) -> Table[object, Table[str, R]]:
        for key in self._index_keys(route, shared):
            there = index.get(key, _EMPTY)
            if there.get(route.name) is not route:
                continue
            fewer = without_entry(there, route.name)
            index = with_entry(index, key, fewer) if fewer else without_entry(index, key)
        return index


class Rows(Generic[R]):
    """The routes of one host and path, the most specific groups first."""

    __slots__ = ("groups",)

    def __init__(self, groups: tuple[_Group[R], ...] = ()) -> None:
        self.groups = groups

    def find(self, method: bytes, given: Mapping[bytes, bytes]) -> R | None:
        for group in self.groups:
            if group.plain:
                route = group.table.get(method if group.method else None)
            else:
                route = group.find(method, given)
            if route is not None:
                return route
        return None

    def with_route(self, route: R) -> Rows[R]:
        """These with one more route; it does not drive out one that stands in its very place."""
        shape, keys = _slots(route)
        for n, group in enumerate(self.groups):
            if group.shape == shape:
                return Rows((*self.groups[:n], group.with_route(route, keys), *self.groups[n + 1 :]))
        new: _Group[R] = _Group[R](shape, _EMPTY).with_route(route, keys)
        # Stable: of equal rank the older group stands first.
        return Rows(tuple(sorted((*self.groups, new), key=lambda group: group.rank, reverse=True)))

    def without_route(self, route: R) -> Rows[R] | None:
        """These without a route; None: it was the last one."""
        shape, keys = _slots(route)
        groups: list[_Group[R]] = []
        for group in self.groups:
            kept = group.without_route(route, keys) if group.shape == shape else group
            if kept is not None:
                groups.append(kept)
        return Rows(tuple(groups)) if groups else None

    def in_place_of(self, route: R) -> Iterator[R]:
        """Other routes that stand in the very place of this one."""
        shape, keys = _slots(route)
        for group in self.groups:
            if group.shape == shape:
                for key in keys:
                    there = group.table.get(key)
                    if there is not None and there is not route:
                        yield there

    def undecided_with(self, route: R) -> Iterator[R]:
        """Routes that could take a request of this one, and no rule of precedence decides between them.

        Looks at the groups of the place, and in each only at the routes that agree with this one.
        """
        yield from self.in_place_of(route)
        shape, _ = _slots(route)
        for group in self.groups:
            if group.rank == shape.rank and group.shape != shape:
                shared = tuple(name for name in shape.exact if name in group.exact)
                yield from (one for one in group.agreeing(route, shared) if one is not route)

    def undecided(self) -> Iterator[tuple[R, R]]:
        """All pairs of equal rank that one request could take both, found by looking at every route."""
        for n, first in enumerate(self.groups):
            for second in self.groups[n + 1 :]:
                if first.rank == second.rank:
                    yield from _joined(first, second)


def _joined(first: _Group[R], second: _Group[R]) -> Iterator[tuple[R, R]]:
    """Routes of two groups that ask for different headers, and agree in those that both ask for."""
    shared = [name for name in first.exact if name in second.exact]

    def of(route: R) -> tuple[bytes, ...]:
        values = _values(route)
        return tuple(values[name] for name in shared)

    def methods(group: _Group[R], route: R) -> Sequence[bytes]:
        return route.methods if group.method else (b"",)

    index: dict[tuple[object, ...], list[R]] = {}
    for route in second.table.values():
        for method in methods(second, route):
            index.setdefault((method, *of(route)), []).append(route)
    for route in first.table.values():
        for method in methods(first, route):
            for other in index.get((method, *of(route)), ()):
                if other is not route:
                    yield route, other


class Node(Generic[R]):
    """A place in the tree of segments; never changed once it is made."""

    __slots__ = ("literal", "prefix", "variable", "whole")

    def __init__(
        self,
        literal: Table[str, Node[R]] = _EMPTY,
        variable: Node[R] | None = None,
        whole: Rows[R] | None = None,
        prefix: Rows[R] | None = None,
    ) -> None:
        self.literal = literal
        self.variable = variable
        self.whole = whole
        self.prefix = prefix

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
        stack: list[tuple[Node[R], int]] = [(self, 0)]
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

    def all_rows(self) -> Iterator[Rows[R]]:
        """The routes of each place below this root."""
        stack = [self]
        while stack:
            node = stack.pop()
            for rows in (node.whole, node.prefix):
                if rows is not None:
                    yield rows
            stack += node.literal.values()
            if node.variable is not None:
                stack.append(node.variable)


def rows_at(root: Node[R] | None, pattern: Pattern) -> Rows[R] | None:
    """The routes of a pattern below a root."""
    node = root
    for segment in pattern.segments:
        if node is None:
            return None
        node = node.variable if segment is None else node.literal.get(segment)
    if node is None:
        return None
    return node.whole if pattern.kind is Kind.WHOLE else node.prefix


def with_rows(root: Node[R] | None, pattern: Pattern, rows: Rows[R] | None) -> Node[R] | None:
    """The tree with other routes at a pattern's place (None: none); None: nothing is left of it."""
    return _with_rows(root, pattern, 0, rows)


def _with_rows(node: Node[R] | None, pattern: Pattern, at: int, rows: Rows[R] | None) -> Node[R] | None:
    literal, variable, whole, prefix = (
        (node.literal, node.variable, node.whole, node.prefix)
        if node is not None
        else (_EMPTY, None, None, None)
    )
    if at == len(pattern.segments):
        if pattern.kind is Kind.WHOLE:
            whole = rows
        else:
            prefix = rows
    else:
        segment = pattern.segments[at]
        if segment is None:
            variable = _with_rows(variable, pattern, at + 1, rows)
        else:
            child = _with_rows(literal.get(segment), pattern, at + 1, rows)
            if child is not None:
                literal = with_entry(literal, segment, child)
            elif segment in literal:
                literal = without_entry(literal, segment)
    if not literal and variable is None and whole is None and prefix is None:
        return None
    return Node(literal, variable, whole, prefix)
