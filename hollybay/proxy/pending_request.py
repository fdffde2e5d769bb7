"""A request that the node has accepted, and its states up to the final response.

`TRANSITIONS` is the complete state machine: for each state, the events that may occur in it and the state
that follows. An event without an entry is a bug of this node.

The dispatcher compares states several times for each request. In Python 3.11, looking up a member on its enum
class takes longer than the rest of such a comparison, so the members in use are also names of this module.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from enum import IntEnum
from typing import Protocol

from hollybay.balancing import interface as api
from hollybay.units import MS

from . import system
from .http_messages import ForwardedRequest
from .interfaces import Client, ClientPresence
from .request_ids import NOT_CLAIMED
from .state_machine import transition_function

__all__ = [
    "FINISHED",
    "PENDING",
    "PRESENCE_VALID_NS",
    "TRANSITIONS",
    "UNANSWERED_STATES",
    "PendingRequest",
    "RequestAttempt",
    "RequestEvent",
    "RequestState",
    "next_state",
]

# How long a client counts as connected after a check. After that, the kernel is asked again before anything
# is sent to a server for it: the event loop may not have read a close yet, and does not read it while reading
# is paused.
PRESENCE_VALID_NS = 10 * MS


class RequestState(IntEnum):
    """State of a request."""

    PENDING = 0
    """No part of a response was written; attempts may be sent."""

    EXPIRED = 1
    """The deadline has passed: no attempt is sent any more, and the final response is due at once."""

    STREAMING = 2
    """The response of one attempt is being streamed to the client; no other attempt can be used any more."""

    FINISHED = 3
    """The final response was written, or the client has disconnected. Attempts may still be in flight."""


class RequestEvent(IntEnum):
    """Event that changes the state of a request."""

    DEADLINE_PASSED = 0
    """The deadline has passed, or the node is about to exit."""

    RESPONSE_STARTED = 1
    """A streamed response has begun."""

    CONCLUDED = 2
    """The final response is being written, or the client has disconnected and none is needed."""


_S = RequestState
_E = RequestEvent

TRANSITIONS: Mapping[RequestState, Mapping[RequestEvent, RequestState]] = {
    _S.PENDING: {
        _E.DEADLINE_PASSED: _S.EXPIRED,
        _E.RESPONSE_STARTED: _S.STREAMING,
        _E.CONCLUDED: _S.FINISHED,
    },
    _S.EXPIRED: {
        _E.DEADLINE_PASSED: _S.EXPIRED,
        _E.RESPONSE_STARTED: _S.STREAMING,
        _E.CONCLUDED: _S.FINISHED,
    },
    # The deadline limits the start of a response, not its end.
    _S.STREAMING: {
        _E.DEADLINE_PASSED: _S.STREAMING,
        _E.CONCLUDED: _S.FINISHED,
    },
    # The deadline still limits the attempts in flight.
    _S.FINISHED: {
        _E.DEADLINE_PASSED: _S.FINISHED,
    },
}

PENDING = _S.PENDING
FINISHED = _S.FINISHED
UNANSWERED_STATES = frozenset((_S.PENDING, _S.EXPIRED))

next_state = transition_function(TRANSITIONS)


class RequestAttempt(Protocol):
    """Interface of an attempt, as far as its request uses it."""

    request_written: bool
    """Whether the last byte was handed to the kernel: from then on the server may have run the request."""

    is_reported: bool
    """Whether the balancer takes it for failed, though it goes on."""

    result: api.Result | None
    """Its result; None while it is in flight."""

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""

    def end(self, result: api.Result) -> None:
        """End the attempt with a result unless it has ended; a connection still in use is closed."""


class PendingRequest:
    """A request without a final response, or with attempts in flight.

    Parameters
    ----------
    request_id
        Number of the request.
    client
        Client that gets the response.
    message
        Message that is sent to a server.
    class_index
        Index of the request's class in the settings.
    claimed_id
        Number of the client's id in `RequestIds`.

    Attributes
    ----------
    message
        Message that is sent to a server; None once the request is concluded.
    state
        State of the request.
    deadline
        Deadline of the request (ns of the monotonic clock).
    attempts
        All attempts by number; None for an attempt that was not sent.
    in_flight
        Number of attempts that have not ended.
    stalled
        Number of them whose response has stalled, which the balancer takes for failed.
    deferred
        Action with which the balancer has ended the request, while a stalled response may still go on.
    client_seen_at
        Time (ns) at which the client was last known to be connected.
    streamed_attempt
        Attempt whose response is being streamed to the client.
    timer
        Fires at the deadline; None once it is no longer needed.
    """

    __slots__ = (
        "attempts",
        "claimed_id",
        "class_index",
        "client",
        "client_seen_at",
        "deadline",
        "deferred",
        "id",
        "in_flight",
        "message",
        "stalled",
        "state",
        "streamed_attempt",
        "timer",
    )

    def __init__(
        self,
        request_id: int,
        client: Client,
        message: ForwardedRequest,
        class_index: int,
        claimed_id: int = NOT_CLAIMED,
    ) -> None:
        self.id = request_id
        self.client = client
        self.message: ForwardedRequest | None = message
        self.class_index = class_index
        self.claimed_id = claimed_id
        self.state = PENDING
        self.deadline = 0
        self.attempts: list[RequestAttempt | None] = []
        self.in_flight = 0
        self.stalled = 0
        self.deferred: api.Reject | api.Fail | None = None
        self.client_seen_at = 0
        self.streamed_attempt: RequestAttempt | None = None
        self.timer: asyncio.TimerHandle | None = None

    def check_client_presence(self) -> bool:
        """Return whether the client is connected, and abandon it if it is not.

        If the kernel cannot tell, the result is False as well, and nothing more is sent for that client.
        """
        now = system.monotonic_ns()
        if now - self.client_seen_at < PRESENCE_VALID_NS:
            return True
        presence = self.client.presence()
        if presence is ClientPresence.CONNECTED:
            self.client_seen_at = now
        elif presence is ClientPresence.GONE:
            self.client.abandon()
        return presence is ClientPresence.CONNECTED

    def stop_timer(self) -> None:
        """Cancel the deadline timer, if it is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
