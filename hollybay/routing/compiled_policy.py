"""A compiled policy: resolves the head of a request to the limits in force for it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from .limits import EffectiveLimits
from .matcher import HeaderMatch, Matcher
from .paths import AmbiguousPathError, PathOptions, Pattern, segments_of
from .schema import ConsensusTable, PeersTable
from .tenants import NO_TENANTS, TENANT_SCOPE, Tenants

__all__ = ["CLASS_SCOPE", "CompiledPolicy", "Rejection", "Route", "Routes"]

# Prefix of a class's name in the scope of requests that no route matches. Route names contain no colon, so
# that scopes do not collide.
CLASS_SCOPE = "class:"
NO_CLASS = -1


@dataclass(frozen=True, slots=True)
class Rejection:
    """The response to a request that the policy rejects.

    Attributes
    ----------
    status
        HTTP status code.
    reason
        The reason, as sent to the client.
    class_index
        Always negative, which distinguishes a rejection from limits without a type check.
    """

    status: int
    reason: str
    class_index: int = NO_CLASS


@dataclass(frozen=True, slots=True)
class Route:
    """A compiled route.

    Attributes
    ----------
    name
        Unique; the scope of the route's counters and budgets.
    table
        The route's table in the operator file, as problems name it.
    hosts, methods, pattern, headers
        What the route matches; empty hosts or methods match any.
    class_index
        The class of all requests; None: the first segment of the path names the class.
    limits_by_class
        Limits by class index, for each class that requests of the route may be of.
    """

    name: str
    table: str
    hosts: tuple[str, ...]
    methods: tuple[bytes, ...]
    pattern: Pattern
    headers: tuple[HeaderMatch, ...]
    class_index: int | None = None
    limits_by_class: Mapping[int, EffectiveLimits] = field(default_factory=dict)


class Routes(Protocol):
    """The routes of a policy."""

    def __iter__(self) -> Iterator[Route]: ...
    def __len__(self) -> int: ...


@dataclass(frozen=True, slots=True)
class CompiledPolicy:
    """Routes and limits in force. Immutable: no method has a side effect.

    Attributes
    ----------
    class_indexes
        Class indexes in the node's settings, by the class's name.
    class_limits
        By class index, the limits of requests that no route matches.
    inspected_headers
        Headers (lower case) that routes match or rate limits are keyed by.
    peers, consensus
        The [peers] and [accord] tables of the operator file.
    is_empty
        Whether no routes, classes, tenants, limits or path options are stated.
    tenants
        Limits over all requests of a tenant, by its name.
    """

    routes: Routes
    matcher: Matcher[Route]
    class_indexes: Mapping[str, int]
    class_limits: tuple[EffectiveLimits, ...]
    path_options: PathOptions
    inspected_headers: frozenset[bytes]
    peers: PeersTable | None = None
    consensus: ConsensusTable | None = None
    is_empty: bool = False
    routes_by_name: Mapping[str, Route] = field(default_factory=dict)
    tenants: Tenants = field(default_factory=lambda: NO_TENANTS)

    def find_route(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes]
    ) -> tuple[Route | None, tuple[str, ...] | None]:
        """Return the route that matches a request, and the segments of its path.

        Raises
        ------
        AmbiguousPathError
            Servers may read the path in different ways.
        """
        segments = segments_of(target.split(b"?", 1)[0].decode("latin-1"), self.path_options)
        if segments is None:
            return None, None
        matcher = self.matcher
        host = _request_host(headers) if matcher.exact_hosts or matcher.wildcard_hosts else ""
        return matcher.find(method, host, segments, headers), segments

    def resolve(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes]
    ) -> EffectiveLimits | Rejection | None:
        """Return the limits in force for a request, or its rejection; None: it names no class.

        Runs for every request, so it repeats the steps of `find_route` inline to save function calls.

        Parameters
        ----------
        headers
            The request's headers, names in lower case.
        """
        path = target.decode("latin-1")
        query = path.find("?")
        if query >= 0:
            path = path[:query]
        try:
            segments = segments_of(path, self.path_options)
        except AmbiguousPathError as error:
            return Rejection(400, str(error))
        if segments is None:
            return None
        matcher = self.matcher
        if matcher.exact_hosts or matcher.wildcard_hosts:
            route = matcher.find(method, _request_host(headers), segments, headers)
        else:
            root = matcher.any_host
            route = root.find(method, segments, headers) if root is not None else None
        if route is not None and route.class_index is not None:
            return route.limits_by_class[route.class_index]
        class_index = self.class_indexes.get(segments[0])
        if class_index is None:
            return None
        default = self.class_limits[class_index]
        return default if route is None else route.limits_by_class.get(class_index, default)

    def scopes(self) -> frozenset[str]:
        """Return all scopes in which requests are counted. Cost: linear in the number of routes."""
        names = [route.name for route in self.routes] + [limits.scope for limits in self.class_limits]
        return frozenset(names + [TENANT_SCOPE + name for name in self.tenants])

    def has_scope(self, scope: str) -> bool:
        """Tell whether requests are counted in a scope."""
        if scope in self.routes_by_name:
            return True
        if scope.startswith(CLASS_SCOPE):
            return scope[len(CLASS_SCOPE) :] in self.class_indexes
        return scope.startswith(TENANT_SCOPE) and scope[len(TENANT_SCOPE) :] in self.tenants

    def tenant_limits(self, name: str) -> tuple[EffectiveLimits, ...]:
        """Return the limits over all requests of a tenant; () if it has none."""
        found = self.tenants.get(name)
        return () if found is None else (found,)

    @property
    def has_tenant_limits(self) -> bool:
        """Whether any tenant has limits of its own."""
        return len(self.tenants) > 0

    def policies(self) -> tuple[CompiledPolicy, ...]:
        """Return the policies that apply together: this one alone."""
        return (self,)

    def scopes_removed_since(self, before: CompiledPolicy) -> Iterable[str] | None:
        """Return scopes of an earlier policy that may be missing in this one derived from it.

        None: this policy is not known to be derived from it, and any scope may be missing.
        """
        return () if before is self else None


def _request_host(headers: Mapping[bytes, bytes]) -> str:
    """Return the host that a request names, in lower case, without port and trailing dot."""
    host = headers.get(b"host", b"").decode("latin-1").strip().lower()
    if host[-1:].isdigit() and not host.endswith("]"):
        name, colon, port = host.rpartition(":")
        if colon and port.isdigit():
            host = name
    return host[:-1] if host.endswith(".") else host
