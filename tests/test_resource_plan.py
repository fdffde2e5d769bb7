"""A policy updated by changes equals the policy compiled from the whole resulting state."""

from __future__ import annotations

import copy
import re
from dataclasses import dataclass, field, replace
from typing import Literal, TypeAlias, TypeVar

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.resources.batch import assemble
from hollybay.resources.model import (
    Change,
    ChangeProblem,
    ChangeRejectedError,
    Delete,
    Key,
    Kind,
    Operation,
    Upsert,
)
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.routing import persistent_map
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.compiled_policy import CompiledPolicy, Rejection
from hollybay.routing.incremental_policy import IncrementalPolicy
from hollybay.routing.limits import EffectiveLimits
from hollybay.routing.policy_compiler import compile_tables
from hollybay.routing.policy_intersection import PolicyIntersection
from hollybay.routing.policy_update import MAX_PROBLEMS, update_policy
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_tables import DEFAULTS, PATHS, encode_table, tables_of
from hollybay.routing.schema import (
    ClassTable,
    HeaderTable,
    LimitsTable,
    PathsTable,
    PathTable,
    RateTable,
    RouteTable,
    TenantLimitsTable,
    TenantRateTable,
    TenantTable,
)
from hollybay.routing.state_compiler import Validator, compile_state
from hollybay.units import MS, SECOND

SETTINGS = api.Settings(
    (
        api.RequestClass("view", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),
        api.RequestClass("send", api.Effect.UNSAFE, 2.0, 1200 * MS, 5 * SECOND),
        api.RequestClass(
            "book",
            api.Effect.KEYED,
            2.0,
            1200 * MS,
            5 * SECOND,
            deduplication_scope=api.DeduplicationScope.ZONE,
            deduplication_window=2 * SECOND,
        ),
    ),
    max_attempts=3,
    hedging_allowed=True,
    max_retry_after=5 * SECOND,
)
CLASSES = ("view", "send", "book")
ROUTES = tuple(f"r{n}" for n in range(7))
TENANTS = ("t0", "t1", "t2")
T = TypeVar("T")

# Few distinct values, so that overlaps, shared paths and invalid limits occur often.
rates = st.builds(
    RateTable,
    per_second=st.sampled_from([1.0, 5.0]),
    burst=st.sampled_from([None, 1, 3]),
    by=st.sampled_from(["route", "tenant", "header:X-A", "header:X-R"]),
)
limits = st.builds(
    LimitsTable,
    attempt_timeout=st.sampled_from([None, None, 100 * MS, 300 * MS]),
    request_timeout=st.sampled_from([None, None, 150 * MS, 400 * MS]),
    attempts=st.sampled_from([None, None, 1, 2]),
    retry_budget=st.sampled_from([None, None, None, 0.5]),
    in_flight=st.sampled_from([None, 1, 2]),
    rate=st.none() | rates,
)
mild_limits = st.builds(
    LimitsTable,
    request_timeout=st.sampled_from([None, None, 400 * MS]),
    in_flight=st.sampled_from([None, 1, 2]),
    rate=st.none() | rates,
)


def seldom(usual: st.SearchStrategy[T], odd: st.SearchStrategy[T], of: int = 8) -> st.SearchStrategy[T]:
    """Draw from the rare strategy once in `of` times."""
    return st.integers(0, of - 1).flatmap(lambda n: odd if n == of - 1 else usual)


headers = st.lists(
    st.builds(
        HeaderTable,
        name=st.sampled_from(["X-A", "X-B", "X-C"]),
        exact=st.sampled_from(["1", "2"]),
    )
    | st.builds(HeaderTable, name=st.sampled_from(["X-A", "X-D"]), present=st.just(True)),
    max_size=2,
    unique_by=lambda header: header.name,
)
paths = seldom(
    st.sampled_from(
        [
            PathTable(prefix="/view"),
            PathTable(prefix="/view/a"),
            PathTable(exact="/view/a"),
            PathTable(template="/view/{id}"),
        ]
    ),
    st.sampled_from(
        [
            PathTable(prefix="/"),
            PathTable(exact="/book/a"),
            PathTable(template="/view/{other}"),
            PathTable(template="/view/{id}/x"),
            PathTable(prefix="/send"),
            PathTable(prefix="/else"),
        ]
    ),
    4,
)


