"""Limits over all requests of a tenant: read, counted beside those of routes, and what outlives a change."""

from __future__ import annotations

import pytest

from hollybay.resources.model import Change, Delete, Key, Kind, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.routing.admission_control import Gate
from hollybay.routing.limits import Effective
from hollybay.routing.policy_intersection import Narrow
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_route_table import MAX_READY_TENANTS, plan_after, plan_of_state
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.route_table import Plan, compile_file
from hollybay.routing.schema import TenantLimitsTable, TenantRateTable, TenantTable
from tests.test_resource_plan import SETTINGS

MS = 1_000_000
SECOND = 1_000_000_000


def plan(text: str) -> Plan:
    return compile_file(text, SETTINGS)


def ask(gate: Gate, name: str, now: int = SECOND, path: bytes = b"/view/a") -> tuple[Effective, int | None]:
    """A request of a tenant: the limits that it counts under, and its Retry-After where it is turned away."""
    limits = gate.plan.apply(b"GET", path, {})
    assert isinstance(limits, Effective)
    limits = gate.with_tenant(limits, name) if gate.tenanted else limits
    return limits, gate.admit(limits, 0, {}, now)


def let_in(gate: Gate, name: str, count: int, now: int = SECOND) -> int:
    return sum(ask(gate, name, now)[1] is None for _ in range(count))


def test_a_tenants_rate_holds_over_all_its_routes_and_no_other_tenant() -> None:
    gate = Gate(plan("[tenant.acme.limits]\nrate = { per_second = 1, burst = 3 }\n"), 1, 5 * SECOND)
    answers = [ask(gate, "acme", SECOND, path)[1] for path in (b"/view/a", b"/view/b", b"/book") * 2]
    assert answers[:3] == [None] * 3 and all(after and after > 0 for after in answers[3:])
    assert gate.turned_away == {"tenant:acme": 3}
    assert let_in(gate, "other", 10) == 10 and list(gate.states) == ["tenant:acme"]
    assert let_in(gate, "acme", 9, 3 * SECOND) == 2


def test_a_tenants_requests_in_flight_are_counted_until_they_are_over() -> None:
    gate = Gate(plan("[tenant.acme.limits]\nin_flight = 2\n"), 1, 0)
    first, _ = ask(gate, "acme")
    assert first.in_flight == 2 and let_in(gate, "acme", 5) == 1
    gate.done(first)
    assert let_in(gate, "acme", 5) == 1


def test_who_is_over_a_tenants_limit_takes_nothing_of_a_routes_and_the_other_way_round() -> None:
    text = (
        "[class.view.limits]\nrate = { per_second = 0.001, burst = 4 }\nin_flight = 9\n"
        "[tenant.acme.limits]\nrate = { per_second = 0.001, burst = 2 }\nin_flight = 9\n"
    )
    gate = Gate(plan(text), 1, 0)
    assert let_in(gate, "acme", 10) == 2
    assert let_in(gate, "other", 10) == 2  # the two that are left of the class's four
    gate = Gate(plan(text), 1, 0)
    assert let_in(gate, "other", 10) == 4 and let_in(gate, "acme", 10) == 0
    # What the class turned away took nothing of the tenant's two, and counts nowhere.
    assert gate.states["tenant:acme"].buckets[0].tokens == pytest.approx(2.0)
    assert gate.states["tenant:acme"].in_flight == 0


def test_without_tenants_nothing_is_looked_up() -> None:
    assert not Gate(plan(""), 1, 0).tenanted
    gate = Gate(plan("[tenant.x.limits]\nin_flight = 1"), 1, 0)
    assert gate.tenanted
    gate.take_over(plan(""))
    assert not gate.tenanted


def test_under_two_policies_both_limits_of_a_tenant_hold() -> None:
    one = plan("[tenant.a.limits]\nin_flight = 3\n[tenant.b.limits]\nin_flight = 1\n")
    other = plan(
        "[tenant.a.limits]\nin_flight = 2\n[tenant.c.limits]\nrate = { per_second = 0.001, burst = 1 }\n"
    )
    gate = Gate(Narrow(one, other, SETTINGS), 1, 0)
    assert [let_in(gate, name, 9) for name in "abcd"] == [2, 1, 1, 9]
    assert gate.states["tenant:a"].in_flight == 2


def test_tenants_are_read_and_refused_with_their_problems() -> None:
    with pytest.raises(OperatorError) as caught:
        plan(
            "[tenant.a.limits]\nin_flight = 0\n[tenant.b.limits]\nrate = { per_second = -1 }\n"
            "[tenant.c.limits]\nbody = '1KiB'\n[tenant.''.limits]\nin_flight = 1\n"
        )
    tables = [problem.table for problem in caught.value.problems]
    assert tables == ["tenant.a.limits", "tenant.b.limits.rate", "tenant.c.limits", "tenant."]


def state_of(count: int) -> ResourceState:
    body = encode_table(
        TenantTable(limits=TenantLimitsTable(rate=TenantRateTable(per_second=0.001, burst=2)))
    )
    ops = tuple(Upsert(Kind.TENANT, f"t{n}", 0, body) for n in range(count))
    return EMPTY.applied([Change(b"0" * 16, 0, "test", "somebody", ops)], 1)


def test_a_tenant_that_goes_and_comes_back_begins_anew_and_others_go_on() -> None:
    state = state_of(2)
    old = plan_of_state(state, SETTINGS)
    gate = Gate(old, 1, 0)
    assert [let_in(gate, name, 5) for name in ("t0", "t1")] == [2, 2]
    there = state.resources[Key(Kind.TENANT, "t0")]
    gone = Change(b"1" * 16, 1, "test", "somebody", (Delete(Kind.TENANT, "t0", there.version),))
    state = state.applied([gone], 2)
    without = plan_after(old, state, [there.key], SETTINGS)
    gate.take_over(without)
    assert list(gate.states) == ["tenant:t1"] == list(gate.turned_away)
    back = Change(b"2" * 16, 2, "test", "somebody", (Upsert(Kind.TENANT, "t0", 0, there.body),))
    gate.take_over(plan_after(without, state.applied([back], 3), [there.key], SETTINGS))
    assert [let_in(gate, name, 5) for name in ("t0", "t1")] == [2, 0]


def test_only_the_tenants_that_ask_are_kept_ready() -> None:
    made = plan_of_state(state_of(MAX_READY_TENANTS + 10), SETTINGS)
    assert len(made.tenants) == MAX_READY_TENANTS + 10 and not made.tenants.ready
    for name in made.tenants:
        assert made.tenant(name)
    assert len(made.tenants.ready) == MAX_READY_TENANTS
    assert made.tenant("nobody") == () and "nobody" not in made.tenants
