"""How many nodes keep to a server where connections are few."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing.connection_capacity import DOUBLING_TIME_NS, REFUSAL_FACTOR, ConnectionCapacity
from hollybay.units import SECOND


@given(st.lists(st.tuples(st.integers(0, 20 * SECOND), st.booleans()), max_size=60), st.floats(0.0, 1.0))
def test_it_never_falls_below_what_nodes_without_word_take_nor_rises_by_a_refusal(
    events: list[tuple[int, bool]], least: float
) -> None:
    room, now = ConnectionCapacity(8), 0
    before = 1.0
    for after, refused in events:
        now += after
        if refused:
            room.record_refusal(now)
        part = room.idle_index_share(now, 8 * least, 8.0, 3)
        assert least <= part <= 1.0 and room.idle_index_share(
            now, 8 * least, 8.0, 0
        ) == least == room.idle_index_share(now, 16 * least, 16.0, 3)
        assert part <= max(
            least, before * 2.0 ** (after / DOUBLING_TIME_NS) * (REFUSAL_FACTOR if refused else 1.0) + 1e-4
        )
        before = part


def test_all_of_it_is_back_after_a_time_without_refusals() -> None:
    room = ConnectionCapacity(8)
    for _ in range(3):
        room.record_refusal(SECOND)
    assert room.idle_index_share(SECOND, 0.8, 8.0, 3) == REFUSAL_FACTOR**3
    assert room.idle_index_share(SECOND + DOUBLING_TIME_NS, 0.8, 8.0, 3) == min(1.0, 2 * REFUSAL_FACTOR**3)
    assert room.idle_index_share(SECOND + 3 * DOUBLING_TIME_NS, 0.8, 8.0, 3) == 1.0
