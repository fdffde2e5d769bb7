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


def compile_text(text: str) -> CompiledPolicy:
    return compile_file(text, SETTINGS)


def request_admission(
    admission: AdmissionControl, name: str, now: int = SECOND, path: bytes = b"/view/a"
) -> tuple[EffectiveLimits, int | None]:
    """Return the limits that a tenant's request counts under, and its Retry-After if it is rejected."""
    limits = admission.policy.resolve(b"GET", path, {})
    assert isinstance(limits, EffectiveLimits)
    limits = admission.with_tenant_limits(limits, name) if admission.has_tenant_limits else limits
    return limits, admission.admit(limits, 0, {}, now)


def count_admitted(admission: AdmissionControl, name: str, count: int, now: int = SECOND) -> int:
    return sum(request_admission(admission, name, now)[1] is None for _ in range(count))


def test_the_rate_of_a_tenant_applies_to_all_its_routes_and_no_other_tenant() -> None:
    admission = AdmissionControl(
        compile_text("[tenant.acme.limits]\nrate = { per_second = 1, burst = 3 }\n"), 1, 5 * SECOND
    )
    results = [
        request_admission(admission, "acme", SECOND, path)[1]
        for path in (b"/view/a", b"/view/b", b"/book") * 2
    ]
    assert results[:3] == [None] * 3 and all(after and after > 0 for after in results[3:])
    assert admission.rejected == {"tenant:acme": 3}
    assert count_admitted(admission, "other", 10) == 10 and list(admission.counters) == ["tenant:acme"]
    assert count_admitted(admission, "acme", 9, 3 * SECOND) == 2


def test_requests_in_flight_of_a_tenant_are_counted_until_they_end() -> None:
    admission = AdmissionControl(compile_text("[tenant.acme.limits]\nin_flight = 2\n"), 1, 0)
    first, _ = request_admission(admission, "acme")
    assert first.max_in_flight == 2 and count_admitted(admission, "acme", 5) == 1
    admission.release(first)
    assert count_admitted(admission, "acme", 5) == 1


def test_a_request_rejected_by_one_limit_consumes_nothing_of_the_other() -> None:
    text = (
        "[class.view.limits]\nrate = { per_second = 0.001, burst = 4 }\nin_flight = 9\n"
        "[tenant.acme.limits]\nrate = { per_second = 0.001, burst = 2 }\nin_flight = 9\n"
    )
    admission = AdmissionControl(compile_text(text), 1, 0)
    assert count_admitted(admission, "acme", 10) == 2
    assert count_admitted(admission, "other", 10) == 2  # the remaining two tokens of the class
    admission = AdmissionControl(compile_text(text), 1, 0)
    assert count_admitted(admission, "other", 10) == 4 and count_admitted(admission, "acme", 10) == 0
    # The requests that the class rejected consumed none of the tenant's two tokens, and are not counted.
    assert admission.counters["tenant:acme"].buckets[0].tokens == pytest.approx(2.0)
    assert admission.counters["tenant:acme"].in_flight == 0


def test_tenant_limits_are_looked_up_only_if_there_are_any() -> None:
    assert not AdmissionControl(compile_text(""), 1, 0).has_tenant_limits
    admission = AdmissionControl(compile_text("[tenant.x.limits]\nin_flight = 1"), 1, 0)
    assert admission.has_tenant_limits
    admission.replace_policy(compile_text(""))
    assert not admission.has_tenant_limits


def test_under_two_policies_both_limits_of_a_tenant_apply() -> None:
    one = compile_text("[tenant.a.limits]\nin_flight = 3\n[tenant.b.limits]\nin_flight = 1\n")
    other = compile_text(
        "[tenant.a.limits]\nin_flight = 2\n[tenant.c.limits]\nrate = { per_second = 0.001, burst = 1 }\n"
    )
    admission = AdmissionControl(PolicyIntersection(one, other, SETTINGS), 1, 0)
    assert [count_admitted(admission, name, 9) for name in "abcd"] == [2, 1, 1, 9]
    assert admission.counters["tenant:a"].in_flight == 2


def test_problems_of_tenants_are_reported() -> None:
    with pytest.raises(OperatorError) as caught:
        compile_text(
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


def test_a_tenant_that_is_deleted_and_created_again_starts_with_new_counters() -> None:
    state = state_of(2)
    old = compile_state(state, SETTINGS)
    admission = AdmissionControl(old, 1, 0)
    assert [count_admitted(admission, name, 5) for name in ("t0", "t1")] == [2, 2]
    there = state.resources[Key(Kind.TENANT, "t0")]
    gone = Change(b"1" * 16, 1, "test", "somebody", (Delete(Kind.TENANT, "t0", there.version),))
    state = state.with_batch([gone], 2)
    without = update_policy(old, state, [there.key], SETTINGS)
    admission.replace_policy(without)
    assert list(admission.counters) == ["tenant:t1"] == list(admission.rejected)
    back = Change(b"2" * 16, 2, "test", "somebody", (Upsert(Kind.TENANT, "t0", 0, there.body),))
    admission.replace_policy(update_policy(without, state.with_batch([back], 3), [there.key], SETTINGS))
    assert [count_admitted(admission, name, 5) for name in ("t0", "t1")] == [2, 0]


def test_only_tenants_with_requests_are_compiled_and_the_cache_is_bounded() -> None:
    policy = compile_state(state_of(MAX_COMPILED_TENANTS + 10), SETTINGS)
    assert len(policy.tenants) == MAX_COMPILED_TENANTS + 10 and not policy.tenants.compiled
    for name in policy.tenants:
        assert policy.tenant_limits(name)
    assert len(policy.tenants.compiled) == MAX_COMPILED_TENANTS
    assert policy.tenant_limits("nobody") == () and "nobody" not in policy.tenants
