"""Service state of a node, as its clients see it, and the transitions between the states.

Operators drain a node and put it back into service; the shutdown of its process drains it permanently. In
both cases the node first reports itself as not healthy, so that the load balancer in front sends no more
clients, and later closes each connection after its response. A process whose node is taken over by another
process stays healthy meanwhile, as the load balancer sees both as one node.

`TRANSITIONS` is the complete state machine: for each state, the events that may occur in it and the state
that follows. An event without an entry is a bug of this node.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from ..state_machine import transition_function

__all__ = ["CLOSING_STATES", "HEALTHY_STATES", "TRANSITIONS", "ServiceEvent", "ServiceState", "next_state"]


class ServiceState(IntEnum):
    """Service state of the node."""

    SERVING = 0
    """The node is healthy, and connections are kept alive."""

    DRAINING = 1
    """The node reports itself as not healthy; connections are kept alive, as clients still arrive."""

    CLOSING = 2
    """The node reports itself as not healthy, and each response closes its connection."""

    HANDING_OVER = 3
    """Each response closes its connection; new ones go to another process of this node, which is healthy."""


class ServiceEvent(IntEnum):
    """Action of an operator or of the shutdown that changes the service state."""

    DRAIN_STARTED = 0
    """The node is to receive no more clients."""

    CLOSING_STARTED = 1
    """Connected clients are to reconnect elsewhere after their next response."""

    RESUMED = 2
    """An operator puts a drained node back into service."""


_S = ServiceState
_E = ServiceEvent

TRANSITIONS: Mapping[ServiceState, Mapping[ServiceEvent, ServiceState]] = {
    _S.SERVING: {
        _E.DRAIN_STARTED: _S.DRAINING,
        _E.CLOSING_STARTED: _S.HANDING_OVER,
    },
    # DRAIN_STARTED occurs here if the process of a drained node is shut down.
    _S.DRAINING: {
        _E.DRAIN_STARTED: _S.DRAINING,
        _E.CLOSING_STARTED: _S.CLOSING,
        _E.RESUMED: _S.SERVING,
    },
    _S.CLOSING: {
        _E.DRAIN_STARTED: _S.CLOSING,
        _E.CLOSING_STARTED: _S.CLOSING,
        _E.RESUMED: _S.SERVING,
    },
    # DRAIN_STARTED occurs here if an operator drains the node during the hand-over.
    _S.HANDING_OVER: {
        _E.DRAIN_STARTED: _S.CLOSING,
        _E.CLOSING_STARTED: _S.HANDING_OVER,
    },
}

HEALTHY_STATES = frozenset((_S.SERVING, _S.HANDING_OVER))
CLOSING_STATES = frozenset((_S.CLOSING, _S.HANDING_OVER))

next_state = transition_function(TRANSITIONS)
