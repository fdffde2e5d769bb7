"""Holds against the price of a connection: rare ones are borne, many in a row are worth another one."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.proxy.upstream.hold_account import DECAY_PER_S, HoldAccount

PRICE = 0.024


def test_holds_in_a_row_are_worth_a_connection_and_the_account_begins_anew() -> None:
    account = HoldAccount()
    allowed = [account.allows(0.010, PRICE, 1.0) for _ in range(6)]
    assert allowed == [True, True, False, True, True, False]


def test_a_hold_that_costs_more_than_a_connection_is_not_allowed() -> None:
    assert not HoldAccount().allows(1.01 * PRICE, PRICE, 1.0)


def test_holds_now_and_then_never_add_up_to_a_connection() -> None:
    account = HoldAccount()
    apart = 0.012 / (DECAY_PER_S * PRICE)
    assert all(account.allows(0.012, PRICE, n * apart) for n in range(1000))


@given(st.lists(st.tuples(st.floats(0.0, 0.012), st.floats(0.0, 0.1)), max_size=200))
def test_connections_never_cost_more_than_the_holds_that_were_due(steps: list[tuple[float, float]]) -> None:
    account = HoldAccount()
    now = due = 0.0
    opened = 0
    for hold, passed in steps:
        now += passed
        due += hold
        opened += not account.allows(hold, PRICE, now)
    assert opened * PRICE <= due + 1e-9
