"""What the state machines of client and server connections share."""

from __future__ import annotations

from enum import Enum

__all__ = ["InvalidTransitionError"]


class InvalidTransitionError(Exception):
    """An event came in a state in which it must not: a fault of this program, never of a peer.

    Attributes
    ----------
    state
        The state of the connection.
    event
        The event that happened.
    """

    def __init__(self, state: Enum, event: Enum) -> None:
        super().__init__(f"{event.name} while {state.name}")
        self.state = state
        self.event = event
