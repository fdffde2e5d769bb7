"""Admission control: token buckets and their number, requests in flight, and what survives a reload."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.compiled_policy import Rejection
from hollybay.routing.limits import EffectiveLimits
from hollybay.routing.policy_compiler import compile_file
from hollybay.units import MS, SECOND

SETTINGS = api.Settings(
    (
        api.RequestClass("view", api.Effect.SAFE, 3.0, 200 * MS, 500 * MS),
        api.RequestClass("send", api.Effect.UNSAFE, 2.0, 1200 * MS, 5 * SECOND),
    ),
    max_retry_after=5 * SECOND,
)


def make_admission(limits: str, retry_after: int = 5 * SECOND) -> AdmissionControl:
    return AdmissionControl(compile_file(f"[class.view.limits]\n{limits}\n", SETTINGS), 1, retry_after)


def request_admission(
    admission: AdmissionControl, now: int, tenant: int = 0, path: bytes = b"/view", key: bytes | None = None
) -> int | None:
    """Return the Retry-After (ns) of a request, None if it is admitted; key: the value of its X-Key."""
    headers = {} if key is None else {b"x-key": key}
    return admission.admit(limits_of(admission, path), tenant, headers, now)


def limits_of(admission: AdmissionControl, path: bytes = b"/view") -> EffectiveLimits:
    limits = admission.policy.resolve(b"GET", path, {})
    assert limits is not None and not isinstance(limits, Rejection)
    return limits


def count_admitted(
    admission: AdmissionControl, now: int, count: int, tenant: int = 0, path: bytes = b"/view"
) -> int:
    return sum(request_admission(admission, now, tenant, path) is None for _ in range(count))


def test_a_bucket_admits_its_burst_and_then_its_rate() -> None:
    admission = make_admission("rate = { per_second = 10, burst = 5 }")
    assert count_admitted(admission, SECOND, 20) == 5
    assert count_admitted(admission, SECOND + 99 * MS, 5) == 0
    assert count_admitted(admission, SECOND + 100 * MS, 5) == 1
    assert (
        count_admitted(admission, 2 * SECOND + 100 * MS, 20) == 5
    )  # no more tokens than the burst are saved
    assert admission.rejected["class:view"] == 15 + 5 + 4 + 15


@given(
    st.lists(st.integers(0, 300 * MS), min_size=1, max_size=200),
    st.floats(0.5, 200.0),
    st.integers(1, 20),
)
def test_no_interval_admits_more_than_burst_and_rate(gaps: list[int], per_second: float, burst: int) -> None:
    admission = make_admission(f"rate = {{ per_second = {per_second:.6f}, burst = {burst} }}")
    now = SECOND
    admitted_at: list[int] = []
    for gap in gaps:
        now += gap
        if request_admission(admission, now) is None:
            admitted_at.append(now)
    for n, first in enumerate(admitted_at):
        for m in range(n, len(admitted_at)):
            assert m - n + 1 <= burst + per_second * (admitted_at[m] - first) / SECOND + 1e-6
    assert admitted_at and admitted_at[0] == SECOND + gaps[0]


def test_a_clock_that_stops_or_goes_backwards_adds_no_tokens() -> None:
    admission = make_admission("rate = { per_second = 10, burst = 1 }")
    assert count_admitted(admission, 5 * SECOND, 1) == 1
    assert count_admitted(admission, 4 * SECOND, 3) == 0 and count_admitted(admission, 5 * SECOND, 3) == 0
    assert count_admitted(admission, 5 * SECOND + 100 * MS, 3) == 1


def test_each_tenant_or_header_value_has_its_own_bucket() -> None:
    admission = make_admission("rate = { per_second = 1, burst = 2, by = 'tenant' }")
    assert [count_admitted(admission, SECOND, 5, tenant=n) for n in (0, 1, -1)] == [2, 2, 2]
    admission = make_admission("rate = { per_second = 1, burst = 2, by = 'header:X-Key' }")
    found = [request_admission(admission, SECOND, key=key) is None for key in (b"a", b"a", b"a", b"b")]
    assert found == [True, True, False, True]
    assert count_admitted(admission, SECOND, 5) == 2  # all requests without the header share one bucket


def test_keys_beyond_the_limit_share_one_bucket() -> None:
    admission = make_admission("rate = { per_second = 1, burst = 2, by = 'header:X-Key', most_keys = 10 }")
    admitted_at = sum(request_admission(admission, SECOND, key=b"k%d" % n) is None for n in range(1000))
    # Ten keys have a bucket each, and all others share one.
    assert admitted_at == 10 + 2
    assert len(admission.counters["class:view"].buckets) == 10
    # A known key keeps its bucket; after a second, buckets that are full again are evicted.
    assert request_admission(admission, SECOND, key=b"k3") is None
    assert (
        sum(request_admission(admission, 4 * SECOND, key=b"n%d" % n) is None for n in range(1000)) == 10 + 2
    )
    assert len(admission.counters["class:view"].buckets) == 10


def test_a_lower_limit_on_keys_takes_effect_gradually() -> None:
    limits = "rate = {{ per_second = 1, burst = 2, by = 'header:X-Key', most_keys = {} }}"
    admission = make_admission(limits.format(50))
    for n in range(50):
        request_admission(admission, SECOND, key=b"k%d" % n)
    admission.replace_policy(compile_file(f"[class.view.limits]\n{limits.format(5)}", SETTINGS))
    for n in range(50):
        request_admission(admission, 100 * SECOND, key=b"n%d" % n)
    assert len(admission.counters["class:view"].buckets) == 5


def test_requests_in_flight_are_counted_until_they_end() -> None:
    admission = make_admission("in_flight = 2")
    limits = limits_of(admission)
    assert count_admitted(admission, 0, 5) == 2
    admission.release(limits)
    assert count_admitted(admission, 0, 5) == 1
    for _ in range(2):
        admission.release(limits)
    assert admission.counters["class:view"].in_flight == 0


def test_retry_after_is_spread_over_its_range() -> None:
    admission = make_admission(
        "rate = {per_second = 1, burst = 1}\nretry_after = {least = '1s', most = '3s'}"
    )
    request_admission(admission, SECOND)
    retry_afters = {request_admission(admission, SECOND) for _ in range(200)}
    assert all(after is not None and SECOND <= after <= 3 * SECOND for after in retry_afters)
    assert (
        len(retry_afters) > 100 and max(filter(None, retry_afters)) - min(filter(None, retry_afters)) > SECOND
    )
    # Without stated bounds: not before a token is available, and within what the platform allows.
    admission = make_admission("rate = {per_second = 0.4, burst = 1}")
    request_admission(admission, SECOND)
    retry_afters = {request_admission(admission, SECOND) for _ in range(200)}
    assert (
        all(after is not None and 2.5 * SECOND <= after <= 5 * SECOND for after in retry_afters)
        and len(retry_afters) > 100
    )
    admission = make_admission("rate = {per_second = 1, burst = 1}", retry_after=0)
    request_admission(admission, SECOND)
    assert request_admission(admission, SECOND) == 0


def test_buckets_and_counters_survive_a_reload() -> None:
    def file(burst: int, in_flight: int, name: str = "r") -> str:
        return (
            f"[[route]]\nname = '{name}'\npath.prefix = '/view/x'\n"
            f"limits = {{ rate = {{ per_second = 1, burst = {burst} }}, in_flight = {in_flight} }}"
        )

    admission = AdmissionControl(compile_file(file(5, 9), SETTINGS), 1, SECOND)
    old_limits = limits_of(admission, b"/view/x")
    assert count_admitted(admission, SECOND, 9, path=b"/view/x") == 5
    admission.replace_policy(compile_file(file(5, 9), SETTINGS))
    assert count_admitted(admission, SECOND, 9, path=b"/view/x") == 0  # the bucket is not filled again
    admission.replace_policy(compile_file(file(3, 9), SETTINGS))
    assert count_admitted(admission, 100 * SECOND, 9, path=b"/view/x") == 3  # the new burst applies
    assert admission.counters["r"].in_flight == 8
    admission.replace_policy(compile_file(file(3, 8), SETTINGS))
    assert (
        request_admission(admission, 200 * SECOND, path=b"/view/x") is not None
    )  # eight requests are still in flight
    admission.release(old_limits)
    assert request_admission(admission, 200 * SECOND, path=b"/view/x") is None
    # The counters of a removed route are dropped with the last request that was admitted under it.
    admission.replace_policy(compile_file("", SETTINGS))
    assert list(admission.counters) == ["r"] and admission.rejected == {}
    for _ in range(8):
        admission.release(old_limits)
    assert admission.counters == {}


def test_another_kind_of_key_resets_the_buckets() -> None:
    admission = make_admission("rate = { per_second = 1, burst = 2, by = 'tenant' }")
    assert count_admitted(admission, SECOND, 5) == 2
    admission.replace_policy(
        compile_file("[class.view.limits]\nrate = { per_second = 1, burst = 2 }", SETTINGS)
    )
    assert count_admitted(admission, SECOND, 5) == 2


@pytest.mark.parametrize("limits", ["", "attempts = 1"])
def test_without_limits_all_requests_are_admitted_and_none_is_counted(limits: str) -> None:
    admission = make_admission(limits)
    assert count_admitted(admission, SECOND, 100) == 100
    admission.release(limits_of(admission))
    assert admission.counters == {}
