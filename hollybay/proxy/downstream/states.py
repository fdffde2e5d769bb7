"""The states of a client connection, and the transitions between them.

A connection carries one request at a time. It reads a request, responds to it, and reads the next one once
the kernel has taken the response. A body that is too long to be held is forwarded while it is still coming;
if its response comes first, the connection cannot be used again. A connection that ends in order lingers: it
has shut down its sending side, and reads on until the client closes, because a close over unread bytes would
be a reset, which could destroy the response on its way.

`TRANSITIONS` is the whole machine: for each state, the events that may happen in it and the state that
follows. An event without an entry is a fault of this node, never of the client.

That the transport is closing is not a state: it can begin at any time, and asyncio knows it.
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
    "ConnectionEvent",
    "ConnectionState",
    "InvalidTransitionError",
    "next_state",
]


class ConnectionState(IntEnum):
    """What a client connection is doing."""

    READING = 0
    """Waits for a request, or reads one whose body is small."""

    READING_LARGE = 1
    """Reads a request whose body is charged to the budget of bodies."""

    STREAMING = 2
    """Forwards a request whose long body is still coming."""

    STREAMING_LAST = 3
    """The same, and its response, after which the connection ends, has begun."""

    RESPONDING = 4
    """The request is complete; its response is awaited, or on its way to the kernel."""

    RESPONDING_LAST = 5
    """The same, and the connection ends with this response."""

    DISCARDING = 6
    """The response was complete before the request's body, the rest of which is dropped."""

    LINGERING = 7
    """Sending is shut down; reads until the client closes."""

    LINGERING_UPLOAD = 8
    """The same, after a response that was complete before the request's body."""


class ConnectionEvent(IntEnum):
    """What happens on a client connection."""

    BODY_CHARGED = 0
    """The body has grown beyond what is held without being charged to the budget."""

    BODY_STREAMED = 1
    """The body has grown beyond what is held: the request is forwarded while it comes."""

    REQUEST_COMPLETED = 2
    """The last byte of the request was read."""

    LAST_RESPONSE_BEGUN = 3
    """The head of a response says that the connection ends with it."""

    RESPONSE_COMPLETED = 4
    """The last byte of the response was written; the kernel may not have taken it."""

    RESPONSE_FLUSHED = 5
    """The kernel has taken the response, and the next request may be read."""

    SENDING_SHUT_DOWN = 6
    """The connection is being closed in order."""


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
        _E.RESPONSE_COMPLETED: _S.RESPONDING,
        _E.RESPONSE_FLUSHED: _S.READING,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.RESPONDING_LAST: {
        _E.RESPONSE_COMPLETED: _S.RESPONDING_LAST,
        _E.SENDING_SHUT_DOWN: _S.LINGERING,
    },
    _S.DISCARDING: {
        _E.SENDING_SHUT_DOWN: _S.LINGERING_UPLOAD,
    },
    _S.LINGERING: {},
    _S.LINGERING_UPLOAD: {},
}

READING_STATES = frozenset((_S.READING, _S.READING_LARGE, _S.STREAMING, _S.STREAMING_LAST))
RESPONDING_STATES = frozenset((_S.RESPONDING, _S.RESPONDING_LAST, _S.DISCARDING))
LINGERING_STATES = frozenset((_S.LINGERING, _S.LINGERING_UPLOAD))

next_state = transition_function(TRANSITIONS)
