"""The tree of path segments that holds the routes of a host, as a persistent value.

A change creates new nodes along the path of the changed routes, and shares all other nodes with the old tree.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Generic, TypeVar

from .paths import Pattern, PatternKind
from .persistent_map import PersistentMap, with_entry, without_entry
from .route_groups import PathRoutes, RouteMatch

__all__ = ["SegmentNode", "routes_at", "with_routes"]

_EMPTY: dict[Any, Any] = {}

R = TypeVar("R", bound=RouteMatch)


class SegmentNode(Generic[R]):
    """A node of the tree; immutable.

    Parameters
    ----------
    literals
        Child nodes by segment.
    variable
        The child node of a variable, which matches any segment that is not empty.
    full
        Routes whose pattern is exactly the path to this node.
    prefix
        Routes whose pattern is a prefix that ends at this node.
    """

    __slots__ = ("full", "literals", "prefix", "variable")

    def __init__(
        self,
        literals: PersistentMap[str, SegmentNode[R]] = _EMPTY,
        variable: SegmentNode[R] | None = None,
        full: PathRoutes[R] | None = None,
        prefix: PathRoutes[R] | None = None,
    ) -> None:
        self.literals = literals
        self.variable = variable
        self.full = full
        self.prefix = prefix

    def find(self, method: bytes, segments: Sequence[str], headers: Mapping[bytes, bytes]) -> R | None:
        """Return the most specific route below this root that matches a request.

        The most specific full pattern and all prefixes are found along literal segments; the tree is
        searched for full patterns with variables only if any node passed has a variable.
        """
        prefixes = [self.prefix] if self.prefix is not None else []
        has_variables = self.variable is not None
        node = self
        for segment in segments:
            child = node.literals.get(segment)
            if child is None:
                break
            node = child
            if node.prefix is not None:
                prefixes.append(node.prefix)
            if node.variable is not None:
                has_variables = True
        else:
            route = node.full.find(method, headers) if node.full is not None else None
            if route is not None:
                return route
        if has_variables:
            route = self._find_template(method, segments, headers)
            if route is not None:
                return route
        while prefixes:
            route = prefixes.pop().find(method, headers)
            if route is not None:
                return route
        return None

    def _find_template(
        self, method: bytes, segments: Sequence[str], headers: Mapping[bytes, bytes]
    ) -> R | None:
        """Return the most specific full pattern: depth first, literals before variables."""
        last = len(segments)
        stack: list[tuple[SegmentNode[R], int]] = [(self, 0)]
        while stack:
            node, position = stack.pop()
            if position == last:
                if node.full is not None:
                    route = node.full.find(method, headers)
                    if route is not None:
                        return route
                continue
            segment = segments[position]
            if node.variable is not None and segment:
                stack.append((node.variable, position + 1))
            child = node.literals.get(segment)
            if child is not None:
                stack.append((child, position + 1))
        return None

    def all_routes(self) -> Iterator[PathRoutes[R]]:
        """Yield the routes of each path below this root."""
        stack = [self]
        while stack:
            node = stack.pop()
            for routes in (node.full, node.prefix):
                if routes is not None:
                    yield routes
            stack += node.literals.values()
            if node.variable is not None:
                stack.append(node.variable)


def routes_at(root: SegmentNode[R] | None, pattern: Pattern) -> PathRoutes[R] | None:
    """Return the routes of a pattern below a root."""
    node = root
    for segment in pattern.segments:
        if node is None:
            return None
        node = node.variable if segment is None else node.literals.get(segment)
    if node is None:
        return None
    return node.full if pattern.kind is PatternKind.FULL else node.prefix


def with_routes(
    root: SegmentNode[R] | None, pattern: Pattern, routes: PathRoutes[R] | None
) -> SegmentNode[R] | None:
    """Return a tree with other routes (None: none) at a pattern; None: the tree has no routes left."""
    return _with_routes(root, pattern, 0, routes)


def _with_routes(
    node: SegmentNode[R] | None, pattern: Pattern, position: int, routes: PathRoutes[R] | None
) -> SegmentNode[R] | None:
    """Return a node, or a new one for None, with other routes below it; None: it has none left."""
    before: SegmentNode[R] = node if node is not None else SegmentNode()
    literals, variable, full, prefix = before.literals, before.variable, before.full, before.prefix
    if position < len(pattern.segments):
        segment = pattern.segments[position]
        if segment is None:
            variable = _with_routes(variable, pattern, position + 1, routes)
        else:
            child = _with_routes(literals.get(segment), pattern, position + 1, routes)
            literals = _with_child(literals, segment, child)
    elif pattern.kind is PatternKind.FULL:
        full = routes
    else:
        prefix = routes
    if not literals and variable is None and full is None and prefix is None:
        return None
    return SegmentNode(literals, variable, full, prefix)


def _with_child(
    literals: PersistentMap[str, SegmentNode[R]], segment: str, child: SegmentNode[R] | None
) -> PersistentMap[str, SegmentNode[R]]:
    """Return child nodes with another one for a segment (None: none)."""
    if child is not None:
        return with_entry(literals, segment, child)
    return without_entry(literals, segment) if segment in literals else literals