@st.composite
def route_tables(draw: st.DrawFn, name: str) -> RouteTable:
    return RouteTable(
        name=name,
        cls=draw(seldom(st.none(), st.sampled_from(["view", "ghost"]), 12)),
        hosts=draw(st.sampled_from([None, None, ["h.e"], ["*.e"], ["h.e", "i.e"]])),
        methods=draw(seldom(st.sampled_from([None, ["GET"], ["GET", "POST"]]), st.just(["POST"]), 20)),
        path=draw(paths),
        headers=draw(headers),
        limits=draw(seldom(mild_limits, limits)),
    )


tenant_tables = st.builds(
    TenantTable,
    limits=st.builds(
        TenantLimitsTable,
        in_flight=st.sampled_from([None, 1, 2]),
        rate=st.none() | st.builds(TenantRateTable, per_second=st.just(1.0), burst=st.sampled_from([1, 3])),
    ),
)
class_tables = st.builds(
    ClassTable, effect=seldom(st.none(), st.just("safe")), limits=seldom(mild_limits, limits, 3)
)


@st.composite
def edits(draw: st.DrawFn) -> dict[Key, bytes | None]:
    """The new bodies of some resources after one change; None: deleted. Some bodies are not valid."""
    wanted: dict[Key, bytes | None] = {}
    for _ in range(draw(st.integers(1, 4))):
        kind = draw(
            st.sampled_from(
                [Kind.ROUTE] * 6 + [Kind.CLASS, Kind.TENANT, Kind.DEFAULTS, Kind.PATHS, Kind.DRAINED_SERVER]
            )
        )
        body: bytes | None
        if kind is Kind.ROUTE:
            key = Key(kind, draw(st.sampled_from(ROUTES)))
            body = encode_table(draw(route_tables(key.name)))
        elif kind is Kind.CLASS:
            key = Key(kind, draw(st.sampled_from([*CLASSES * 4, "ghost"])))
            body = encode_table(draw(class_tables))
        elif kind is Kind.TENANT:
            key, body = Key(kind, draw(st.sampled_from(TENANTS))), encode_table(draw(tenant_tables))
        elif kind is Kind.DEFAULTS:
            key, body = DEFAULTS, encode_table(draw(seldom(mild_limits, limits, 3)))
        elif kind is Kind.PATHS:
            key = PATHS
            body = encode_table(PathsTable(empty_segments=draw(st.sampled_from(["keep", "reject"]))))
        else:
            key, body = Key(kind, "server-1"), b""
        fate = draw(st.integers(0, 39))
        if fate < 9:
            body = None
        elif fate == 9 and kind is not Kind.DRAINED_SERVER:
            body = draw(st.sampled_from([b"", b"\x81\xa3foo\x01", b"\x90", b"\xc1"]))
        wanted[key] = body
    return wanted


@dataclass
class Ask:
    path: bytes
    method: bytes
    request_headers: dict[bytes, bytes] = field(default_factory=dict)


asks = st.lists(
    st.builds(
        Ask,
        st.sampled_from(
            [
                *[b"/view", b"/view/a", b"/view/b", b"/view/b/x"] * 2,
                b"/view/a/x/y",
                b"/book/a",
                b"/send/z",
                b"/else",
                b"/view//b",
            ]
        ),
        st.sampled_from([b"GET", b"POST"]),
        st.fixed_dictionaries(
            {b"host": st.sampled_from([b"h.e", b"i.e", b"k.i.e", b"z"])},
            optional={
                b"x-a": st.sampled_from([b"1", b"2"]),
                b"x-b": st.sampled_from([b"1", b"2"]),
                b"x-c": st.sampled_from([b"1", b"2"]),
                b"x-d": st.just(b""),
            },
        ),
    ),
    min_size=8,
    max_size=20,
)


def operations(state: ResourceState, wanted: dict[Key, bytes | None]) -> tuple[Operation, ...]:
    """Return the operations that give a state these bodies."""
    found: list[Operation] = []
    for key, body in wanted.items():
        there = state.resources.get(key)
        base = there.version if there is not None else 0
        if body is not None:
            found.append(Upsert(key.kind, key.name, base, body))
        elif base:
            found.append(Delete(key.kind, key.name, base))
    return tuple(found)


