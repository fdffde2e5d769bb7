"""The median of many shares, most of them 0, is that of all members, at the cost of the shares above 0."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing.outlier_shares import MIN_SHARE, OutlierShares

WEIGHT = 0.05
MOVES = st.lists(st.tuples(st.integers(0, 8), st.booleans()), max_size=200)


@given(st.integers(1, 9), MOVES)
def test_the_median_is_that_of_all_others(count: int, moves: list[tuple[int, bool]]) -> None:
    shares, expected = OutlierShares(count), [0.0] * count
    for drawn, rejected in moves:
        member = drawn % count
        expected[member] += WEIGHT * (float(rejected) - expected[member])
        assert shares.update(member, float(rejected), WEIGHT) == pytest.approx(
            expected[member], abs=MIN_SHARE
        )
        for excluded in range(count):
            others = sorted(share for other, share in enumerate(expected) if other != excluded)
            middle = others[len(others) // 2] if others else 0.0
            assert shares.median_of_others(excluded) == pytest.approx(middle, abs=MIN_SHARE)


def test_only_shares_above_zero_are_stored_and_decayed_ones_are_removed() -> None:
    shares = OutlierShares(300_000)
    for member in range(300_000):
        assert shares.update(member, 0.0, WEIGHT) == 0.0
    assert not shares._nonzero
    shares.update(7, 1.0, WEIGHT)
    assert list(shares._nonzero) == [7] and shares.median_of_others(8) == 0.0
    for _ in range(300):
        shares.update(7, 0.0, WEIGHT)
    assert not shares._nonzero
