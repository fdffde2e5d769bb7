"""Holds of requests compared with the cost of a connection: several in a row open another connection."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.proxy.upstream.hold_account import DECAY_PER_S, HoldAccount

PRICE = 0.024


def test_holds_in_a_row_open_a_connection_and_reset_the_recorded_time() -> None:
    budget = HoldAccount()
    allowed = [budget.allows(0.010, PRICE, 1.0) for _ in range(6)]
    assert allowed == [True, True, False, True, True, False]


def test_a_hold_longer_than_the_cost_of_a_connection_is_not_allowed() -> None:
    assert not HoldAccount().allows(1.01 * PRICE, PRICE, 1.0)


def test_occasional_holds_never_open_a_connection() -> None:
    budget = HoldAccount()
    interval = 0.012 / (DECAY_PER_S * PRICE)
    assert all(budget.allows(0.012, PRICE, n * interval) for n in range(1000))


@given(st.lists(st.tuples(st.floats(0.0, 0.012), st.floats(0.0, 0.1)), max_size=200))
def test_opened_connections_never_cost_more_than_the_requested_holds(
    steps: list[tuple[float, float]],
) -> None:
    budget = HoldAccount()
    now = requested = 0.0
    opened = 0
    for hold, passed in steps:
        now += passed
        requested += hold
        opened += not budget.allows(hold, PRICE, now)
    assert opened * PRICE <= requested + 1e-9