def change(state: ResourceState, number: int, wanted: dict[Key, bytes | None]) -> Change | None:
    ops = operations(state, wanted)
    return Change(b"%016d" % number, state.revision, "test", "somebody", ops) if ops else None


def answers(plan: CompiledPolicy, questions: list[Ask]) -> list[EffectiveLimits | Rejection | None]:
    return [plan.resolve(ask.method, ask.path, ask.request_headers) for ask in questions]


def fresh(state: ResourceState) -> CompiledPolicy | list[tuple[str, str]] | None:
    """Compile a whole state; return its problems if it is not valid; None: a body is not a valid table."""
    try:
        return compile_tables(tables_of(state), SETTINGS)
    except OperatorError as error:
        return [(problem.table, problem.reason_with_value) for problem in error.problems]
    except ChangeRejectedError:
        return None


OVERLAPS = "overlaps route"


def plain(reason: str) -> str:
    return re.sub(r" \(in force for [^)]*\)", "", reason)


def resource(table: str) -> str:
    """Return the resource of a table of the file, independently of the code under test."""
    if table.startswith("route "):
        return table.split(".")[0].split("'")[0] + "'" + table.split("'")[1] + "'"
    if table.startswith("class."):
        return f"class {table.split('.')[1]!r}"
    return table


def same(plan: IncrementalPolicy, whole: CompiledPolicy, questions: list[Ask]) -> None:
    assert answers(plan, questions) == answers(whole, questions)
    assert (
        {r.name: r for r in plan.routes}
        == {r.name: r for r in whole.routes}
        == dict(plan.routes_by_name.items())
    )
    assert plan.inspected_headers == whole.inspected_headers and plan.path_options == whole.path_options
    assert plan.class_limits == whole.class_limits and plan.is_empty == whole.is_empty
    assert plan.scopes() == whole.scopes() and plan.has_tenant_limits == whole.has_tenant_limits
    assert all(plan.has_scope(scope) and whole.has_scope(scope) for scope in whole.scopes())
    assert [plan.tenant_limits(name) for name in TENANTS] == [whole.tenant_limits(name) for name in TENANTS]
    for number in range(len(CLASSES)):
        assert set(plan.route_names_by_class[number]) == {
            r.name for r in whole.routes if number in r.limits_by_class
        }


def overlap_alone(state: ResourceState, names: frozenset[str]) -> bool:
    """Whether two routes of a state overlap when they are compiled without the other routes."""
    tables = tables_of(state)
    pair = [route for route in tables.routes if route.name in names]
    try:
        compile_tables(msgspec.structs.replace(tables, routes=pair), SETTINGS)
    except OperatorError as error:
        return any(OVERLAPS in problem.reason_with_value for problem in error.problems)
    return False


def refused_alike(
    problems: tuple[ChangeProblem, ...], told: list[tuple[str, str]], changed: set[str], state: ResourceState
) -> None:
    """Both report the same problems; of overlaps, each reports some, all of which exist.

    Where three routes overlap at one place, not every pair is named: the full compile compares each with the
    one before it, and the update each new one with those in force.
    """
    word = OVERLAPS
    found = {(problem.resource, plain(problem.reason)) for problem in problems if word not in problem.reason}
    assert found == {(resource(table), plain(reason)) for table, reason in told if word not in reason}

    def pair(one: str, reason: str) -> frozenset[str]:
        return frozenset((one.split("'")[1], reason.split("'")[1]))

    pairs = {pair(p.resource, p.reason) for p in problems if word in p.reason}
    known = {pair(table, reason) for table, reason in told if word in reason}
    assert bool(pairs) == bool(known)
    assert all(overlap_alone(state, names) for names in pairs | known)
    assert all(changed & {f"route {name!r}" for name in names} for names in pairs)
    # A problem names a changed resource, or one that is affected by inheritance.
    for problem in problems:
        assert (
            problem.resource in changed
            or "(in force for" in problem.reason
            or problem.resource
            in (
                "defaults",
                *(f"class {name!r}" for name in CLASSES),
                *(f"route {name!r}" for name in ROUTES),
            )
        )


