"""Check of the look-up in a transition table, for the tests of all state machines."""

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
    """Assert that the look-up returns the table's entry for a state and an event, or else raises."""
    if event in table[state]:
        assert next_state(state, event) is table[state][event]
        return
    with pytest.raises(InvalidTransitionError) as caught:
        next_state(state, event)
    assert (caught.value.state, caught.value.event) == (state, event)
    assert str(caught.value) == f"event {event.name} is not allowed in state {state.name}"
