"""Derives the policy of a changed state of resources without compiling the whole state.

Changed routes are compiled, and checked for overlaps only with routes of the same hosts and path. The cost is
linear in the size of the change, with two exceptions due to inheritance: for a change of a class's limits it
is linear in the number of routes that serve the class (there is an index of them), for a change of the
defaults in the number of all routes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from itertools import islice
from typing import TypeVar

from immutables import Map

from hollybay.balancing import interface as api
from hollybay.resources.model import ChangeProblem, ChangeRejectedError, Key, Kind
from hollybay.resources.state import ResourceState

from .class_declarations import declaration_problems
from .compiled_policy import Route
from .incremental_policy import IncrementalPolicy, PolicyChange, StateTenants
from .limits import EffectiveLimits
from .policy_compiler import overlap_problem, path_options, unique_problems
from .problems import FileProblem
from .resource_tables import DEFAULTS, PATHS, decode_table
from .route_compiler import (
    LimitsContext,
    compile_class_limits,
    compile_route,
    compile_route_limits,
    rate_headers,
    route_headers,
)
from .schema import ClassTable, LimitsTable, PathsTable, RouteTable, TenantTable
from .tenants import TENANT_SCOPE
from .typed_tables import Table

__all__ = ["MAX_PROBLEMS", "update_policy"]

# Maximum number of problems reported for one change.
MAX_PROBLEMS = 200
# Bounds on the history of a policy: number of changes, and of scopes removed in them.
MAX_HISTORY_CHANGES, MAX_HISTORY_SCOPES = 64, 4096

T = TypeVar("T", bound=Table)


def update_policy(
    policy: IncrementalPolicy, state: ResourceState, changed: Iterable[Key], settings: api.Settings
) -> IncrementalPolicy:
    """Derive the policy of a changed state; the given policy is not modified.

    Parameters
    ----------
    policy
        The policy of the state before the change.
    state
        The state after the change.
    changed
        The resources in which the two states differ.
    settings
        The settings that the policy was compiled for.

    Raises
    ------
    ChangeRejectedError
        The state is not valid; each problem names the resource, the field and the reason.
    """
    update = _PolicyUpdate(policy, state, settings)
    update.apply(frozenset(changed))
    return update.build()


class _PolicyUpdate:
    """Applies one change to a policy: call `apply` first, then `build`."""

    def __init__(self, policy: IncrementalPolicy, state: ResourceState, settings: api.Settings) -> None:
        self.policy = policy
        self.state = state
        self.settings = settings
        self.invalid_bodies: list[ChangeProblem] = []
        self.problems: list[FileProblem] = []  # in the tables of valid bodies
        self.class_tables = dict(policy.class_tables)
        self.defaults = policy.defaults
        self.paths = policy.paths
        self.context = LimitsContext.of(settings, self.class_tables, self.defaults)
        self.class_limits = list(policy.class_limits)
        self.matcher = policy.matcher
        self.changed_routes: dict[str, Route | None] = {}  # None: removed
        self.header_changes: Counter[bytes] = Counter()  # added or removed users of each header
        self.tenant_count = len(policy.tenants)
        self.removed_scopes: list[str] = []

    def apply(self, changed: frozenset[Key]) -> None:
        """Apply the changed resources; problems are collected."""
        if PATHS in changed:
            self.paths = self._decode(PATHS, PathsTable) or PathsTable()
        stale_classes = self._apply_inherited_tables(changed)
        route_names = sorted(key.name for key in changed if key.kind is Kind.ROUTE)
        self._replace_routes(route_names)
        self._update_inheriting_routes(stale_classes, frozenset(route_names))
        for key in changed:
            if key.kind is Kind.TENANT:
                self._replace_tenant(key)

    def build(self) -> IncrementalPolicy:
        """Return the policy after the change.

        Raises
        ------
        ChangeRejectedError
            Problems were found.
        """
        self._raise_problems()
        routes_by_name = self._build_routes_by_name()
        header_counts, inspected_headers = self._build_headers()
        has_tables = bool(routes_by_name or self.class_tables or self.tenant_count)
        has_default_tables = self.defaults == LimitsTable() and self.paths == PathsTable()
        return IncrementalPolicy(
            routes_by_name.values(),
            self.matcher,
            self.policy.class_indexes,
            tuple(self.class_limits),
            path_options(self.paths),
            inspected_headers,
            is_empty=has_default_tables and not has_tables,
            routes_by_name=routes_by_name,
            tenants=StateTenants(self.state.resources, self.tenant_count, self.policy.tenants.compiled),
            class_tables=self.class_tables,
            defaults=self.defaults,
            paths=self.paths,
            route_names_by_class=self._build_route_names_by_class(),
            header_counts=header_counts,
            history=self._build_history(),
        )

    def _decode(self, key: Key, kind: type[T]) -> T | None:
        """Return the table of a resource; None: there is no such resource, or its body is not valid."""
        resource = self.state.resources.get(key)
        if resource is None:
            return None
        try:
            return decode_table(key, resource.body, kind)
        except ChangeRejectedError as error:
            self.invalid_bodies += error.problems
            return None

    # Classes, defaults and tenants

    def _apply_inherited_tables(self, changed: frozenset[Key]) -> set[int]:
        """Apply changed classes and defaults; return the classes whose limits may have changed."""
        class_indexes = self.context.class_indexes
        stale: set[int] = set()
        for key in changed:
            if key.kind is Kind.CLASS and self._replace_class(key) and key.name in class_indexes:
                stale.add(class_indexes[key.name])
        if DEFAULTS in changed:
            self.defaults = self._decode(DEFAULTS, LimitsTable) or LimitsTable()
            if self.defaults != self.policy.defaults:
                stale.update(class_indexes.values())
        self.context = LimitsContext.of(self.settings, self.class_tables, self.defaults)
        for index in stale:
            self._update_class_limits(index)
        return stale

    def _replace_class(self, key: Key) -> bool:
        """Apply a changed class; return whether the limits in its table changed."""
        before = self.class_tables.pop(key.name, ClassTable())
        table = self._decode(key, ClassTable)
        if table is not None:
            self.class_tables[key.name] = table
            self.problems += declaration_problems({key.name: table}, self.settings)
        return before.limits != (table or ClassTable()).limits

    def _update_class_limits(self, index: int) -> None:
        before = self.class_limits[index]
        limits = compile_class_limits(index, self.context, self.problems)
        if limits != before:
            self.class_limits[index] = limits
            self.header_changes.subtract(rate_headers(before))
            self.header_changes.update(rate_headers(limits))

    def _replace_tenant(self, key: Key) -> None:
        existed = key.name in self.policy.tenants
        exists = key in self.state.resources
        self._decode(key, TenantTable)
        self.tenant_count += exists - existed
        if existed and not exists:
            self.removed_scopes.append(TENANT_SCOPE + key.name)

    # Routes

    def _replace_routes(self, names: Sequence[str]) -> None:
        """Apply changed routes: all old ones are removed first, so that no new one overlaps with them."""
        added: list[Route] = []
        for name in names:
            route = self._replace_route(name)
            if route is not None:
                added.append(route)
        for route in added:
            if len(self.problems) > MAX_PROBLEMS:
                return  # there can be one overlap for each pair of routes
            overlapping = list(islice(self.matcher.ambiguous_with(route), MAX_PROBLEMS))
            self.problems += [overlap_problem(other, route) for other in overlapping]
            if not overlapping:
                self.matcher = self.matcher.with_route(route)

    def _replace_route(self, name: str) -> Route | None:
        """Remove the old route of a name if it changed; return the new one, not yet in the matcher."""
        old = self.policy.routes_by_name.get(name)
        table = self._decode(Key(Kind.ROUTE, name), RouteTable)
        route = None if table is None else compile_route(table, self.context, self.problems)
        if route is not None and old is not None:
            route = _share_limits(route, old)
            if route is old:
                return None
        if old is not None:
            self.matcher = self.matcher.without_route(old)
        self._record_route(name, old, route)
        if route is None and old is not None:
            self.removed_scopes.append(name)
        return route

    def _update_inheriting_routes(self, stale_classes: set[int], replaced: frozenset[str]) -> None:
        """Recompile the limits of unchanged routes that inherit from changed tables."""
        names = {name for index in stale_classes for name in self.policy.route_names_by_class[index]}
        for name in sorted(names - replaced):
            old = self.policy.routes_by_name[name]
            table = self._decode(Key(Kind.ROUTE, name), RouteTable)
            assert table is not None, "the policy has a route that is not in its state"
            limits_by_class = dict(old.limits_by_class)
            for index in stale_classes & limits_by_class.keys():
                limits = compile_route_limits(table, index, self.context, self.problems)
                if limits != limits_by_class[index]:
                    limits_by_class[index] = limits
            if limits_by_class != old.limits_by_class:
                route = replace(old, limits_by_class=limits_by_class)
                self.matcher = self.matcher.without_route(old).with_route(route)
                self._record_route(name, old, route)

    def _record_route(self, name: str, old: Route | None, new: Route | None) -> None:
        self.changed_routes[name] = new
        if old is not None:
            self.header_changes.subtract(route_headers(old))
        if new is not None:
            self.header_changes.update(route_headers(new))

    # Parts of the new policy

    def _raise_problems(self) -> None:
        """Raise ChangeRejectedError if any problem was found."""
        found = unique_problems(self.problems)
        problems = [*self.invalid_bodies, *(_resource_problem(problem) for problem in found)]
        if len(problems) > MAX_PROBLEMS:
            more = ChangeProblem("", "", f"{len(problems) - MAX_PROBLEMS} further problems")
            problems = [*problems[:MAX_PROBLEMS], more]
        if problems:
            raise ChangeRejectedError(tuple(problems))

    def _build_routes_by_name(self) -> Map[str, Route]:
        routes_by_name = self.policy.routes_by_name.mutate()
        for name, route in self.changed_routes.items():
            if route is not None:
                routes_by_name[name] = route
            else:
                routes_by_name.pop(name, None)
        return routes_by_name.finish()

    def _build_route_names_by_class(self) -> Mapping[int, Map[str, None]]:
        names_by_class = dict(self.policy.route_names_by_class)
        for index, before in names_by_class.items():
            names = before.mutate()
            for name, route in self.changed_routes.items():
                if route is not None and index in route.limits_by_class:
                    names[name] = None
                else:
                    names.pop(name, None)
            names_by_class[index] = names.finish()
        return names_by_class

    def _build_headers(self) -> tuple[Map[bytes, int], frozenset[bytes]]:
        """Return how many routes and classes inspect each header, and the inspected headers."""
        counts, headers = self.policy.header_counts, self.policy.inspected_headers
        for name, change in self.header_changes.items():
            count = counts.get(name, 0) + change
            if count:
                counts = counts.set(name, count)
            elif name in counts:
                counts = counts.delete(name)
        is_added = any(name not in headers for name in self.header_changes if name in counts)
        if is_added or len(counts) != len(headers):
            headers = frozenset(counts)
        return counts, headers

    def _build_history(self) -> tuple[PolicyChange, ...]:
        """Return the most recent changes, within the bounds on the history."""
        change = PolicyChange(self.policy.identity, tuple(self.removed_scopes))
        history = (*self.policy.history, change)[-MAX_HISTORY_CHANGES:]
        while history and sum(len(change.removed_scopes) for change in history) > MAX_HISTORY_SCOPES:
            history = history[1:]
        return history


def _share_limits(route: Route, old: Route) -> Route:
    """Return a route that shares unchanged limits with the old one; the old one itself if nothing changed."""
    if route == old:
        return old
    limits_by_class = {
        index: _same_or_new(old.limits_by_class.get(index), limits)
        for index, limits in route.limits_by_class.items()
    }
    return replace(route, limits_by_class=limits_by_class)


def _same_or_new(old: EffectiveLimits | None, new: EffectiveLimits) -> EffectiveLimits:
    return old if old is not None and old == new else new


def _resource_problem(problem: FileProblem) -> ChangeProblem:
    """Convert a problem of a table to a problem of its resource."""
    table = problem.table
    reason = problem.reason_with_value
    if table == "defaults":
        return ChangeProblem(str(DEFAULTS), problem.key, reason)
    if table.startswith("class."):
        name = table.removeprefix("class.").removesuffix(".limits")
        field = "limits" if table.endswith(".limits") else ""
        return ChangeProblem(str(Key(Kind.CLASS, name)), _join_fields(field, problem.key), reason)
    # The name of a route contains no quotes.
    _, name, rest = table.split("'", 2)
    field = _join_fields(rest.removeprefix("."), problem.key)
    return ChangeProblem(str(Key(Kind.ROUTE, name)), field, reason)


def _join_fields(*fields: str) -> str:
    return ".".join(field for field in fields if field)
