"""The whole interface of the decision module: settings, events in, actions out.

Times are integer nanoseconds on the caller's monotonic clock, durations likewise. Server ids are any hashable
value and are handed back unaltered. Request classes, tenants, zones and machine kinds are numbers from 0.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

# Part of the settings' idle limit after which a node closes a connection itself: the rest is for clocks and
# the wire. Until then the module may take one that has rested for kept.
IDLE_PART = 0.8

ServerId = Hashable
Report = tuple[float, ...]


class Effect(IntEnum):
    """May a request of this class run more than once?"""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class DeduplicationScope(IntEnum):
    """Which servers drop the repeat of a keyed request: any, those of one zone, those of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class WeightMode(IntEnum):
    """What a weight says: nothing, the size, the size roughly, or size / (1 + requests held per core)."""

    NONE = 0
    NOMINAL = 1
    ROUGH = 2
    LIVE = 3


class ReportMode(IntEnum):
    """Where load reports come from."""

    NONE = 0
    ANSWERS = 1
    PROBES = 2


class ServerState(IntEnum):
    """State of a server in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """Changed entries, the whole list, a possibly outdated whole, or the news that asking failed."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# Outcomes that prove that the attempt had no effect; after any other it may have run.
NEVER_RAN = frozenset({Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request: what an answer is worth, by when, and whether it may be repeated."""

    name: str
    effect: Effect
    priority_weight: float
    latency_objective: int
    deadline: int
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer sharing the service; the allowance is requests a second over all nodes (0: not known)."""

    name: str
    share: float
    allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Service lost: per crossing, handshake or probe a request, per 100 connections a server, by waste."""

    crossing: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    waste: float = 0.0
    late_failure: float = 0.0
    probe: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a node is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zones: int = 1
    kinds: int = 1
    zone: int = 0
    node: int = 0
    nodes: int = 1
    tick: int = 1_000_000
    weight_mode: WeightMode = WeightMode.NONE
    report_mode: ReportMode = ReportMode.NONE
    report_fields: tuple[str, ...] = ()
    must_poll: bool = False
    max_attempts: int = 3
    hedging_allowed: bool = False
    cancel_allowed: bool = True
    probes_allowed: bool = False
    over_share_weight: float = 1.0
    weight_by_work: bool = False
    connect_timeout: int = 250_000_000
    idle_timeout: int = 15_000_000_000
    streams: int = 1
    max_retry_after: int = 0
    answer_grace: int = 0
    drain_grace: int = 0
    cold_share: float = 1.0
    warm_up: int = 0
    overload_multiple: float = 4.0
    overload_window: int = 2_000_000_000
    poll_within: int = 0
    prices: Prices = field(default_factory=Prices)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one request class is needed")
        for name in (
            "zones",
            "kinds",
            "nodes",
            "tick",
            "max_attempts",
            "streams",
            "connect_timeout",
            "overload_window",
        ):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1, is {getattr(self, name)}")
        if not 0 <= self.node < self.nodes:
            raise ValueError(f"node: {self.node} is not among {self.nodes} nodes")
        if not 0 <= self.zone < self.zones:
            raise ValueError(f"zone: {self.zone} is not among {self.zones} zones")
        if not 0.0 < self.cold_share <= 1.0:
            raise ValueError(f"cold_share: must be above 0 and at most 1, is {self.cold_share}")
        if not self.overload_multiple > 0.0:
            raise ValueError(f"overload_multiple: must be above 0, is {self.overload_multiple}")
        for c in self.classes:
            if c.latency_objective < 1 or c.deadline < 1:
                raise ValueError(f"classes.{c.name}: aim and deadline must be at least 1 ns")
            if not c.priority_weight >= 0.0:
                raise ValueError(f"classes.{c.name}: worth must not be negative")


@dataclass(frozen=True, slots=True)
class Server:
    """One line of the server list."""

    id: ServerId
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    up_since: int = 0


# Events. Those that come and go with every request are not frozen: that would double the cost of making one.


@dataclass(frozen=True, slots=True)
class ServerList:
    """What is told of the servers."""

    kind: ListKind
    servers: tuple[Server, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """What an operator allows a request, within what its class and the settings allow; durations in ns.

    attempts, attempt_timeout, copy_delay, repeat_window: 0 where nothing is said. copies: -1 where nothing is
    said, else the second copies; without a word on it or on copy_delay there are none.
    repeat_group: where a keyed repeat may go, None as the class says.
    retry_share: repeats and copies as a share of the requests of the same budget, negative: no such limit.
    retry_after: between which bounds Retry-After of a refusal is drawn, (0, 0) as the settings say.
    """

    attempts: int = 0
    attempt_timeout: int = 0
    hedges: int = -1
    hedge_delay: int = 0
    retry_window: int = 0
    retry_scope: DeduplicationScope | None = None
    retry_share: float = -1.0
    budget: str = ""
    retry_after: tuple[int, int] = (0, 0)


@dataclass(slots=True)
class Request:
    """A client's request; the node owes it one final answer within time_left.

    waited: how long it was here before the node came to read it. It shows that the node itself is late.
    room: the free share, 0 to 1, of the places that the node has for requests that wait for their answer.
    sending: its body is on its way; a server begins with its last byte, of which RequestCompleted tells.
    limits: what its route allows; None: what its class and the settings allow.
    """

    id: int
    class_index: int
    time_left: int
    tenant: int = 0
    key: int = 0
    cost: int = 0
    is_retry: bool = False
    queued_time: int = 0
    limits: Limits | None = None
    free_slot_share: float = 1.0
    body_pending: bool = False


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a request has come that was handed over while its body was on its way."""

    id: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed answer has begun on this attempt; its deadline no longer runs."""

    id: int
    attempt: int
    server: ServerId
    rtt: int = 0


@dataclass(slots=True)
class AttemptFinished:
    """How an attempt ended; final: the request is over and nothing is owed for it."""

    id: int
    attempt: int
    server: ServerId
    result: Result
    rtt: int
    final: bool = False
    report: Report = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left: the request is over."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The answer to a probe."""

    server: ServerId
    result: Result
    rtt: int
    report: Report = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """What all other nodes have at servers, where nodes may tell; those not named are as they were.

    nodes: how many others are heard now; 0: none, and the module is to go on without.
    """

    in_flight: Mapping[ServerId, int]
    nodes: int


Event = (
    ServerList
    | Request
    | RequestCompleted
    | ResponseStarted
    | AttemptFinished
    | ClientDisconnected
    | TimerFired
    | ProbeResult
    | PeerMessage
    | PeerLoad
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt, numbered 0, 1, ... in the order sent. timeout 0: until the deadline.

    until: when its last byte has to be written (clock of the events), 0 for no such time: later the server
    might not know the request for a repeat any more.
    """

    id: int
    server: ServerId
    timeout: int = 0
    until: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, trying again is harmless."""

    id: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its report."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this node's idle connections to a server."""

    server: ServerId


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired event after a delay."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchServers:
    """Subscribe to changes of the server list, or no longer."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchServers:
    """Ask for the whole server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Send | Reject | Fail | Cancel | Probe | CloseIdle | SetTimer | WatchServers | FetchServers | Log
