r"""The states of a connection to a server, and the transitions between them.

A connection carries one request at a time. One state describes both directions, as no response is accepted
before the last byte of its request was handed to the kernel.

::

    CONNECTING -> IDLE -> SENDING -> HOLDING -> AWAITING -> RECEIVING -> STREAMING
                   ^  \\____________________________/  |          |           |
                   |__________________________________|__________|___________|     RESPONSE_COMPLETED

CLOSE_REQUESTED leads from every state except CLOSED to CLOSING, and LOST leads to CLOSED. These two states
ignore all other events, as the event loop may still deliver callbacks that were scheduled before the close.
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
    """State of a connection to a server."""

    CONNECTING = auto()  # the transport is not established yet
    IDLE = auto()  # it carries no request
    SENDING = auto()  # a request is being written; more than its last piece is left
    HOLDING = auto()  # only the piece with the last byte is left, which may be held back for a moment
    AWAITING = auto()  # the request was completely written, so the server may run it
    RECEIVING = auto()  # the head of a response was received; its body is buffered until it is complete
    STREAMING = auto()  # the body of the response is being streamed to the client
    CLOSING = auto()  # this side has closed the connection; the event loop has not confirmed it yet
    CLOSED = auto()  # the transport is closed


class UpstreamConnectionEvent(IntEnum):
    """Event that changes the state of a connection to a server."""

    CONNECTED = auto()  # the transport is established
    REQUEST_STARTED = auto()  # the connection begins an attempt
    LAST_PIECE_LEFT = auto()  # only the piece with the last byte is still to be written
    REQUEST_SENT = auto()  # the last byte was handed to the kernel
    RESPONSE_STARTED = auto()  # the head of a response with status 200 was read
    STREAM_STARTED = auto()  # streaming of the body to the client begins
    RESPONSE_COMPLETED = auto()  # the response is complete, and the connection may carry another request
    CLOSE_REQUESTED = auto()  # this side closes the connection
    LOST = auto()  # the transport was closed


_S = UpstreamConnectionState
_E = UpstreamConnectionEvent

# Transitions of every state in which the connection is open.
_ENDINGS = {_E.CLOSE_REQUESTED: _S.CLOSING, _E.LOST: _S.CLOSED}

TRANSITIONS: Mapping[UpstreamConnectionState, Mapping[UpstreamConnectionEvent, UpstreamConnectionState]] = {
    _S.CONNECTING: {_E.CONNECTED: _S.IDLE, **_ENDINGS},
    _S.IDLE: {_E.REQUEST_STARTED: _S.SENDING, **_ENDINGS},
    _S.SENDING: {_E.LAST_PIECE_LEFT: _S.HOLDING, **_ENDINGS},
    _S.HOLDING: {_E.LAST_PIECE_LEFT: _S.HOLDING, _E.REQUEST_SENT: _S.AWAITING, **_ENDINGS},
    _S.AWAITING: {
        _E.RESPONSE_STARTED: _S.RECEIVING,
        # A response with a status other than 200 needs no body and may be complete with its head.
        _E.RESPONSE_COMPLETED: _S.IDLE,
        **_ENDINGS,
    },
    _S.RECEIVING: {_E.STREAM_STARTED: _S.STREAMING, _E.RESPONSE_COMPLETED: _S.IDLE, **_ENDINGS},
    _S.STREAMING: {_E.RESPONSE_COMPLETED: _S.IDLE, **_ENDINGS},
    _S.CLOSING: {**dict.fromkeys(_E, _S.CLOSING), _E.LOST: _S.CLOSED},
    _S.CLOSED: dict.fromkeys(_E, _S.CLOSED),
}

next_state = transition_function(TRANSITIONS)
