"""The backoff of polls doubles up to its bound after any number of failed polls."""

from __future__ import annotations

import pytest

from hollybay.balancing.discovery_polling import (
    FIRST_BACKOFF_NS,
    MAX_BACKOFF_NS,
    MAX_POLL_WAIT_NS,
    MAX_STALENESS_NS,
    PollSchedule,
    exponential_backoff,
)


@pytest.mark.parametrize("span", [1, 3, FIRST_BACKOFF_NS])
@pytest.mark.parametrize("longest", [FIRST_BACKOFF_NS, MAX_BACKOFF_NS])
def test_a_doubled_span_is_the_power_of_two_or_the_longest(span: int, longest: int) -> None:
    for times in range(100):
        assert exponential_backoff(span, times, longest) == min(span * 2**times, longest)


def test_the_cost_does_not_grow_with_the_number_of_doublings() -> None:
    assert exponential_backoff(FIRST_BACKOFF_NS, 10**12, MAX_BACKOFF_NS) == MAX_BACKOFF_NS


def test_the_backoff_of_a_single_node_doubles_up_to_its_bound() -> None:
    schedule = PollSchedule(0.5, 1, 0)
    backoffs = []
    for _ in range(6):
        schedule.poll_started(0)
        backoffs.append(schedule.poll_failed(0, 1.0))
    longest = MAX_STALENESS_NS - MAX_POLL_WAIT_NS
    assert backoffs == [min(FIRST_BACKOFF_NS * 2**times, longest) for times in range(6)]
    assert backoffs[-1] == longest
