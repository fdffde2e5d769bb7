"""The balancer's records of servers, requests and attempts: state only, without decisions.

Times and durations are integer nanoseconds on the caller's clock. A server's size is its capacity relative to
other servers.
"""

from __future__ import annotations

from enum import Enum

from .interface import Limits, Request, Result, ServerId, ServerState

__all__ = [
    "ACTIVE",
    "FINISHED",
    "RequestPhase",
    "SpeedClass",
    "TrackedAttempt",
    "TrackedRequest",
    "TrackedServer",
]


class TrackedServer:
    """The balancer's record of a server.

    Parameters
    ----------
    server_id
        The server's id in the list.
    first_ejection
        The duration (ns) of its first ejection.
    """

    __slots__ = (
        "cell",
        "consecutive_connect_failures",
        "consecutive_timeouts",
        "effective_capacity",
        "ejected_until",
        "failure_rate",
        "id",
        "idle_from",
        "idle_position",
        "in_flight",
        "in_idle_index",
        "kind",
        "last_answer_at",
        "next_ejection",
        "nominal_size",
        "on_probation",
        "open_attempts",
        "ownership_rank",
        "peer_in_flight",
        "rejected_tenants",
        "reported_failure_rate",
        "reported_failure_until",
        "reported_load",
        "size",
        "slow_start_factor",
        "slow_start_interval",
        "slow_start_send_at",
        "slowdown",
        "speed_class",
        "state",
        "up_since",
        "weight",
        "zone",
    )

    def __init__(self, server_id: ServerId, first_ejection: int) -> None:
        # From the server list
        self.id = server_id
        self.zone = 0
        self.kind = 0  # of machine
        self.cell = 0
        self.state = ServerState.READY
        self.weight = 1.0
        self.up_since = 0  # when its process started, 0: long ago
        self.nominal_size = 1.0  # size according to the list
        self.reported_load = 0.0  # requests per core if the list reports it, reduced as the list gets older

        # Capacity
        self.size = 1.0  # estimated, when warm and healthy
        self.slowdown = 1.0  # response time relative to that expected from its size
        self.effective_capacity = 1.0  # estimated, at present

        # Idle index and speed class
        self.speed_class: SpeedClass | None = None  # None: it gets no requests
        self.ownership_rank = 0.0  # this node's rank among the owners, uniform from 0 to 1
        self.in_idle_index = True  # whether it may be in this node's idle index
        self.idle_position = -1  # in its speed class's list of idle servers, -1: not in it
        self.idle_from = 0  # when this node may list it as idle again

        # Slow start
        self.slow_start_factor = 1.0  # minimum share of its size that it has at its age
        self.slow_start_interval = 0  # ns between two sends of this node during slow start
        self.slow_start_send_at = -1  # when the next send is allowed, -1: not known yet

        # Attempts in flight
        self.in_flight = 0  # this node's attempts and those that peers report
        self.peer_in_flight = 0  # those that peers report
        self.open_attempts = 0  # this node's attempts without a result, also those with a pending body

        # Health
        self.failure_rate = 0.0  # moving share of this node's attempts that failed
        self.reported_failure_rate = 0.0  # as the server reports it
        self.reported_failure_until = 0  # when the report expires
        self.consecutive_connect_failures = 0
        self.consecutive_timeouts = 0
        self.last_answer_at = 0  # time of the last response, successful or not

        # Outlier ejection
        self.ejected_until = 0
        self.next_ejection = first_ejection  # duration (ns) of the next ejection
        self.on_probation = False  # ejected, without a sign of health since then

        # By tenant that it rejected: when (ns) requests of this tenant may be sent there again
        self.rejected_tenants: dict[int, int] = {}


class SpeedClass:
    """Servers of about the same speed, in local or in remote zones, and which of them are idle.

    Attributes
    ----------
    idle
        Idle servers in any order; `idle_position` is a server's position in it.
    pending_idle
        A heap of (idle from, tie-break, server): servers that may become idle later.
    """

    __slots__ = ("idle", "pending_idle")

    def __init__(self) -> None:
        self.idle: list[TrackedServer] = []
        self.pending_idle: list[tuple[int, int, TrackedServer]] = []


class RequestPhase(Enum):
    """The phases of a request."""

    ACTIVE = 0  # an attempt is in flight or about to be sent
    WAITING = 1  # no server may be used at present
    FINISHED = 2  # the response is final, or the client has disconnected; attempts may still be in flight


# Module-level names: a look-up of an enum member costs 0.2 µs, and each request makes several.
ACTIVE = RequestPhase.ACTIVE
FINISHED = RequestPhase.FINISHED


class TrackedRequest:
    """The balancer's record of a request that has no final response, or has attempts in flight."""

    __slots__ = (
        "attempts",
        "body_pending",
        "class_index",
        "cost",
        "deadline",
        "id",
        "in_flight_attempts",
        "limits",
        "phase",
        "streaming",
        "tenant",
    )

    def __init__(self, event: Request, now: int) -> None:
        self.id = event.id
        self.class_index = event.class_index
        self.tenant = event.tenant
        self.cost = event.cost  # hint: work relative to other requests of its class, 0: unknown
        self.limits: Limits | None = event.limits
        self.deadline = now + event.time_left
        self.phase = ACTIVE
        self.body_pending = event.body_pending  # its last byte has not been received yet
        self.streaming = False  # the streamed response to an attempt has started
        self.attempts: list[TrackedAttempt] = []
        self.in_flight_attempts = 0


class TrackedAttempt:
    """The balancer's record of one attempt of a request at a server."""

    __slots__ = ("cell", "in_flight_at_send", "is_counted", "result", "sent_at", "server", "zone")

    def __init__(self, server: TrackedServer, sent_at: int) -> None:
        self.server = server
        self.zone = server.zone  # of the server when it was sent
        self.cell = server.cell
        self.sent_at = sent_at
        self.in_flight_at_send = server.in_flight  # other attempts there at that time
        self.is_counted = False  # whether `in_flight` of the server includes it
        self.result: Result | None = None  # None: in flight
