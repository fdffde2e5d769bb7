"""The plan of a state of resources, and how it takes a change in without being compiled anew.

A plan is a persistent value. plan_after() makes the next one: it compiles the routes that changed, checks
them against the routes of their own places, and shares everything else with the plan before, which goes on as
it was. It costs by the size of the change, with two exceptions that follow from inheritance: a change of a
class's limits costs by the number of routes that requests of the class may take (there is an index of them),
and one of the defaults by the number of all routes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import NamedTuple, TypeVar

from immutables import Map

from hollybay.balancing import interface as api
from hollybay.resources.model import Change, ChangeRefused, Key, Kind, Resource
from hollybay.resources.model import Problem as ResourceProblem
from hollybay.resources.state import ResourceState

from .forms import Table
from .limits import Effective
from .matcher import Matcher
from .paths import Reading
from .problems import Problem
from .resource_tables import DEFAULTS, PATHS, decode_table
from .route_table import (
    Context,
    Plan,
    Route,
    class_limits,
    compile_route,
    header_names,
    once,
    overlap_problem,
    rate_headers,
    route_limits,
    undeclared,
)
from .schema import ClassTable, LimitsTable, PathsTable, RouteTable, TenantTable
from .tenants import TENANT_SCOPE, tenant_limits

__all__ = ["ResourcePlan", "Validator", "plan_after", "plan_of_state"]

# Problems of one change that are told.
MAX_PROBLEMS = 200
# For so many changes, and so many names in them, a plan knows what went away since an older one.
MAX_STEPS, MAX_GONE = 64, 4096
# Tenants whose limits are kept ready; all others have only their resource.
MAX_READY_TENANTS = 4096

T = TypeVar("T", bound=Table)


class _Step(NamedTuple):
    """One change: the mark of the plan before it, and the scopes that it took away."""

    before: object
    gone: tuple[str, ...]


class StateTenants:
    """The tenants of a state; a table is decoded when a request of its tenant comes."""

    __slots__ = ("_count", "_resources", "ready")

    def __init__(
        self, resources: Map[Key, Resource], count: int, ready: dict[tuple[str, bytes], Effective]
    ) -> None:
        self._resources = resources
        self._count = count
        # Shared by the plans of one line, and bounded. By name and body: it is never out of date.
        self.ready = ready

    def get(self, name: str, /) -> Effective | None:
        """The limits of a tenant, if there are any."""
        resource = self._resources.get(Key(Kind.TENANT, name))
        if resource is None:
            return None
        known = self.ready.get((name, resource.body))
        if known is None:
            table = decode_table(resource.key, resource.body, TenantTable)
            known = tenant_limits(name, table)
            while len(self.ready) >= MAX_READY_TENANTS:
                del self.ready[next(iter(self.ready))]
            self.ready[name, resource.body] = known
        return known

    def __contains__(self, name: object, /) -> bool:
        return isinstance(name, str) and Key(Kind.TENANT, name) in self._resources

    def __iter__(self) -> Iterator[str]:
        return (key.name for key in self._resources if key.kind is Kind.TENANT)

    def __len__(self) -> int:
        return self._count


@dataclass(frozen=True, slots=True, kw_only=True)
class ResourcePlan(Plan):
    """The plan of a state, with what it takes to make the next one.

    class_tables, defaults: the tables from which limits are inherited. dependents: by the number of a class,
    the names of the routes that have limits for it. header_counts: how many routes and classes decide on each
    header. mark: stands for this plan in the steps of later ones.
    """

    by_name: Map[str, Route]
    tenants: StateTenants
    class_tables: Mapping[str, ClassTable]
    defaults: LimitsTable
    paths: PathsTable
    dependents: Mapping[int, Map[str, None]]
    header_counts: Map[bytes, int]
    mark: object = field(default_factory=object, compare=False)
    steps: tuple[_Step, ...] = field(default=(), compare=False)

    def gone_since(self, before: Plan) -> Iterable[str] | None:
        """Scopes that went away since a plan from which this one came; None: that is not known."""
        if before is self:
            return ()
        if isinstance(before, ResourcePlan):
            for n, step in enumerate(self.steps):
                if step.before is before.mark:
                    return {scope for later in self.steps[n:] for scope in later.gone}
        return None


def plan_of_state(state: ResourceState, settings: api.Settings) -> ResourcePlan:
    """The plan of a whole state. ChangeRefused: it does not hold; all that was found is told."""
    return plan_after(_empty(settings), state, state.resources, settings)


def plan_after(
    plan: ResourcePlan, state: ResourceState, changed: Iterable[Key], settings: api.Settings
) -> ResourcePlan:
    """The plan after a change. changed: the resources in which the state differs from that of the plan.

    The settings are those that the plan was made for. ChangeRefused: the state would not hold; the problems
    name resource, field and reason, and the old plan is as it was in any case.
    """
    edit = _Edit(plan, state, settings)
    edit.take_in(frozenset(changed))
    return edit.finished()


class Validator:
    """Whether changes, one after another, leave a sound plan. plan: the one after those that did."""

    def __init__(self, plan: ResourcePlan, settings: api.Settings) -> None:
        self.plan = plan
        self.settings = settings

    def __call__(self, state: ResourceState, change: Change) -> None:
        """Take in a change that leads to this state. ChangeRefused: it may not be."""
        changed = [operation.key for operation in change.operations]
        self.plan = plan_after(self.plan, state, changed, self.settings)


def _empty(settings: api.Settings) -> ResourcePlan:
    """The plan that says nothing."""
    context = Context.of(settings, {}, LimitsTable())
    problems: list[Problem] = []
    by_name: Map[str, Route] = Map()
    return ResourcePlan(
        by_name.values(),
        Matcher(),
        context.numbers,
        tuple(class_limits(number, context, problems) for number in range(len(settings.classes))),
        Reading(),
        frozenset(),
        bare=True,
        by_name=by_name,
        tenants=StateTenants(Map(), 0, {}),
        class_tables={},
        defaults=LimitsTable(),
        paths=PathsTable(),
        dependents={number: Map() for number in range(len(settings.classes))},
        header_counts=Map(),
    )


class _Edit:
    """One change on its way into a plan."""

    def __init__(self, plan: ResourcePlan, state: ResourceState, settings: api.Settings) -> None:
        self.plan = plan
        self.state = state
        self.settings = settings
        self.refused: list[ResourceProblem] = []  # bodies that hold no table
        self.problems: list[Problem] = []  # tables that may not take effect
        self.class_tables = dict(plan.class_tables)
        self.defaults = plan.defaults
        self.paths = plan.paths
        self.context = Context.of(settings, self.class_tables, self.defaults)
        self.by_class = list(plan.by_class)
        self.matcher = plan.matcher
        self.routes: dict[str, Route | None] = {}  # None: it goes away
        self.counts: Counter[bytes] = Counter()  # of headers: what is added, or taken away
        self.tenants = len(plan.tenants)
        self.gone: list[str] = []

    def take_in(self, changed: frozenset[Key]) -> None:
        """Take in all changed resources; what does not hold goes to the problems."""
        if PATHS in changed:
            self.paths = self._table(PATHS, PathsTable) or PathsTable()
        stale = self._inherited(changed)
        names = sorted(key.name for key in changed if key.kind is Kind.ROUTE)
        self._replace_routes(names)
        self._renew_dependents(stale, frozenset(names))
        for key in changed:
            if key.kind is Kind.TENANT:
                self._replace_tenant(key)

    def finished(self) -> ResourcePlan:
        """The plan after the change. ChangeRefused: it may not be."""
        self._refuse()
        by_name = self._by_name()
        counts, headers = self._headers()
        bare = not by_name and not self.class_tables and not self.tenants
        plan = self.plan
        return ResourcePlan(
            by_name.values(),
            self.matcher,
            plan.classes,
            tuple(self.by_class),
            Reading(self.paths.encoded_slash == "keep", self.paths.empty_segments == "keep"),
            headers,
            bare=bare and self.defaults == LimitsTable() and self.paths == PathsTable(),
            by_name=by_name,
            tenants=StateTenants(self.state.resources, self.tenants, plan.tenants.ready),
            class_tables=self.class_tables,
            defaults=self.defaults,
            paths=self.paths,
            dependents=self._dependents(),
            header_counts=counts,
            steps=self._steps(),
        )

    # Tables

    def _table(self, key: Key, kind: type[T]) -> T | None:
        """The table of a resource; None: there is no such resource, or its body does not hold."""
        resource = self.state.resources.get(key)
        if resource is None:
            return None
        try:
            return decode_table(key, resource.body, kind)
        except ChangeRefused as error:
            self.refused += error.problems
            return None

    def _inherited(self, changed: frozenset[Key]) -> set[int]:
        """Take in classes and defaults; the numbers of the classes whose limits may be others now."""
        numbers = self.context.numbers
        stale: set[int] = set()
        for key in changed:
            if key.kind is not Kind.CLASS:
                continue
            before = self.class_tables.pop(key.name, ClassTable())
            table = self._table(key, ClassTable)
            if table is not None:
                self.class_tables[key.name] = table
                self.problems += undeclared({key.name: table}, self.settings)
            if key.name in numbers and before.limits != (table or ClassTable()).limits:
                stale.add(numbers[key.name])
        if DEFAULTS in changed:
            self.defaults = self._table(DEFAULTS, LimitsTable) or LimitsTable()
            if self.defaults != self.plan.defaults:
                stale.update(numbers.values())
        self.context = Context.of(self.settings, self.class_tables, self.defaults)
        for number in stale:
            before_limits = self.by_class[number]
            limits = class_limits(number, self.context, self.problems)
            if limits != before_limits:
                self.by_class[number] = limits
                self.counts.subtract(rate_headers(before_limits))
                self.counts.update(rate_headers(limits))
        return stale

    def _replace_tenant(self, key: Key) -> None:
        """Take in the limits of a tenant."""
        was = key.name in self.plan.tenants
        is_there = key in self.state.resources
        self._table(key, TenantTable)
        self.tenants += is_there - was
        if was and not is_there:
            self.gone.append(TENANT_SCOPE + key.name)

    # Routes

    def _replace_routes(self, names: Sequence[str]) -> None:
        """Take in the routes of these names: first all old ones go, so that they overlap with no new one."""
        new: list[Route] = []
        for name in names:
            old = self.plan.by_name.get(name)
            table = self._table(Key(Kind.ROUTE, name), RouteTable)
            route = None if table is None else compile_route(table, self.context, self.problems)
            if route is not None and old is not None:
                route = _sharing(route, old)
                if route is old:
                    continue
            if old is not None:
                self.matcher = self.matcher.without_route(old)
            if route is not None:
                new.append(route)
            self._swap(name, old, route)
            if route is None and old is not None:
                self.gone.append(name)
        for route in new:
            if len(self.problems) > MAX_PROBLEMS:
                return  # more would be told to nobody, and there can be as many as there are pairs
            overlapping = list(islice(self.matcher.undecided_with(route), MAX_PROBLEMS))
            self.problems += [overlap_problem(other, route) for other in overlapping]
            if not overlapping:
                self.matcher = self.matcher.with_route(route)

    def _renew_dependents(self, stale: set[int], replaced: frozenset[str]) -> None:
        """Work out anew the limits of routes that inherit from tables that changed."""
        names = {name for number in stale for name in self.plan.dependents[number]}
        for name in sorted(names - replaced):
            old = self.plan.by_name[name]
            table = self._table(Key(Kind.ROUTE, name), RouteTable)
            assert table is not None, "the plan has a route that its state has not"
            limits = dict(old.limits)
            for number in stale & limits.keys():
                one = route_limits(table, number, self.context, self.problems)
                if one != limits[number]:
                    limits[number] = one
            if limits != old.limits:
                route = replace(old, limits=limits)
                self.matcher = self.matcher.without_route(old).with_route(route)
                self._swap(name, old, route)

    def _swap(self, name: str, old: Route | None, new: Route | None) -> None:
        """One route stands for another now."""
        self.routes[name] = new
        if old is not None:
            self.counts.subtract(header_names(old))
        if new is not None:
            self.counts.update(header_names(new))

    # The new plan's parts

    def _refuse(self) -> None:
        """ChangeRefused where anything does not hold."""
        problems = [*self.refused, *(_told(problem) for problem in once(self.problems))]
        if len(problems) > MAX_PROBLEMS:
            more = ResourceProblem("", "", f"{len(problems) - MAX_PROBLEMS} further problems")
            problems = [*problems[:MAX_PROBLEMS], more]
        if problems:
            raise ChangeRefused(tuple(problems))

    def _by_name(self) -> Map[str, Route]:
        by_name = self.plan.by_name.mutate()
        for name, route in self.routes.items():
            if route is not None:
                by_name[name] = route
            else:
                by_name.pop(name, None)
        return by_name.finish()

    def _dependents(self) -> Mapping[int, Map[str, None]]:
        dependents = dict(self.plan.dependents)
        for number, before in dependents.items():
            names = before.mutate()
            for name, route in self.routes.items():
                if route is not None and number in route.limits:
                    names[name] = None
                else:
                    names.pop(name, None)
            dependents[number] = names.finish()
        return dependents

    def _headers(self) -> tuple[Map[bytes, int], frozenset[bytes]]:
        """How many decide on each header, and the headers."""
        counts, headers = self.plan.header_counts, self.plan.headers
        for name, more in self.counts.items():
            count = counts.get(name, 0) + more
            if count:
                counts = counts.set(name, count)
            elif name in counts:
                counts = counts.delete(name)
        if len(counts) != len(headers) or any(name not in headers for name in self.counts if name in counts):
            headers = frozenset(counts)
        return counts, headers

    def _steps(self) -> tuple[_Step, ...]:
        """What went away, of the last changes; () where that is too much."""
        steps = (*self.plan.steps, _Step(self.plan.mark, tuple(self.gone)))[-MAX_STEPS:]
        while steps and sum(len(step.gone) for step in steps) > MAX_GONE:
            steps = steps[1:]
        return steps


def _sharing(route: Route, old: Route) -> Route:
    """A route with those limits of the old one that did not change, or the old one if nothing did."""
    if route == old:
        return old
    limits = {number: _same_or(one, old.limits.get(number)) for number, one in route.limits.items()}
    return replace(route, limits=limits)


def _same_or(one: Effective, old: Effective | None) -> Effective:
    return old if old is not None and old == one else one


def _told(problem: Problem) -> ResourceProblem:
    """A problem of a table as one of its resource."""
    table = problem.table
    reason = problem.reason_with_value
    if table == "defaults":
        return ResourceProblem(str(DEFAULTS), problem.key, reason)
    if table.startswith("class."):
        name = table[len("class.") :].removesuffix(".limits")
        field = "limits" if table.endswith(".limits") else ""
        return ResourceProblem(str(Key(Kind.CLASS, name)), _joined(field, problem.key), reason)
    # A route's name has no quotes.
    _, name, rest = table.split("'", 2)
    return ResourceProblem(str(Key(Kind.ROUTE, name)), _joined(rest.removeprefix("."), problem.key), reason)


def _joined(*parts: str) -> str:
    return ".".join(part for part in parts if part)
