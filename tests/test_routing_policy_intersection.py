"""The intersection of two policies allows only what both allow, and violates no rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.checks import SCOPE_WIDTH, CheckedLimits, check_limits
from hollybay.routing.compiled_policy import CompiledPolicy, Rejection
from hollybay.routing.limits import (
    EffectiveLimits,
    LimitSettings,
    Rate,
    effective_limits,
)
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.policy_intersection import PolicyIntersection, intersect_limits, separate_scopes
from hollybay.testbed.balancer_harness import CELL, MS, SAFE, SECOND, UNSAFE, make_settings

SETTINGS = replace(make_settings(), max_retry_after=5 * SECOND, max_attempts=4)
CLASSES = [SAFE, UNSAFE, CELL]
DURATIONS = st.one_of(st.none(), st.sampled_from([1, 20, 50, 100, 150, 200, 400, 900, 1500, 4000])).map(
    lambda ms: None if ms is None else ms * MS
)
LIMIT_VALUES = st.fixed_dictionaries(
    {
        "attempt_timeout": DURATIONS,
        "request_timeout": DURATIONS,
        "attempts": st.one_of(st.none(), st.integers(1, 4)),
        "hedges": st.sampled_from([None, None, 0, 1]),
        "hedge_delay": DURATIONS,
        "retry_window": DURATIONS,
        "retry_scope": st.sampled_from([None, "cell", "zone", "all"]),
        "retry_budget": st.sampled_from([None, 0.0, 0.1, 0.5]),
        "body": st.sampled_from([None, 0, 1000, 1 << 20]),
        "in_flight": st.sampled_from([None, 1, 5]),
        "retry_after": st.sampled_from([None, (0, SECOND), (SECOND, 2 * SECOND)]),
    }
)


def valid_limits(cls: api.RequestClass, values: dict[str, Any], scope: str) -> EffectiveLimits:
    """Return these limits for a class; the example is skipped if they are not valid."""
    settings = LimitSettings(
        **values, sources={key: scope for key, value in values.items() if value is not None}
    )
    assume(not list(check_limits(CheckedLimits(scope, cls, settings), SETTINGS)))
    return effective_limits(scope, SETTINGS.classes.index(cls), settings)


def hedge_count(limits: api.Limits | None) -> int:
    if limits is None:
        return 0
    return limits.hedges if limits.hedges >= 0 else int(limits.hedge_delay > 0)


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.name)
@given(one=LIMIT_VALUES, other=LIMIT_VALUES)
def test_it_allows_no_more_than_either_and_breaks_no_rule(
    cls: api.RequestClass, one: dict[str, Any], other: dict[str, Any]
) -> None:
    a, b = valid_limits(cls, one, "old"), valid_limits(cls, other, "new")
    both = intersect_limits(a, b, cls)
    assert list(check_limits(CheckedLimits("old", cls, both.limit_settings), SETTINGS)) == []
    for part in (a, b):
        for key in ("attempt_timeout", "request_timeout", "attempts", "retry_window", "body", "in_flight"):
            bound = getattr(part.limit_settings, key)
            assert bound is None or getattr(both.limit_settings, key) <= bound, key
        if part.limit_settings.retry_scope is not None:
            group = both.limit_settings.retry_scope
            assert (
                group is not None
                and SCOPE_WIDTH[api.DEDUPLICATION_SCOPES[group]]
                <= SCOPE_WIDTH[api.DEDUPLICATION_SCOPES[part.limit_settings.retry_scope]]
            )
        if part.limit_settings.retry_budget is not None:
            assert both.limit_settings.retry_budget is not None
            assert both.limit_settings.retry_budget <= part.limit_settings.retry_budget
        assert hedge_count(both.balancer_limits) <= hedge_count(part.balancer_limits)
        if hedge_count(both.balancer_limits) and part.limit_settings.hedge_delay is not None:
            assert (both.limit_settings.hedge_delay or 0) >= part.limit_settings.hedge_delay
        if part.limit_settings.retry_after is not None:
            assert both.retry_after is not None and both.retry_after >= part.limit_settings.retry_after
    # The order of the policies does not matter.
    assert replace(intersect_limits(b, a, cls).limit_settings, sources={}) == replace(
        both.limit_settings, sources={}
    )


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.name)
@given(values=LIMIT_VALUES)
def test_the_intersection_of_a_policy_with_itself_is_that_policy(
    cls: api.RequestClass, values: dict[str, Any]
) -> None:
    one = valid_limits(cls, values, "same")
    both = intersect_limits(one, one, cls)
    # A hedge that could never be sent is left out.
    assert (
        hedge_count(both.balancer_limits) == hedge_count(one.balancer_limits)
        or one.limit_settings.hedge_delay is not None
    )
    for key in ("attempt_timeout", "request_timeout", "attempts", "retry_window", "retry_scope", "body"):
        kept = getattr(both.limit_settings, key), getattr(one.limit_settings, key)
        assert kept[0] == kept[1], key
    assert both.retry_after == one.retry_after and both.scope == one.scope


def test_limits_of_two_classes_cannot_be_intersected() -> None:
    one, other = (effective_limits("r", n, LimitSettings(sources={})) for n in range(2))
    with pytest.raises(ValueError, match="class 0 and of class 1"):
        intersect_limits(one, other, SAFE)


def compile_text(text: str) -> CompiledPolicy:
    return compile_file(text, SETTINGS)


OLD = """
[[route]]
name = "halls"
path = { prefix = "/read/halls" }
[route.limits]
in_flight = 2
attempts = 3
[[route]]
name = "posts"
methods = ["POST"]
path = { prefix = "/write" }
"""
NEW = """
[[route]]
name = "halls"
path = { prefix = "/read/halls" }
[route.limits]
in_flight = 5
attempts = 2
[[route]]
name = "special"
path = { prefix = "/read/halls/1" }
[route.limits]
in_flight = 1
"""


def test_requests_are_resolved_under_both_policies() -> None:
    old, new = compile_text(OLD), compile_text(NEW)
    both = PolicyIntersection(old, new, SETTINGS)
    found = both.resolve(b"GET", b"/read/halls/2", {})
    assert isinstance(found, EffectiveLimits)
    assert found.balancer_limits is not None and found.balancer_limits.attempts == 2
    assert [part.max_in_flight for part in found.components] == [2]
    assert both.resolve(b"GET", b"/read/halls/3", {}) is found
    special = both.resolve(b"GET", b"/read/halls/1", {})
    assert isinstance(special, EffectiveLimits) and [part.scope for part in special.components] == [
        "halls",
        "special",
    ]
    assert both.resolve(b"GET", b"/nothing", {}) is None
    assert isinstance(both.resolve(b"GET", b"/read/%2e%2e/write", {}), Rejection)
    assert both.scopes() == old.scopes() | new.scopes()


def test_a_request_that_two_policies_assign_different_classes_is_rejected() -> None:
    text = '[[route]]\nname = "x"\nclass = "{}"\npath = {{ prefix = "/{}/x" }}\n'
    old = compile_text(text.format("read", "read"))
    new = replace(old, class_indexes={**old.class_indexes, "read": 2})
    rejected = PolicyIntersection(replace(old, routes=()), new, SETTINGS).resolve(b"GET", b"/read/y", {})
    assert isinstance(rejected, Rejection) and rejected.status == 503


def test_a_request_counts_under_both_or_under_neither() -> None:
    old, new = compile_text(OLD), compile_text(NEW)
    both = PolicyIntersection(old, new, SETTINGS)
    admission = AdmissionControl(both, 1, 0)
    found = both.resolve(b"GET", b"/read/halls/1", {})
    assert isinstance(found, EffectiveLimits)
    assert admission.admit(found, 0, {}, 0) is None
    assert admission.admit(found, 0, {}, 0) is not None  # the route `special` allows one in flight
    assert admission.counters["halls"].in_flight == 1  # the rejected request is not counted
    admission.release(found)
    assert admission.counters["halls"].in_flight == 0 == admission.counters["special"].in_flight
    same = both.resolve(b"GET", b"/read/halls/2", {})
    assert isinstance(same, EffectiveLimits)
    assert [admission.admit(same, 0, {}, 0) is None for _ in range(4)] == [True, True, False, False]
    admission.release(same)
    assert admission.admit(same, 0, {}, 0) is None


def test_both_rates_of_a_scope_apply_even_with_different_bucket_keys() -> None:
    base = effective_limits("r", 0, LimitSettings(sources={}))
    slow, fast = Rate(1.0, 2), Rate(10.0, 5)
    admission = AdmissionControl(compile_text(""), 1, 0)
    pair = replace(base, components=separate_scopes(replace(base, rate=fast), replace(base, rate=slow)))
    assert sum(admission.admit(pair, 0, {}, 0) is None for _ in range(9)) == 2
    admission = AdmissionControl(compile_text(""), 1, 0)
    tenants = Rate(1.0, 2, tenant=True)
    pair = replace(
        base, components=separate_scopes(replace(base, rate=Rate(1.0, 3)), replace(base, rate=tenants))
    )
    assert sum(admission.admit(pair, 1, {}, 0) is None for _ in range(9)) == 2  # the tenant's burst of two
    assert sum(admission.admit(pair, 2, {}, 0) is None for _ in range(9)) <= 1  # of the shared burst of three
