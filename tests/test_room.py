"""How many nodes keep to a server where connections are few."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing.connection_capacity import DOUBLES, LEAVES, Room

SECOND = 1_000_000_000


@given(st.lists(st.tuples(st.integers(0, 20 * SECOND), st.booleans()), max_size=60), st.floats(0.0, 1.0))
def test_it_never_falls_below_what_nodes_without_word_take_nor_rises_by_a_refusal(
    events: list[tuple[int, bool]], least: float
) -> None:
    room, now = Room(8), 0
    before = 1.0
    for after, refused in events:
        now += after
        if refused:
            room.refused(now)
        part = room.listed(now, 8 * least, 8.0, 3)
        assert least <= part <= 1.0 and room.listed(now, 8 * least, 8.0, 0) == least == room.listed(
            now, 16 * least, 16.0, 3
        )
        assert part <= max(least, before * 2.0 ** (after / DOUBLES) * (LEAVES if refused else 1.0) + 1e-4)
        before = part


def test_all_of_it_is_back_after_a_time_without_refusals() -> None:
    room = Room(8)
    for _ in range(3):
        room.refused(SECOND)
    assert room.listed(SECOND, 0.8, 8.0, 3) == LEAVES**3
    assert room.listed(SECOND + DOUBLES, 0.8, 8.0, 3) == min(1.0, 2 * LEAVES**3)
    assert room.listed(SECOND + 3 * DOUBLES, 0.8, 8.0, 3) == 1.0
