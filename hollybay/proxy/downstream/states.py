"""The states of a client connection, and the transitions between them.

A connection carries one request at a time. It reads a request, responds to it, and reads the next one once
the kernel has accepted the response. That its one final response was written is a state of the connection,
which no path enters twice: a response begins in `UNANSWERED_STATES` or in RESPONDING alone.

A body that is too long to be buffered is forwarded while it is still arriving; if the response is complete
first, the connection cannot be used again. A connection that is closed gracefully lingers: it has shut down
its sending side, and goes on reading until the client closes, because closing with unread bytes would reset
the connection, which could destroy the response in transit.

`TRANSITIONS` is the complete state machine: for each state, the events that may occur in it and the state
that follows. An event without an entry is a bug of this node, never of the client.

A closing transport has no state here: it may begin to close at any time, and asyncio keeps track of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from ..state_machine import InvalidTransitionError, transition_function

__all__ = [
    "LINGERING_STATES",
    "READING_STATES",
    "RESPONDING_STATES",
    "TRANSITIONS",
    "UNANSWERED_STATES",
    "WRITTEN_STATES",
    "ConnectionEvent",
    "ConnectionState",
    "InvalidTransitionError",
    "next_state",
]


class ConnectionState(IntEnum):
    """State of a client connection."""

    READING = 0
    """Waiting for a request, or reading one whose body is small."""

    READING_LARGE = 1
    """Reading a request whose body is charged to the body budget."""

    STREAMING = 2
    """Forwarding a request whose body is still arriving."""

    STREAMING_LAST = 3
    """Like STREAMING; the response has begun, and the connection ends with it."""

    RESPONDING = 4
    """The request is complete; its response is pending or being streamed."""

    RESPONDING_LAST = 5
    """Like RESPONDING; the connection ends with this response, which has begun."""

    FLUSHING = 6
    """The response was written; the kernel may not have accepted all of it yet."""

    FLUSHING_LAST = 7
    """Like FLUSHING; the connection ends with this response."""

    DISCARDING = 8
    """Like FLUSHING_LAST, before the end of the request's body, the rest of which is discarded."""

    LINGERING = 9
    """Sending is shut down; reading until the client closes."""

    LINGERING_UPLOAD = 10
    """Like LINGERING, after a response that was complete before the request's body."""


class ConnectionEvent(IntEnum):
    """Event that changes the state of a client connection."""

    BODY_CHARGED = 0
    """The body exceeds `SMALL_BODY_BYTES` and is charged to the body budget from now on."""

    BODY_STREAMED = 1
    """The body exceeds `MAX_HELD_BODY_BYTES`: the request is forwarded while it is still arriving."""

    REQUEST_COMPLETED = 2
    """The last byte of the request was read."""

    LAST_RESPONSE_BEGUN = 3
    """A response has begun whose head contains `Connection: close`."""

    RESPONSE_COMPLETED = 4
    """The last byte of the response was written, though the kernel may not have accepted it yet."""

    RESPONSE_FLUSHED = 5
    """The kernel has accepted the response, and the next request may be read."""

    SENDING_SHUT_DOWN = 6
    """The connection is being closed gracefully."""


_S = ConnectionState
_E = ConnectionEvent

TRANSITIONS: Mapping[ConnectionState, Mapping[ConnectionEvent, ConnectionState]] = {
    _S.READING: {
        _E.BODY_CHARGED: _S.READING_LARGE,
        _E.BODY_STREAMED: _S.STREAMING,
        _E.REQUEST_COMPLETED: _S.RESPONDING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.READING_LARGE: {
        _E.BODY_STREAMED: _S.STREAMING,
        _E.REQUEST_COMPLETED: _S.RESPONDING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.STREAMING: {
        _E.REQUEST_COMPLETED: _S.RESPONDING,
        _E.LAST_RESPONSE_BEGUN: _S.STREAMING_LAST,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.STREAMING_LAST: {
        _E.REQUEST_COMPLETED: _S.RESPONDING_LAST,
        _E.RESPONSE_COMPLETED: _S.DISCARDING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.RESPONDING: {
        _E.LAST_RESPONSE_BEGUN: _S.RESPONDING_LAST,
        _E.RESPONSE_COMPLETED: _S.FLUSHING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.RESPONDING_LAST: {
        _E.RESPONSE_COMPLETED: _S.FLUSHING_LAST,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.FLUSHING: {
        _E.RESPONSE_FLUSHED: _S.READING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.FLUSHING_LAST: {
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.DISCARDING: {
        _E.SENDING_SHUT_DOWN: _S.LINGERING_UPLOAD,
    },
    _S.LINGERING: {},
    _S.LINGERING_UPLOAD: {},
}

READING_STATES = frozenset((_S.READING, _S.READING_LARGE, _S.STREAMING, _S.STREAMING_LAST))
UNANSWERED_STATES = frozenset((_S.READING, _S.READING_LARGE, _S.STREAMING))
"""States in which the request is not complete, and no response to it has begun."""
WRITTEN_STATES = frozenset((_S.FLUSHING, _S.FLUSHING_LAST, _S.DISCARDING))
"""States in which the one final response was written."""
RESPONDING_STATES = frozenset((_S.RESPONDING, _S.RESPONDING_LAST)) | WRITTEN_STATES
LINGERING_STATES = frozenset((_S.LINGERING, _S.LINGERING_UPLOAD))

next_state = transition_function(TRANSITIONS)
