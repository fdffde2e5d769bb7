"""What the balancer records about servers, requests and attempts. State only: nothing is decided here.

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
    """What the balancer knows of a server.

    Parameters
    ----------
    server_id
        The id under which the list names it.
    first_ejection
        How long (ns) it is ejected when it first proves an outlier.
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
        self.nominal_size = 1.0  # size as the list gives it
        self.reported_load = 0.0  # requests per core, where the list has it, less by the list's age

        # Capacity
        self.size = 1.0  # estimated, when warm and healthy
        self.slowdown = 1.0  # response time relative to what its size promises
        self.effective_capacity = 1.0  # estimated, at present

        # Idle index and speed class
        self.speed_class: SpeedClass | None = None  # None: it gets no requests
        self.ownership_rank = 0.0  # this node's rank among the owners, uniform from 0 to 1
        self.in_idle_index = True  # whether it may be in this node's idle index
        self.idle_position = -1  # in its speed class's list of idle servers, -1: not in it
        self.idle_from = 0  # when this node may take it for idle again

        # Slow start
        self.slow_start_factor = 1.0  # least share of its size that it can do at its age
        self.slow_start_interval = 0  # ns between two sends of this node while it starts
        self.slow_start_send_at = -1  # when the next send is allowed, -1: not known yet

        # Attempts in flight
        self.in_flight = 0  # this node's and those that peers report
        self.peer_in_flight = 0  # those that peers report
        self.open_attempts = 0  # this node's that have not ended: also those that wait for a request's body

        # Health
        self.failure_rate = 0.0  # moving share of this node's attempts
        self.reported_failure_rate = 0.0  # as the server reports it
        self.reported_failure_until = 0  # until when that is valid
        self.consecutive_connect_failures = 0
        self.consecutive_timeouts = 0
        self.last_answer_at = 0  # of any kind

        # Outlier ejection
        self.ejected_until = 0
        self.next_ejection = first_ejection  # duration (ns) of the next ejection
        self.on_probation = False  # ejected, and has not shown since that it is healthy

        # When (ns) each tenant that it rejects may be sent there again
        self.rejected_tenants: dict[int, int] = {}


class SpeedClass:
    """Servers of about one speed, in local or in remote zones, with the list of the idle ones.

    Attributes
    ----------
    idle
        Idle servers in any order; each server knows its position.
    pending_idle
        A heap of (idle from, tie-break, server): servers that may become idle.
    """

    __slots__ = ("idle", "pending_idle")

    def __init__(self) -> None:
        self.idle: list[TrackedServer] = []
        self.pending_idle: list[tuple[int, int, TrackedServer]] = []


class RequestPhase(Enum):
    """Where a request is on its way."""

    ACTIVE = 0  # an attempt is in flight, or is being decided
    WAITING = 1  # for a server that may be used
    FINISHED = 2  # answered, or the client has left; attempts may still be in flight


# By names of this module: a look-up in an enum costs 0.2 µs, and each request makes several.
ACTIVE = RequestPhase.ACTIVE
FINISHED = RequestPhase.FINISHED


class TrackedRequest:
    """What the balancer knows of a request that has no final answer, or has attempts in flight."""

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
        self.cost = event.cost  # hint: work relative to others of its class, 0: none
        self.limits: Limits | None = event.limits
        self.deadline = now + event.time_left
        self.phase = ACTIVE
        self.body_pending = event.body_pending  # its last byte has not come yet
        self.streaming = False  # an attempt's response has begun
        self.attempts: list[TrackedAttempt] = []
        self.in_flight_attempts = 0


class TrackedAttempt:
    """What the balancer knows of one attempt of a request at a server."""

    __slots__ = ("cell", "in_flight_at_send", "is_counted", "result", "sent_at", "server", "zone")

    def __init__(self, server: TrackedServer, sent_at: int) -> None:
        self.server = server
        self.zone = server.zone  # of the server when it was sent
        self.cell = server.cell
        self.sent_at = sent_at
        self.in_flight_at_send = server.in_flight  # other attempts there at that time
        self.is_counted = False  # among the server's attempts in flight
        self.result: Result | None = None  # None: in flight
