r"""The states of a connection to a server, and the one table of its transitions.

A connection carries one request at a time. Its two directions advance together: no response is taken before
the last byte of its request was handed to the kernel, so one enum holds for both.

::

    CONNECTING -> IDLE -> SENDING -> HOLDING -> AWAITING -> RECEIVING -> STREAMING
                   ^  \\____________________________/  |          |           |
                   |__________________________________|__________|___________|     RESPONSE_COMPLETED

CLOSE_REQUESTED leads from every state to CLOSING, LOST to CLOSED. These two absorb whatever comes after: the
loop may deliver what it had scheduled before the close.
"""

from __future__ import annotations

from enum import Enum, auto

from ..state_machine import InvalidTransitionError

__all__ = ["TRANSITIONS", "ConnectionEvent", "ConnectionState", "InvalidTransitionError", "next_state"]


class ConnectionState(Enum):
    """What a connection to a server is doing."""

    CONNECTING = auto()  # the transport is not up yet
    IDLE = auto()  # it carries no request
    SENDING = auto()  # a request is being written; more than its last piece is left
    HOLDING = auto()  # all but the piece with the last byte was written; that piece is held back for a moment
    AWAITING = auto()  # the request is whole on its way, so that the server may run it
    RECEIVING = auto()  # the head of a response has come; its body is kept until it is whole
    STREAMING = auto()  # the body is passed on to the client as it comes
    CLOSING = auto()  # it was closed from this side; the loop has not confirmed that yet
    CLOSED = auto()  # the transport is gone


class ConnectionEvent(Enum):
    """What happens to a connection to a server."""

    CONNECTED = auto()  # the transport is up
    REQUEST_STARTED = auto()  # an attempt was given to the connection
    LAST_PIECE_LEFT = auto()  # only the piece with the last byte is still to be written
    REQUEST_SENT = auto()  # the last byte was handed to the kernel
    RESPONSE_STARTED = auto()  # the head of a response with status 200 was read
    STREAM_STARTED = auto()  # the client takes the body as it comes
    RESPONSE_COMPLETED = auto()  # the response is whole, and the connection may carry another request
    CLOSE_REQUESTED = auto()  # this side closes the connection
    LOST = auto()  # the transport ended


_S = ConnectionState
_E = ConnectionEvent

_OPEN_TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    (_S.CONNECTING, _E.CONNECTED): _S.IDLE,
    (_S.IDLE, _E.REQUEST_STARTED): _S.SENDING,
    (_S.SENDING, _E.LAST_PIECE_LEFT): _S.HOLDING,
    (_S.HOLDING, _E.LAST_PIECE_LEFT): _S.HOLDING,
    (_S.HOLDING, _E.REQUEST_SENT): _S.AWAITING,
    (_S.AWAITING, _E.RESPONSE_STARTED): _S.RECEIVING,
    (_S.RECEIVING, _E.STREAM_STARTED): _S.STREAMING,
    # A response with another status than 200 is judged by its head alone and may be whole at once.
    (_S.AWAITING, _E.RESPONSE_COMPLETED): _S.IDLE,
    (_S.RECEIVING, _E.RESPONSE_COMPLETED): _S.IDLE,
    (_S.STREAMING, _E.RESPONSE_COMPLETED): _S.IDLE,
}

TRANSITIONS: dict[tuple[ConnectionState, ConnectionEvent], ConnectionState] = {
    **_OPEN_TRANSITIONS,
    **{(state, _E.CLOSE_REQUESTED): _S.CLOSING for state in _S if state is not _S.CLOSED},
    **{(state, _E.LOST): _S.CLOSED for state in _S},
    **{(_S.CLOSING, event): _S.CLOSING for event in _E if event is not _E.LOST},
    **{(_S.CLOSED, event): _S.CLOSED for event in _E},
}


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Look up the state after an event.

    Raises
    ------
    InvalidTransitionError
        The table has no entry for the event in that state.
    """
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise InvalidTransitionError(state, event) from None
