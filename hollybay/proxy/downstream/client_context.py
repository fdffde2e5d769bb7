"""State shared by all client connections: their table, memory budgets, request limits, and the policy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

from ..config import Config
from ..interfaces import PolicyAgreement
from ..request_dispatcher import RequestDispatcher
from ..streaming_body import RetentionBudget
from .body_budget import BodyBudget
from .connection_table import ConnectionTable, TrackedConnection
from .service_state import HEALTHY_STATES, ServiceEvent, ServiceState, next_state

if TYPE_CHECKING:
    # Imported at run time only by nodes with an operator file.
    from hollybay.routing.admission_control import AdmissionControl

__all__ = ["ACCEPT_BATCH", "ClientContext", "ClosableConnection", "PhaseTimeouts"]

# Connections accepted at once beyond the limit; older connections are closed to make room for them.
ACCEPT_BATCH = 8
# The limit of unfinished requests is the number of descriptors divided by this.
UNFINISHED_REQUESTS_DIVISOR = 3
# The limit of connections kept alive between requests is the number of descriptors divided by this.
KEPT_CONNECTIONS_DIVISOR = 4


@dataclass(slots=True)
class PhaseTimeouts:
    """How long (s) a connection may stay in each phase without progress.

    The timeouts protect against connections that send nothing, partial requests, bodies that never end, and
    clients that do not read. They penalise a client that needs longer to send a request of 64 KiB, and one
    that pauses between two requests, which then has to open a new connection.

    Attributes
    ----------
    silent
        From the connection to the first byte.
    unfinished
        From the first byte of a request to the end of its head; its body has additional time, by
        `MIN_BODY_BYTES_PER_S`.
    idle
        From a response to the next request.
    idle_when_crowded
        The same, while there are more connections than `max_kept_connections`.
    writing
        Time for which the client reads nothing of its response while there are bytes for it. A client that
        reads slowly may have a large buffer, whose free part the kernel announces only now and then.
    """

    silent: float = 2.0
    unfinished: float = 2.4
    idle: float = 2.0
    idle_when_crowded: float = 0.1
    writing: float = 8.0


class ClosableConnection(TrackedConnection, Protocol):
    """Interface of a connection, as far as the context uses it."""

    def close_if_idle(self) -> None:
        """Close the connection gracefully if it has no request in progress."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...

    def reject_unread(self) -> None:
        """Reject a request of which bytes have arrived that were not read or parsed."""
        ...


C = TypeVar("C", bound=ClosableConnection)


class ClientContext(ConnectionTable[C]):
    """State shared by all client connections.

    The three flags `ready`, `is_shutting_down` and `forwarding_stopped` are set once, independently of
    `service_state`.

    Parameters
    ----------
    config
        Configuration of the node.
    dispatcher
        Dispatcher of the requests.
    limit
        Maximum number of client connections.

    Attributes
    ----------
    max_unfinished_requests
        Maximum number of requests that wait for their response. It stays below the limit of connections, so
        that connections can still be accepted while this many requests wait.
    max_kept_connections
        Number of connections, idle or waiting for a response, beyond which idle ones are closed early.
    phase_timeouts
        How long a connection may stay in each phase.
    memory
        Memory for all that connections hold, those to servers included.
    body_budget, streaming_budget
        Part of it for bodies that are buffered until they are complete, and for those that are streamed.
    parse_turns
        Turns of the connections that have much to read or to parse, those to servers included.
    admission
        Admission control by the operator file; None without an operator file.
    policy_agreement
        Tells whether the policy in force here is in force at all nodes; None if nodes do not replicate it.
    limited_requests
        Number of requests rejected by limits since it was last reported to the balancer.
    service_state
        Whether the node is in service, draining or closing its connections.
    ready
        Whether the node has a server list. An operator may drain the node before it has one.
    is_shutting_down
        Whether the process is ending, after which the node cannot be put back into service. An operator may
        have drained it before.
    forwarding_stopped
        Whether the last responses are being sent and the process is about to exit: no request is forwarded.
    """

    def __init__(self, config: Config, dispatcher: RequestDispatcher, limit: int) -> None:
        super().__init__()
        self.config = config
        self.dispatcher = dispatcher
        self.limit = limit
        self.host = config.listen[0].encode()
        self.max_kept_connections = config.sockets // KEPT_CONNECTIONS_DIVISOR
        self.max_unfinished_requests = min(
            limit - 2 * ACCEPT_BATCH, config.sockets // UNFINISHED_REQUESTS_DIVISOR
        )
        self.memory = dispatcher.pools.memory
        self.body_budget = BodyBudget(config.body_budget, self.memory)
        self.streaming_budget = RetentionBudget(config.body_budget // 2, self.memory)
        self.parse_turns = dispatcher.pools.parse_turns
        self.phase_timeouts = PhaseTimeouts()
        self.admission: AdmissionControl | None = None
        self.policy_agreement: PolicyAgreement | None = None
        self.limited_requests = 0
        self.service_state = ServiceState.SERVING
        self.ready = False
        self.is_shutting_down = False
        self.forwarding_stopped = False

    @property
    def is_healthy(self) -> bool:
        """Whether the load balancer in front may send clients here."""
        if not self.ready or self.service_state not in HEALTHY_STATES:
            return False
        return self.policy_agreement is None or self.policy_agreement.may_begin_request()

    def advance(self, event: ServiceEvent) -> None:
        """Change the service state by an event."""
        self.service_state = next_state(self.service_state, event)

    @property
    def is_full(self) -> bool:
        """Whether the limit of unfinished requests is reached, so that the next one must be rejected."""
        return self.dispatcher.unfinished_requests >= self.max_unfinished_requests

    @property
    def free_slot_share(self) -> float:
        """The unused share (0 to 1) of `max_unfinished_requests`."""
        return max(0.0, 1.0 - self.dispatcher.unfinished_requests / self.max_unfinished_requests)

    def take_limited_requests(self) -> int:
        """Return the number of requests rejected by limits since the last call."""
        count, self.limited_requests = self.limited_requests, 0
        return count

    def add_connection(self, conn: C) -> None:
        """Register a new connection; others are closed if there are too many."""
        self.connections[conn] = None
        self.move(conn, self.silent)
        self.make_room()

    def make_room(self) -> None:
        """Close connections, those with the least cost of closing first, until the limit is met."""
        while len(self.connections) > self.limit:
            conn = self.find_disposable()
            if conn is None:
                return
            conn.abort()
            self.remove(conn)

    def close_excess_idle(self) -> None:
        """Close the connections that have been idle longest while there are too many to keep alive.

        Otherwise clients that send one request and stay connected would occupy all client connections. A
        client that comes back after a close opens a new connection, which costs it one round trip.
        """
        excess = len(self.idle) + self.dispatcher.unfinished_requests - self.max_kept_connections
        if excess > 0:
            before = self.loop.time() - self.phase_timeouts.idle_when_crowded
            for conn in self.overdue(self.idle, before)[:excess]:
                conn.close_if_idle()

    def reject_unread(self) -> None:
        """Reject all requests of which bytes have arrived that were not read or parsed."""
        for conn in list(self.unfinished):
            conn.reject_unread()

    def close_idle(self) -> None:
        """Close all connections that have no request in progress."""
        for phase in (self.idle, self.silent):
            for conn in list(phase):
                conn.close_if_idle()
