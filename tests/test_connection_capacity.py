"""The share of nodes that may list a server as idle, if servers accept few connections."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing.connection_capacity import DOUBLING_TIME_NS, REFUSAL_FACTOR, ConnectionCapacity
from hollybay.units import SECOND


@given(st.lists(st.tuples(st.integers(0, 20 * SECOND), st.booleans()), max_size=60), st.floats(0.0, 1.0))
def test_the_share_never_falls_below_that_without_peer_reports_nor_rises_by_a_refusal(
    events: list[tuple[int, bool]], least: float
) -> None:
    capacity, now = ConnectionCapacity(8), 0
    before = 1.0
    for after, refused in events:
        now += after
        if refused:
            capacity.record_refusal(now)
        share = capacity.idle_index_share(now, 8 * least, 8.0, 3)
        assert least <= share <= 1.0 and capacity.idle_index_share(
            now, 8 * least, 8.0, 0
        ) == least == capacity.idle_index_share(now, 16 * least, 16.0, 3)
        assert share <= max(
            least, before * 2.0 ** (after / DOUBLING_TIME_NS) * (REFUSAL_FACTOR if refused else 1.0) + 1e-4
        )
        before = share


def test_the_share_recovers_fully_after_some_time_without_refusals() -> None:
    capacity = ConnectionCapacity(8)
    for _ in range(3):
        capacity.record_refusal(SECOND)
    assert capacity.idle_index_share(SECOND, 0.8, 8.0, 3) == REFUSAL_FACTOR**3
    assert capacity.idle_index_share(SECOND + DOUBLING_TIME_NS, 0.8, 8.0, 3) == min(
        1.0, 2 * REFUSAL_FACTOR**3
    )
    assert capacity.idle_index_share(SECOND + 3 * DOUBLING_TIME_NS, 0.8, 8.0, 3) == 1.0
