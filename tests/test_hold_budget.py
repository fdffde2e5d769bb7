"""Holds of requests compared with the cost of a connection: several in a row open another connection."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.proxy.upstream.hold_budget import DECAY_PER_S, HoldBudget

CONNECTION_COST = 0.024


def test_holds_in_a_row_open_a_connection_and_reset_the_recorded_time() -> None:
    budget = HoldBudget()
    allowed = [budget.allows(0.010, CONNECTION_COST, 1.0) for _ in range(6)]
    assert allowed == [True, True, False, True, True, False]


def test_a_hold_longer_than_the_cost_of_a_connection_is_not_allowed() -> None:
    assert not HoldBudget().allows(1.01 * CONNECTION_COST, CONNECTION_COST, 1.0)


def test_occasional_holds_never_open_a_connection() -> None:
    budget = HoldBudget()
    interval = 0.012 / (DECAY_PER_S * CONNECTION_COST)
    assert all(budget.allows(0.012, CONNECTION_COST, n * interval) for n in range(1000))


@given(st.lists(st.tuples(st.floats(0.0, 0.012), st.floats(0.0, 0.1)), max_size=200))
def test_opened_connections_never_cost_more_than_the_requested_holds(
    steps: list[tuple[float, float]],
) -> None:
    budget = HoldBudget()
    now = requested = 0.0
    opened = 0
    for hold, passed in steps:
        now += passed
        requested += hold
        opened += not budget.allows(hold, CONNECTION_COST, now)
    assert opened * CONNECTION_COST <= requested + 1e-9
