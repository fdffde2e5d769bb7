"""What each state machine must keep: its look-up follows its table, and refuses what the table lacks."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import TypeVar

import pytest

from hollybay.proxy.state_machine import InvalidTransitionError

__all__ = ["check_transition"]

S = TypeVar("S", bound=IntEnum)
E = TypeVar("E", bound=IntEnum)


def check_transition(
    table: Mapping[S, Mapping[E, S]], next_state: Callable[[S, E], S], state: S, event: E
) -> None:
    """Assert that a pair of state and event leads where the table says, or is refused by both their names."""
    if event in table[state]:
        assert next_state(state, event) is table[state][event]
        return
    with pytest.raises(InvalidTransitionError) as caught:
        next_state(state, event)
    assert (caught.value.state, caught.value.event) == (state, event)
    assert str(caught.value) == f"event {event.name} is not allowed in state {state.name}"
