"""Limits over all requests of a tenant: reading, counting in addition to routes, and changes of policy."""

from __future__ import annotations

import pytest

from hollybay.resources.model import Change, Delete, Key, Kind, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.compiled_policy import CompiledPolicy
from hollybay.routing.incremental_policy import MAX_COMPILED_TENANTS
from hollybay.routing.limits import EffectiveLimits
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.policy_intersection import PolicyIntersection
from hollybay.routing.policy_update import update_policy
from hollybay.routing.problems import OperatorError
from hollybay.routing.resource_tables import encode_table
from hollybay.routing.schema import TenantLimitsTable, TenantRateTable, TenantTable
from hollybay.routing.state_compiler import compile_state
from hollybay.units import SECOND
from tests.test_resource_plan import SETTINGS


def plan(text: str) -> CompiledPolicy:
    return compile_file(text, SETTINGS)


def ask(
    gate: AdmissionControl, name: str, now: int = SECOND, path: bytes = b"/view/a"
) -> tuple[EffectiveLimits, int | None]:
    """Return the limits that a tenant's request counts under, and its Retry-After if it is rejected."""
    limits = gate.policy.resolve(b"GET", path, {})
    assert isinstance(limits, EffectiveLimits)
    limits = gate.with_tenant_limits(limits, name) if gate.has_tenant_limits else limits
    return limits, gate.admit(limits, 0, {}, now)


def let_in(gate: AdmissionControl, name: str, count: int, now: int = SECOND) -> int:
    return sum(ask(gate, name, now)[1] is None for _ in range(count))


def test_a_tenants_rate_holds_over_all_its_routes_and_no_other_tenant() -> None:
    gate = AdmissionControl(
        plan("[tenant.acme.limits]\nrate = { per_second = 1, burst = 3 }\n"), 1, 5 * SECOND
    )
    answers = [ask(gate, "acme", SECOND, path)[1] for path in (b"/view/a", b"/view/b", b"/book") * 2]
    assert answers[:3] == [None] * 3 and all(after and after > 0 for after in answers[3:])
    assert gate.rejected == {"tenant:acme": 3}
    assert let_in(gate, "other", 10) == 10 and list(gate.counters) == ["tenant:acme"]
    assert let_in(gate, "acme", 9, 3 * SECOND) == 2


def test_a_tenants_requests_in_flight_are_counted_until_they_are_over() -> None:
    gate = AdmissionControl(plan("[tenant.acme.limits]\nin_flight = 2\n"), 1, 0)
    first, _ = ask(gate, "acme")
    assert first.max_in_flight == 2 and let_in(gate, "acme", 5) == 1
    gate.release(first)
    assert let_in(gate, "acme", 5) == 1


def test_who_is_over_a_tenants_limit_takes_nothing_of_a_routes_and_the_other_way_round() -> None:
    text = (
        "[class.view.limits]\nrate = { per_second = 0.001, burst = 4 }\nin_flight = 9\n"
        "[tenant.acme.limits]\nrate = { per_second = 0.001, burst = 2 }\nin_flight = 9\n"
    )
    gate = AdmissionControl(plan(text), 1, 0)
    assert let_in(gate, "acme", 10) == 2
    assert let_in(gate, "other", 10) == 2  # the remaining two tokens of the class
    gate = AdmissionControl(plan(text), 1, 0)
    assert let_in(gate, "other", 10) == 4 and let_in(gate, "acme", 10) == 0
    # The requests that the class rejected consumed none of the tenant's two tokens, and are not counted.
    assert gate.counters["tenant:acme"].buckets[0].tokens == pytest.approx(2.0)
    assert gate.counters["tenant:acme"].in_flight == 0


def test_without_tenants_nothing_is_looked_up() -> None:
    assert not AdmissionControl(plan(""), 1, 0).has_tenant_limits
    gate = AdmissionControl(plan("[tenant.x.limits]\nin_flight = 1"), 1, 0)
    assert gate.has_tenant_limits
    gate.replace_policy(plan(""))
    assert not gate.has_tenant_limits


def test_under_two_policies_both_limits_of_a_tenant_hold() -> None:
    one = plan("[tenant.a.limits]\nin_flight = 3\n[tenant.b.limits]\nin_flight = 1\n")
    other = plan(
        "[tenant.a.limits]\nin_flight = 2\n[tenant.c.limits]\nrate = { per_second = 0.001, burst = 1 }\n"
    )
    gate = AdmissionControl(PolicyIntersection(one, other, SETTINGS), 1, 0)
    assert [let_in(gate, name, 9) for name in "abcd"] == [2, 1, 1, 9]
    assert gate.counters["tenant:a"].in_flight == 2


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
    return EMPTY.with_batch([Change(b"0" * 16, 0, "test", "somebody", ops)], 1)


def test_a_tenant_that_goes_and_comes_back_begins_anew_and_others_go_on() -> None:
    state = state_of(2)
    old = compile_state(state, SETTINGS)
    gate = AdmissionControl(old, 1, 0)
    assert [let_in(gate, name, 5) for name in ("t0", "t1")] == [2, 2]
    there = state.resources[Key(Kind.TENANT, "t0")]
    gone = Change(b"1" * 16, 1, "test", "somebody", (Delete(Kind.TENANT, "t0", there.version),))
    state = state.with_batch([gone], 2)
    without = update_policy(old, state, [there.key], SETTINGS)
    gate.replace_policy(without)
    assert list(gate.counters) == ["tenant:t1"] == list(gate.rejected)
    back = Change(b"2" * 16, 2, "test", "somebody", (Upsert(Kind.TENANT, "t0", 0, there.body),))
    gate.replace_policy(update_policy(without, state.with_batch([back], 3), [there.key], SETTINGS))
    assert [let_in(gate, name, 5) for name in ("t0", "t1")] == [2, 0]


def test_only_the_tenants_that_ask_are_kept_ready() -> None:
    made = compile_state(state_of(MAX_COMPILED_TENANTS + 10), SETTINGS)
    assert len(made.tenants) == MAX_COMPILED_TENANTS + 10 and not made.tenants.compiled
    for name in made.tenants:
        assert made.tenant_limits(name)
    assert len(made.tenants.compiled) == MAX_COMPILED_TENANTS
    assert made.tenant_limits("nobody") == () and "nobody" not in made.tenants
