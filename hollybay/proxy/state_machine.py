"""Transition tables, which the state machines of requests and of connections share.

A table contains, for each state, the events that may occur in it and the state that follows. States and
events are of type `IntEnum`, whose members are hashed as fast as an int.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import TypeVar

__all__ = ["InvalidTransitionError", "transition_function"]

State = TypeVar("State", bound=IntEnum)
Event = TypeVar("Event", bound=IntEnum)


class InvalidTransitionError(Exception):
    """An event occurred in a state that does not allow it: a bug of this program, never an error of a peer.

    Attributes
    ----------
    state
        State of the machine.
    event
        Event that occurred.
    """

    def __init__(self, state: IntEnum, event: IntEnum) -> None:
        super().__init__(f"event {event.name} is not allowed in state {state.name}")
        self.state = state
        self.event = event


def transition_function(
    transitions: Mapping[State, Mapping[Event, State]],
) -> Callable[[State, Event], State]:
    """Return a function that looks up the state after an event in a transition table.

    The function raises `InvalidTransitionError` if the table has no entry for the event in that state.
    """

    def next_state(state: State, event: Event) -> State:
        try:
            return transitions[state][event]
        except KeyError:
            raise InvalidTransitionError(state, event) from None

    return next_state