@pytest.mark.parametrize("copied", [256, 2])
def test_an_updated_policy_equals_a_full_compile(copied: int) -> None:
    """copied: the largest number of entries that a persistent map keeps in a plain dict."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(persistent_map, "MAX_COPIED", copied)
        _play_changes()


def test_three_routes_at_one_place_are_refused_with_pairs_that_overlap() -> None:
    """Guards against a refusal that names routes which do not overlap, or of what a full compile accepts."""

    bodies: dict[Key, bytes | None] = {
        Key(Kind.ROUTE, name): encode_table(RouteTable(name=name, path=PathTable(exact="/view/a")))
        for name in ("r0", "r1", "r2")
    }
    in_force = Key(Kind.ROUTE, "r2")
    _check_changes(
        [{in_force: bodies[in_force]}, {key: bodies[key] for key in bodies if key != in_force}], []
    )
    _check_changes([bodies], [])


@settings(max_examples=100)
@given(st.lists(edits(), min_size=1, max_size=12), asks)
def _play_changes(steps: list[dict[Key, bytes | None]], questions: list[Ask]) -> None:
    _check_changes(steps, questions)


def _check_changes(steps: list[dict[Key, bytes | None]], questions: list[Ask]) -> None:
    state, plan = EMPTY, compile_state(EMPTY, SETTINGS)
    for number, wanted in enumerate(steps):
        made = change(state, number, wanted)
        if made is None:
            continue
        after = state.with_batch([made], state.revision + 1)
        changed = [operation.key for operation in made.operations]
        whole = fresh(after)
        before = answers(plan, questions)
        kept = {route.name: dict(route.limits_by_class) for route in plan.routes}
        try:
            new = update_policy(plan, after, changed, SETTINGS)
        except ChangeRejectedError as error:
            assert not isinstance(whole, CompiledPolicy)
            names = {str(key) for key in changed}
            if whole is None:
                assert {problem.resource for problem in error.problems} & names
            else:
                refused_alike(error.problems, whole, names, after)
            with pytest.raises(ChangeRejectedError):
                compile_state(after, SETTINGS)
        else:
            assert isinstance(whole, CompiledPolicy), whole
            same(new, whole, questions)
            same(compile_state(after, SETTINGS), whole, questions)
            for route in new.routes:
                for cls, one in route.limits_by_class.items():
                    old = kept.get(route.name, {}).get(cls)
                    assert one is old or one != old  # unchanged limits are the same object
            # The old policy is not modified.
            assert all(one is two for one, two in zip(before, answers(plan, questions), strict=True)) or any(
                isinstance(one, Rejection) for one in before
            )
            same(plan, fresh(state), questions)  # type: ignore[arg-type]
            state, plan = after, new


# Initial routes, which match many of the requests, so that requests are in flight when a route is deleted.
FIRST = [
    ("r0", PathTable(prefix="/view")),
    ("r1", PathTable(template="/view/{id}")),
    ("r2", PathTable(exact="/view/a")),
    ("r3", PathTable(prefix="/book")),
]
drops = st.sampled_from([Key(Kind.ROUTE, name) for name, _ in FIRST] + [Key(Kind.TENANT, "t0")]).map(
    lambda key: {key: None}
)
moves = st.lists(
    st.one_of(
        edits(),
        drops,
        st.tuples(st.just("narrow"), edits()),
        st.tuples(st.just("begin"), asks.map(lambda found: found[0]), st.sampled_from([-1, 0, 1])),
        st.tuples(st.just("begin"), asks.map(lambda found: found[0]), st.sampled_from([-1, 0, 1])),
        st.tuples(st.just("begin"), asks.map(lambda found: found[0]), st.sampled_from([-1, 0, 1])),
        st.tuples(st.just("done"), st.integers(0, 5)),
    ),
    min_size=5,
    max_size=40,
)


Edit: TypeAlias = dict[Key, bytes | None]
# An edit replaces the policy; an edit marked "narrow" applies in intersection with the policy before it.
Step: TypeAlias = (
    Edit | tuple[Literal["narrow"], Edit] | tuple[Literal["begin"], Ask, int] | tuple[Literal["done"], int]
)


def counted(gate: AdmissionControl) -> dict[str, object]:
    return {
        scope: (
            state.in_flight,
            state.key_kind,
            {key: (bucket.tokens, bucket.updated_at) for key, bucket in state.buckets.items()},
        )
        for scope, state in gate.counters.items()
    }


@dataclass
class Held:
    """A request in flight: its limits at each admission control, and a copy from its start."""

    updated_limits: EffectiveLimits
    compiled_limits: EffectiveLimits
    limits_at_start: EffectiveLimits


@settings(max_examples=120)
@given(moves)
def test_the_gate_counts_as_under_whole_compiles(steps: list[Step]) -> None:
    """Admission control counts the same under updated policies and under policies compiled as a whole."""
    limits = LimitsTable(in_flight=2, rate=RateTable(per_second=1.0, burst=4))
    tenant = (Key(Kind.TENANT, "t0"), TenantTable(limits=TenantLimitsTable(in_flight=3)))
    state = state_of(tenant, *(route(name, path=path, limits=limits) for name, path in FIRST))
    plan = compile_state(state, SETTINGS)
    whole = compile_tables(tables_of(state), SETTINGS)
    updated, compiled = AdmissionControl(plan, 1, SECOND), AdmissionControl(whole, 1, SECOND)
    held: list[Held] = []
    now = SECOND
    for number, step in enumerate(steps):
        now += 100 * MS
        if isinstance(step, dict) or step[0] == "narrow":
            made = change(state, number + 1, step if isinstance(step, dict) else step[1])
            if made is None:
                continue
            after = state.with_batch([made], state.revision + 1)
            try:
                new = update_policy(plan, after, [o.key for o in made.operations], SETTINGS)
            except ChangeRejectedError:
                continue
            new_whole = compile_tables(tables_of(after), SETTINGS)
            if isinstance(step, dict):
                updated.replace_policy(new)
                compiled.replace_policy(new_whole)
            else:
                updated.replace_policy(PolicyIntersection(plan, new, SETTINGS))
                compiled.replace_policy(PolicyIntersection(whole, new_whole, SETTINGS))
            state, plan, whole = after, new, new_whole
        elif step[0] == "begin":
            _, ask, tenant_index = step
            _begin(updated, compiled, ask, tenant_index, now, held)
        elif held:
            ended = held.pop(step[1] % len(held))
            assert ended.updated_limits == ended.limits_at_start
            updated.release(ended.updated_limits)
            compiled.release(ended.compiled_limits)
        assert counted(updated) == counted(compiled) and updated.rejected == compiled.rejected
    for ended in held:
        updated.release(ended.updated_limits)
        compiled.release(ended.compiled_limits)
    updated.replace_policy(plan)
    compiled.replace_policy(whole)
    assert counted(updated) == counted(compiled) and updated.rejected == compiled.rejected
    assert (
        all(plan.has_scope(scope) for scope in {*updated.counters, *updated.rejected})
        and not updated.orphaned_scopes
    )


def _begin(
    updated: AdmissionControl, compiled: AdmissionControl, ask: Ask, tenant: int, now: int, held: list[Held]
) -> None:
    found = [gate.policy.resolve(ask.method, ask.path, ask.request_headers) for gate in (updated, compiled)]
    assert type(found[0]) is type(found[1])
    if not isinstance(found[0], EffectiveLimits) or not isinstance(found[1], EffectiveLimits):
        assert found[0] == found[1]
        return
    under = []
    for gate, answer in zip((updated, compiled), found, strict=True):
        assert isinstance(answer, EffectiveLimits)
        if gate.has_tenant_limits and tenant >= 0:
            answer = gate.with_tenant_limits(answer, TENANTS[tenant])
        under.append(answer)
    waits = [
        gate.admit(answer, tenant, ask.request_headers, now)
        for gate, answer in zip((updated, compiled), under, strict=True)
    ]
    assert waits[0] == waits[1]
    if waits[0] is None:
        held.append(Held(under[0], under[1], copy.deepcopy(under[0])))


def state_of(*tables: tuple[Key, object]) -> ResourceState:
    ops = tuple(Upsert(key.kind, key.name, 0, encode_table(table)) for key, table in tables)  # type: ignore[arg-type]
    return EMPTY.with_batch([Change(b"0" * 16, 0, "test", "somebody", ops)], 1)


def route(name: str, **fields: object) -> tuple[Key, RouteTable]:
    return Key(Kind.ROUTE, name), RouteTable(name=name, **fields)  # type: ignore[arg-type]


def test_invalid_changes_of_a_batch_are_rejected_individually() -> None:
    key, table = route("a", path=PathTable(prefix="/view/a"))
    state = state_of((key, table))
    validator = Validator(compile_state(state, SETTINGS), SETTINGS)
    good = change(
        state, 1, {Key(Kind.ROUTE, "b"): encode_table(route("b", path=PathTable(prefix="/view/b"))[1])}
    )
    bad = change(
        state, 2, {Key(Kind.ROUTE, "c"): encode_table(route("c", path=PathTable(prefix="/view/a"))[1])}
    )
    # Of two changes that would overlap, the first in the batch is accepted.
    first = change(
        state, 3, {Key(Kind.ROUTE, "d"): encode_table(route("d", path=PathTable(exact="/view/d"))[1])}
    )
    late = change(
        state, 4, {Key(Kind.ROUTE, "e"): encode_table(route("e", path=PathTable(exact="/view/d"))[1])}
    )
    assert good and bad and first and late
    found = assemble(state, [good, bad, first, late], validator)
    assert [one.id for one in found.batch.changes] == [good.id, first.id]
    assert [
        (one.id, error.problems[0].resource, error.problems[0].field) for one, error in found.rejected
    ] == [
        (bad.id, "route 'c'", "path"),
        (late.id, "route 'e'", "path"),
    ]
    assert "overlaps route 'a'" in found.rejected[0][1].problems[0].reason
    assert set(validator.policy.routes_by_name) == {"a", "b", "d"}
    assert validator.policy.scopes() == compile_state(found.state, SETTINGS).scopes()


def test_a_rejection_reports_a_bounded_number_of_problems() -> None:
    bad = [route(f"r{n}", path=PathTable(prefix="/view/a")) for n in range(3000)]
    bad += [route(f"s{n}", path=PathTable(prefix=f"/else/{n}")) for n in range(300)]
    with pytest.raises(ChangeRejectedError) as caught:
        compile_state(state_of(*bad), SETTINGS)
    assert len(caught.value.problems) == MAX_PROBLEMS + 1
    assert "further problems" in caught.value.problems[-1].reason


def test_routes_that_swap_paths_in_one_change_do_not_overlap() -> None:
    state = state_of(
        route("a", path=PathTable(prefix="/view/a")), route("b", path=PathTable(prefix="/view/b"))
    )
    plan = compile_state(state, SETTINGS)
    swap = change(
        state,
        1,
        {
            Key(Kind.ROUTE, "a"): encode_table(route("a", path=PathTable(prefix="/view/b"))[1]),
            Key(Kind.ROUTE, "b"): encode_table(route("b", path=PathTable(prefix="/view/a"))[1]),
        },
    )
    assert swap is not None
    after = update_policy(plan, state.with_batch([swap], 2), [o.key for o in swap.operations], SETTINGS)
    assert [p.resolve(b"GET", b"/view/a", {}).scope for p in (plan, after)] == ["a", "b"]  # type: ignore[union-attr]


def test_a_change_of_a_class_or_of_the_defaults_applies_to_routes_that_inherit_it() -> None:
    own = LimitsTable(request_timeout=100 * MS)
    state = state_of(
        route("own", path=PathTable(prefix="/view/own"), limits=own),
        route("none", path=PathTable(prefix="/view/none")),
        route("other", path=PathTable(prefix="/send/x")),
    )
    plan = compile_state(state, SETTINGS)
    table = ClassTable(limits=LimitsTable(attempt_timeout=150 * MS))
    wanted = change(state, 1, {Key(Kind.CLASS, "view"): encode_table(table)})
    assert wanted is not None
    with pytest.raises(ChangeRejectedError) as caught:
        update_policy(plan, state.with_batch([wanted], 2), [Key(Kind.CLASS, "view")], SETTINGS)
    (problem,) = caught.value.problems
    assert (problem.resource, problem.field) == ("class 'view'", "limits.attempt_timeout")
    assert "in force for [route 'own'.limits]" in problem.reason
    good = change(state, 1, {DEFAULTS: encode_table(LimitsTable(in_flight=3))})
    assert good is not None
    after = update_policy(plan, state.with_batch([good], 2), [DEFAULTS], SETTINGS)
    assert [after.routes_by_name[name].limits_by_class[0].max_in_flight for name in ("own", "none")] == [3, 3]
    assert after.class_limits[1].max_in_flight == 3 and plan.class_limits[1].max_in_flight == 0


@pytest.mark.parametrize("count", [200, 2000])
def test_a_change_of_one_route_creates_few_new_nodes(count: int) -> None:
    """Compares object identities rather than times: all routes but the changed one stay the same objects."""
    state = state_of(*(route(f"r{n}", path=PathTable(exact=f"/view/x/{n}")) for n in range(count)))
    plan = compile_state(state, SETTINGS)
    key, table = route("r7", path=PathTable(exact="/view/x/7"), limits=LimitsTable(in_flight=2))
    made = change(state, 1, {key: encode_table(table)})
    assert made is not None
    after = update_policy(plan, state.with_batch([made], 2), [key], SETTINGS)
    assert plan.matcher.any_host is not None and after.matcher.any_host is not None
    old, new = (p.matcher.any_host.literals["view"].literals["x"].literals for p in (plan, after))  # type: ignore[union-attr]
    assert isinstance(new, dict) is (count <= 256)
    assert [name for name in new if new[name] is not old[name]] == ["7"]
    assert list(after.scopes_removed_since(plan) or ()) == [] and plan.scopes_removed_since(after) is None


def test_counters_of_a_deleted_route_are_dropped_with_its_last_request() -> None:
    limits = LimitsTable(in_flight=2, rate=RateTable(per_second=1.0, burst=4))
    state = state_of(route("r", path=PathTable(prefix="/view/r"), limits=limits))
    plan = compile_state(state, SETTINGS)
    gate = AdmissionControl(plan, 1, 0)
    begun = plan.resolve(b"GET", b"/view/r", {})
    assert isinstance(begun, EffectiveLimits) and gate.admit(begun, 0, {}, SECOND) is None
    gone = change(state, 1, {Key(Kind.ROUTE, "r"): None})
    assert gone is not None
    state = state.with_batch([gone], 2)
    without = update_policy(plan, state, [Key(Kind.ROUTE, "r")], SETTINGS)
    gate.replace_policy(without)
    assert gate.counters["r"].in_flight == 1
    gate.release(begun)
    assert not gate.counters
    # A request whose head arrived before the change and whose body arrived after it is counted until it ends;
    # its counters are dropped with the next change.
    assert gate.admit(begun, 0, {}, SECOND) is None and gate.counters["r"].in_flight == 1
    other = change(state, 2, {Key(Kind.TENANT, "t"): encode_table(TenantTable())})
    assert other is not None
    later = update_policy(without, state.with_batch([other], 3), [Key(Kind.TENANT, "t")], SETTINGS)
    gate.replace_policy(later)
    gate.release(begun)
    assert not gate.counters
    rate_only = replace(begun, max_in_flight=0)
    assert gate.admit(rate_only, 0, {}, SECOND) is None and list(gate.counters) == ["r"]
    gate.replace_policy(update_policy(later, state.with_batch([other], 3), [], SETTINGS))
    assert not gate.counters and not gate.orphaned_scopes


def test_a_policy_reports_scopes_removed_since_recent_policies() -> None:
    state = state_of(*(route(f"r{n}", path=PathTable(exact=f"/view/{n}")) for n in range(70)))
    plans = [compile_state(state, SETTINGS)]
    for n in range(70):
        key = Key(Kind.ROUTE, f"r{n}")
        made = change(state, n + 1, {key: None})
        assert made is not None
        state = state.with_batch([made], state.revision + 1)
        plans.append(update_policy(plans[-1], state, [key], SETTINGS))
    assert sorted(plans[-1].scopes_removed_since(plans[-4]) or ()) == ["r67", "r68", "r69"]
    assert plans[-1].scopes_removed_since(plans[0]) is None  # beyond the bounds on the history
    assert plans[-1].scopes_removed_since(compile_tables(tables_of(state), SETTINGS)) is None


def test_equal_tables_encode_to_equal_bodies() -> None:
    """Tables are equal, and encode equally, also if a default is stated explicitly."""
    one = RouteTable(name="a", limits=LimitsTable(), path=PathTable(prefix="/"))
    assert encode_table(one) == encode_table(RouteTable(name="a")) == msgspec.msgpack.encode({"name": "a"})
