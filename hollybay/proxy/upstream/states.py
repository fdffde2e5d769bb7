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

from collections.abc import Mapping
from enum import IntEnum, auto

from ..state_machine import InvalidTransitionError, transition_function

__all__ = [
    "TRANSITIONS",
    "InvalidTransitionError",
    "UpstreamConnectionEvent",
    "UpstreamConnectionState",
    "next_state",
]


class UpstreamConnectionState(IntEnum):
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


class UpstreamConnectionEvent(IntEnum):
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


_S = UpstreamConnectionState
_E = UpstreamConnectionEvent

# From every state in which the connection is open.
_ENDINGS = {_E.CLOSE_REQUESTED: _S.CLOSING, _E.LOST: _S.CLOSED}

TRANSITIONS: Mapping[UpstreamConnectionState, Mapping[UpstreamConnectionEvent, UpstreamConnectionState]] = {
    _S.CONNECTING: {_E.CONNECTED: _S.IDLE, **_ENDINGS},
    _S.IDLE: {_E.REQUEST_STARTED: _S.SENDING, **_ENDINGS},
    _S.SENDING: {_E.LAST_PIECE_LEFT: _S.HOLDING, **_ENDINGS},
    _S.HOLDING: {_E.LAST_PIECE_LEFT: _S.HOLDING, _E.REQUEST_SENT: _S.AWAITING, **_ENDINGS},
    _S.AWAITING: {
        _E.RESPONSE_STARTED: _S.RECEIVING,
        # A response with another status than 200 is judged by its head alone and may be whole at once.
        _E.RESPONSE_COMPLETED: _S.IDLE,
        **_ENDINGS,
    },
    _S.RECEIVING: {_E.STREAM_STARTED: _S.STREAMING, _E.RESPONSE_COMPLETED: _S.IDLE, **_ENDINGS},
    _S.STREAMING: {_E.RESPONSE_COMPLETED: _S.IDLE, **_ENDINGS},
    _S.CLOSING: {**dict.fromkeys(_E, _S.CLOSING), _E.LOST: _S.CLOSED},
    _S.CLOSED: dict.fromkeys(_E, _S.CLOSED),
}

next_state = transition_function(TRANSITIONS)
