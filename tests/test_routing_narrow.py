"""The narrower of two policies: what both allow, never more, and never against a rule."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.routing.admission_control import Gate
from hollybay.routing.checks import REACH, Checked, faults
from hollybay.routing.limits import GROUPS, Effective, Rate, Sourced, effective
from hollybay.routing.policy_intersection import Narrow, apart, narrower
from hollybay.routing.route_table import Denied, Plan, compile_file
from hollybay.testbed.world import CELL, MS, SAFE, SECOND, UNSAFE, make_settings

SETTINGS = replace(make_settings(), max_retry_after=5 * SECOND, max_attempts=4)
CLASSES = [SAFE, UNSAFE, CELL]
TIMES = st.one_of(st.none(), st.sampled_from([1, 20, 50, 100, 150, 200, 400, 900, 1500, 4000])).map(
    lambda ms: None if ms is None else ms * MS
)
WORDS = st.fixed_dictionaries(
    {
        "attempt_timeout": TIMES,
        "request_timeout": TIMES,
        "attempts": st.one_of(st.none(), st.integers(1, 4)),
        "copies": st.sampled_from([None, None, 0, 1]),
        "copy_delay": TIMES,
        "repeat_window": TIMES,
        "repeat_group": st.sampled_from([None, "cell", "zone", "all"]),
        "retry_budget": st.sampled_from([None, 0.0, 0.1, 0.5]),
        "body": st.sampled_from([None, 0, 1000, 1 << 20]),
        "in_flight": st.sampled_from([None, 1, 5]),
        "retry_after": st.sampled_from([None, (0, SECOND), (SECOND, 2 * SECOND)]),
    }
)


def sound(cls: api.RequestClass, words: dict[str, Any], scope: str) -> Effective:
    """These limits for a class; passed over where they would be refused."""
    said = Sourced(**words, source={key: scope for key, value in words.items() if value is not None})
    assume(not list(faults(Checked(scope, cls, said), SETTINGS)))
    return effective(scope, SETTINGS.classes.index(cls), said)


def copies(limits: api.Limits | None) -> int:
    if limits is None:
        return 0
    return limits.hedges if limits.hedges >= 0 else int(limits.hedge_delay > 0)


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.name)
@given(one=WORDS, other=WORDS)
def test_it_allows_no_more_than_either_and_breaks_no_rule(
    cls: api.RequestClass, one: dict[str, Any], other: dict[str, Any]
) -> None:
    a, b = sound(cls, one, "old"), sound(cls, other, "new")
    both = narrower(a, b, cls)
    assert list(faults(Checked("old", cls, both.words), SETTINGS)) == []
    for part in (a, b):
        for key in ("attempt_timeout", "request_timeout", "attempts", "repeat_window", "body", "in_flight"):
            bound = getattr(part.words, key)
            assert bound is None or getattr(both.words, key) <= bound, key
        if part.words.repeat_group is not None:
            group = both.words.repeat_group
            assert group is not None and REACH[GROUPS[group]] <= REACH[GROUPS[part.words.repeat_group]]
        if part.words.retry_budget is not None:
            assert both.words.retry_budget is not None
            assert both.words.retry_budget <= part.words.retry_budget
        assert copies(both.module) <= copies(part.module)
        if copies(both.module) and part.words.copy_delay is not None:
            assert (both.words.copy_delay or 0) >= part.words.copy_delay
        if part.words.retry_after is not None:
            assert both.retry_after is not None and both.retry_after >= part.words.retry_after
    # It does not matter which of them is the old one.
    assert replace(narrower(b, a, cls).words, source={}) == replace(both.words, source={})


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.name)
@given(words=WORDS)
def test_the_narrower_of_a_policy_and_itself_is_that_policy(
    cls: api.RequestClass, words: dict[str, Any]
) -> None:
    one = sound(cls, words, "same")
    both = narrower(one, one, cls)
    # Only a copy that could never go is not named any more.
    assert copies(both.module) == copies(one.module) or one.words.copy_delay is not None
    for key in ("attempt_timeout", "request_timeout", "attempts", "repeat_window", "repeat_group", "body"):
        kept = getattr(both.words, key), getattr(one.words, key)
        assert kept[0] == kept[1], key
    assert both.retry_after == one.retry_after and both.scope == one.scope


def test_limits_of_two_classes_are_no_pair() -> None:
    one, other = (effective("r", n, Sourced(source={})) for n in range(2))
    with pytest.raises(ValueError, match="class 0 and of class 1"):
        narrower(one, other, SAFE)


def plan(text: str) -> Plan:
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


def test_requests_are_resolved_under_both_plans() -> None:
    old, new = plan(OLD), plan(NEW)
    both = Narrow(old, new, SETTINGS)
    found = both.apply(b"GET", b"/read/halls/2", {})
    assert isinstance(found, Effective)
    assert found.module is not None and found.module.attempts == 2
    assert [part.in_flight for part in found.parts] == [2]
    assert both.apply(b"GET", b"/read/halls/3", {}) is found
    special = both.apply(b"GET", b"/read/halls/1", {})
    assert isinstance(special, Effective) and [part.scope for part in special.parts] == ["halls", "special"]
    assert both.apply(b"GET", b"/nothing", {}) is None
    assert isinstance(both.apply(b"GET", b"/read/%2e%2e/write", {}), Denied)
    assert both.scopes() == old.scopes() | new.scopes()


def test_what_two_policies_take_for_two_classes_is_turned_away() -> None:
    text = '[[route]]\nname = "x"\nclass = "{}"\npath = {{ prefix = "/{}/x" }}\n'
    old = plan(text.format("read", "read"))
    new = replace(old, classes={**old.classes, "read": 2})
    turned = Narrow(replace(old, routes=()), new, SETTINGS).apply(b"GET", b"/read/y", {})
    assert isinstance(turned, Denied) and turned.status == 503


def test_a_request_counts_under_both_or_under_neither() -> None:
    old, new = plan(OLD), plan(NEW)
    both = Narrow(old, new, SETTINGS)
    gate = Gate(both, 1, 0)
    found = both.apply(b"GET", b"/read/halls/1", {})
    assert isinstance(found, Effective)
    assert gate.admit(found, 0, {}, 0) is None
    assert gate.admit(found, 0, {}, 0) is not None  # special holds one
    assert gate.states["halls"].in_flight == 1  # and the one that was turned away counts nowhere
    gate.done(found)
    assert gate.states["halls"].in_flight == 0 == gate.states["special"].in_flight
    same = both.apply(b"GET", b"/read/halls/2", {})
    assert isinstance(same, Effective)
    assert [gate.admit(same, 0, {}, 0) is None for _ in range(4)] == [True, True, False, False]
    gate.done(same)
    assert gate.admit(same, 0, {}, 0) is None


def test_rates_of_one_name_hold_both_also_where_they_share_buckets_in_other_ways() -> None:
    base = effective("r", 0, Sourced(source={}))
    slow, fast = Rate(1.0, 2), Rate(10.0, 5)
    gate = Gate(plan(""), 1, 0)
    pair = replace(base, parts=apart((replace(base, rate=fast), replace(base, rate=slow))))
    assert sum(gate.admit(pair, 0, {}, 0) is None for _ in range(9)) == 2
    gate = Gate(plan(""), 1, 0)
    tenants = Rate(1.0, 2, tenant=True)
    pair = replace(base, parts=apart((replace(base, rate=Rate(1.0, 3)), replace(base, rate=tenants))))
    assert sum(gate.admit(pair, 1, {}, 0) is None for _ in range(9)) == 2  # a tenant's two
    assert sum(gate.admit(pair, 2, {}, 0) is None for _ in range(9)) <= 1  # of three for all
