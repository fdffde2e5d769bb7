"""What the state machines of requests and of connections share: one form of their tables, and its look-up.

A table holds, for each state, the events that may happen in it and the state that follows. States and events
are `IntEnum`, whose members are hashed at the speed of an int.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import TypeVar

__all__ = ["InvalidTransitionError", "transition_function"]

State = TypeVar("State", bound=IntEnum)
Event = TypeVar("Event", bound=IntEnum)


class InvalidTransitionError(Exception):
    """An event came in a state in which it must not: a fault of this program, never of a peer.

    Attributes
    ----------
    state
        The state that the machine was in.
    event
        The event that happened.
    """

    def __init__(self, state: IntEnum, event: IntEnum) -> None:
        super().__init__(f"{event.name} while {state.name}")
        self.state = state
        self.event = event


def transition_function(
    transitions: Mapping[State, Mapping[Event, State]],
) -> Callable[[State, Event], State]:
    """Return the function that looks up the state after an event in a table of transitions.

    It raises `InvalidTransitionError` if the table has no entry for the event in that state.
    """

    def next_state(state: State, event: Event) -> State:
        try:
            return transitions[state][event]
        except KeyError:
            raise InvalidTransitionError(state, event) from None

    return next_state
