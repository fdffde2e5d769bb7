"""A request that the node has accepted, and the states of its way to its final answer.

`TRANSITIONS` is the whole machine: for each state, the events that may happen in it and the state that
follows. An event without an entry is a fault of this node.

Dispatch compares states several times for each request, and in Python 3.11 the look-up of a member on its
enum class takes longer than the rest of such a comparison: hence the module's own names for members.
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
from .ports import Client, ClientPresence
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

# For so long it is believed that a client is there; then the kernel is asked again before a byte is sent on
# for it. What a connection has not read yet, or does not read while a request is pending, only the kernel
# tells.
PRESENCE_VALID_NS = 10 * MS


class RequestState(IntEnum):
    """Where a request is on its way to its final answer."""

    PENDING = 0
    """Nothing of an answer was written; attempts may be sent."""

    EXPIRED = 1
    """Its time is up: nothing new is sent for it, and its final answer is due at once."""

    STREAMING = 2
    """The response of one attempt is being passed on; no other attempt can answer it any more."""

    FINISHED = 3
    """It has its final answer, or its client has gone. Attempts may still be in flight."""


class RequestEvent(IntEnum):
    """What happens to a request."""

    DEADLINE_PASSED = 0
    """Its time is up, or the node is about to exit."""

    RESPONSE_STARTED = 1
    """A response has begun that is passed on as it comes."""

    CONCLUDED = 2
    """Its final answer is being given, or its client has gone and none is owed any more."""


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
    # The deadline bounds when a response begins, not when it ends.
    _S.STREAMING: {
        _E.DEADLINE_PASSED: _S.STREAMING,
        _E.CONCLUDED: _S.FINISHED,
    },
    # The deadline still bounds the attempts that are in flight.
    _S.FINISHED: {
        _E.DEADLINE_PASSED: _S.FINISHED,
    },
}

PENDING = _S.PENDING
FINISHED = _S.FINISHED
UNANSWERED_STATES = frozenset((_S.PENDING, _S.EXPIRED))

next_state = transition_function(TRANSITIONS)


class RequestAttempt(Protocol):
    """What a request asks of its attempts."""

    request_written: bool
    """Whether its last byte was handed over: from then on a server may have run it."""

    def cancel(self) -> None:
        """Stop waiting; the connection is closed."""

    def end(self, result: api.Result) -> None:
        """Take the first result; a connection still in use is closed."""


class PendingRequest:
    """A request without a final answer, or with attempts in flight.

    Parameters
    ----------
    request_id
        Its number.
    client
        Where its answer goes.
    message
        What is sent to a server.
    class_index
        Index of its class in the settings.

    Attributes
    ----------
    message
        What is sent to a server; None once the request is concluded.
    state
        Where it is on its way to its final answer.
    deadline
        When (ns of the monotonic clock) its time is up.
    attempts
        All attempts by their number; None in place of one that was not sent.
    in_flight
        How many of the attempts have not ended.
    client_seen
        When (ns) its client was last known to be connected.
    streamed_attempt
        The attempt whose response is passed on as it comes.
    timer
        Ends the request at its deadline; None once that is no longer needed.
    """

    __slots__ = (
        "attempts",
        "class_index",
        "client",
        "client_seen",
        "deadline",
        "id",
        "in_flight",
        "message",
        "state",
        "streamed_attempt",
        "timer",
    )

    def __init__(self, request_id: int, client: Client, message: ForwardedRequest, class_index: int) -> None:
        self.id = request_id
        self.client = client
        self.message: ForwardedRequest | None = message
        self.class_index = class_index
        self.state = PENDING
        self.deadline = 0
        self.attempts: list[RequestAttempt | None] = []
        self.in_flight = 0
        self.client_seen = 0
        self.streamed_attempt: RequestAttempt | None = None
        self.timer: asyncio.TimerHandle | None = None

    def check_client_presence(self) -> bool:
        """Look whether the client is connected, and abandon one that has gone.

        Where the kernel cannot tell, the answer is False as well: nothing more is sent for that client.
        """
        now = system.monotonic_ns()
        if now - self.client_seen < PRESENCE_VALID_NS:
            return True
        presence = self.client.presence()
        if presence is ClientPresence.CONNECTED:
            self.client_seen = now
        elif presence is ClientPresence.GONE:
            self.client.abandon()
        return presence is ClientPresence.CONNECTED

    def stop_timer(self) -> None:
        """Cancel the timer of the deadline, if it runs."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
