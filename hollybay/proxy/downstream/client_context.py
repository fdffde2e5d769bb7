"""What client connections share: their table, memory budgets, room for requests, and the policy in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol, TypeVar

from ..config import Config
from ..ports import PolicyAgreement
from ..request_dispatcher import RequestDispatcher
from ..streaming_body import RetentionBudget
from .body_budget import BodyBudget
from .connection_table import ConnectionTable, TrackedConnection
from .recent_request_ids import RecentRequestIds
from .service_state import HEALTHY_STATES, ServiceEvent, ServiceState, next_state

if TYPE_CHECKING:
    # The pure package of the operator file, which a node without one does not import.
    from hollybay.routing.admission_control import AdmissionControl

__all__ = ["ACCEPT_BATCH", "ClientContext", "ClosableConnection", "PhaseTimeouts"]

# Connections accepted at once beyond those that there is room for; others are closed for them.
ACCEPT_BATCH = 8
# Requests may be unfinished up to one for so many descriptors.
UNFINISHED_REQUESTS_DIVISOR = 3
# Client connections are kept between requests up to one descriptor in so many.
KEPT_CONNECTIONS_DIVISOR = 4


@dataclass(slots=True)
class PhaseTimeouts:
    """How long (s) a connection may stay in a phase without progress.

    They guard against connections that send nothing, half requests, bodies that never end, and clients
    that do not read. They harm a client that needs longer for one request of 64 KiB, or that pauses between
    two requests (it then opens a new connection).

    Attributes
    ----------
    silent
        Connected, no byte yet.
    unfinished
        From a request's first byte to the end of its head; its body has the time of `MIN_BODY_BYTES_PER_S`
        beside.
    idle
        From a response to the next request.
    idle_when_crowded
        The same, while there are more than `max_kept_connections`.
    writing
        Nothing read of a response.
    """

    silent: float = 2.0
    unfinished: float = 2.4
    idle: float = 2.0
    idle_when_crowded: float = 0.1
    writing: float = 3.0


class ClosableConnection(TrackedConnection, Protocol):
    """What the context asks of a connection."""

    def close_if_idle(self) -> None:
        """Close a connection that has no request under way, in order."""
        ...

    def abort(self) -> None:
        """Close at once."""
        ...


C = TypeVar("C", bound=ClosableConnection)


class ClientContext(ConnectionTable[C]):
    """What client connections share.

    Parameters
    ----------
    limit
        Connections that clients may hold.

    Attributes
    ----------
    max_unfinished_requests
        Requests that may wait for their response at once. Clients hold as many connections at most: with one
        more, none would be left to accept others on.
    max_kept_connections
        Connections that may be kept between requests or wait for a response; beyond, idle ones close early.
    phase_timeouts
        How long a connection may stay in a phase.
    body_budget, streaming_budget
        Memory for bodies that are held until they are complete, and for those that are streamed.
    admission
        Admission control by the operator file; None: there is no such file.
    policy_agreement
        Whether the policy in force here is in force at all nodes; None: nodes do not agree on policies.
    limited_requests
        Requests that limits have turned away since the balancer was last told.
    service_state
        How far the node is out of service. Each of the three that follow is set once and independent of it.
    ready
        The node has a server list. An operator may drain it before.
    is_shutting_down
        The process is ending and is not put back into service. An operator may have drained it before.
    forwarding_stopped
        The last responses are being given and the process is about to exit: no request is forwarded.
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
        self.body_budget = BodyBudget(config.body_budget)
        self.streaming_budget = RetentionBudget(config.body_budget // 2)
        self.recent_ids = RecentRequestIds()
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
        """Go to the state of service that follows an event."""
        self.service_state = next_state(self.service_state, event)

    @property
    def is_full(self) -> bool:
        """Whether one more pending request would leave no connection to accept others on."""
        return self.dispatcher.unfinished_requests >= self.max_unfinished_requests

    @property
    def free_slot_share(self) -> float:
        """The free part (0 to 1) of `max_unfinished_requests`."""
        return max(0.0, 1.0 - self.dispatcher.unfinished_requests / self.max_unfinished_requests)

    def take_limited_requests(self) -> int:
        """Return how many requests limits have turned away since the last call."""
        count, self.limited_requests = self.limited_requests, 0
        return count

    def admit(self, conn: C) -> None:
        """Add a new connection, closing others if there are too many."""
        self.connections[conn] = None
        self.move(conn, self.silent)
        self.make_room()

    def make_room(self) -> None:
        """Close the connections whose close costs least until there are no more than the limit."""
        while len(self.connections) > self.limit:
            conn = self.find_disposable()
            if conn is None:
                return
            conn.abort()
            self.remove(conn)

    def close_excess_idle(self) -> None:
        """Close the connections that have been idle longest while there are too many to keep.

        Otherwise clients that send one request and stay would hold all connections that clients may have. A
        client that comes back to a closed one opens a new one, which costs it a round trip.
        """
        excess = len(self.idle) + self.dispatcher.unfinished_requests - self.max_kept_connections
        if excess > 0:
            before = self.loop.time() - self.phase_timeouts.idle_when_crowded
            for conn in self.overdue(self.idle, before)[:excess]:
                conn.close_if_idle()

    def close_idle(self) -> None:
        """Close all connections that have no request under way."""
        for phase in (self.idle, self.silent):
            for conn in list(phase):
                conn.close_if_idle()
