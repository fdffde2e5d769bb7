"""The settings of a node, and the types that they share with events and actions.

Times and durations are integer nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import IntEnum

# The share of the idle timeout after which a node closes an idle connection itself; the rest is a margin for
# clocks and the network. Until then the balancer assumes that the connection is open.
IDLE_CLOSE_SHARE = 0.8

ServerId = Hashable
Report = tuple[float, ...]


class Effect(IntEnum):
    """Whether a request of a class may run more than once: always, with a deduplication key, or never."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class DeduplicationScope(IntEnum):
    """Which servers recognise the duplicate of a keyed request: all, those of one zone, or of one cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


# The names of the scopes in the operator file and on the simulator's wire.
DEDUPLICATION_SCOPES = {scope.name.lower(): scope for scope in DeduplicationScope}


class WeightMode(IntEnum):
    """The meaning of a listed weight: none, the size, roughly the size, or size / (1 + requests per core)."""

    NONE = 0
    NOMINAL = 1
    ROUGH = 2
    LIVE = 3


class ReportMode(IntEnum):
    """The source of load reports: none, responses, or probes."""

    NONE = 0
    ANSWERS = 1
    PROBES = 2


class ServerState(IntEnum):
    """State of a server in the list; a draining one gets no new requests."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The content of a list: changed entries, all entries, all entries from a cache, or a failed poll."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # a response with an error: the request failed
    REJECTED = 2  # a response by which the server has not run the request
    TIMEOUT = 3  # no response in time, after the last byte was sent
    NOT_DELIVERED = 4  # ended before the last byte was sent: no connection, a broken one, or no time left
    RESET = 5  # the connection broke after the last byte was sent
    CANCELLED = 6  # by the balancer
    NOT_SENT = 7  # the node has not sent any byte


# Results that prove that an attempt had no effect; after any other result the request may have run.
NEVER_RAN = frozenset({Result.REJECTED, Result.NOT_DELIVERED, Result.NOT_SENT})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request.

    Attributes
    ----------
    name
        For messages.
    effect
        Whether it may run more than once.
    priority_weight
        The value of a response, relative to other classes.
    latency_objective
        The response time (ns) up to which a response has its full value.
    deadline
        The time (ns) after which clients stop waiting.
    late_weight
        The share (0 to 1) of its value that a late response has.
    deduplication_scope, deduplication_window
        Which servers recognise a duplicate of a keyed request, and for how long (ns) after the first attempt.
    streamed
        Whether responses are streams.
    """

    name: str
    effect: Effect
    priority_weight: float
    latency_objective: int
    deadline: int
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    streamed: bool = False

    def retry_window(self, route_window: int | None) -> int:
        """Return how long (ns) after the first attempt servers drop the duplicate of a keyed request.

        Parameters
        ----------
        route_window
            The window (ns) that the route allows, 0 or None: not stated. It only shortens that of the class.
        """
        if not route_window:
            return self.deduplication_window
        return min(route_window, self.deduplication_window)

    def validate(self) -> None:
        """Raise ValueError where a value is out of range."""
        if self.latency_objective < 1 or self.deadline < 1:
            raise ValueError(f"classes.{self.name}: latency_objective and deadline must be at least 1 ns")
        if not self.priority_weight >= 0.0:
            raise ValueError(f"classes.{self.name}: priority_weight must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer that shares the service.

    Attributes
    ----------
    name
        For messages.
    share
        Its share (0 to 1) of the service. Accepted and ignored.
    allowance
        Requests a second over all nodes, 0: not known. Accepted and ignored.
    """

    name: str
    share: float
    allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs in units of priority weight.

    Attributes
    ----------
    cross_zone
        Per request to another zone.
    handshake, probe
        Per new connection, and per probe. Accepted and ignored.
    connection
        Per 100 connections of a server. Accepted and ignored.
    waste, late_failure
        Of wasted work, and of a late failure. Accepted and ignored.
    """

    cross_zone: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    waste: float = 0.0
    late_failure: float = 0.0
    probe: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a node at its start; durations in ns.

    Some settings do not affect decisions, and are part of this class because operators supply them with the
    others: the proxy uses `connect_timeout`, `drain_grace` and `report_mode`, the checks of the testbed use
    `answer_grace` and `overload_window`. Settings that are not used at all are marked as accepted and
    ignored: their published keys stay valid, and their values are checked when they are parsed.

    Attributes
    ----------
    classes, tenants
        Request classes and tenants, by number.
    zones, kinds
        The number of zones, and of kinds of machines.
    zone, node, nodes
        This node's zone and number, and the number of nodes.
    tick
        The resolution of the clock.
    weight_mode
        The meaning of listed weights.
    report_mode, report_fields
        The source of load reports, and the names of their values in order.
    poll_required
        Whether discovery has to be polled for the server list.
    max_attempts
        The largest number of attempts of a request.
    hedging_allowed, cancel_allowed
        Whether two attempts of a request may be in flight, and attempts may be cancelled.
    probes_allowed
        Whether servers may be probed. Accepted and ignored.
    over_share_weight, weight_by_work
        The weight of a tenant's requests beyond its share, and whether its share is measured by work instead
        of requests. Accepted and ignored.
    connect_timeout, idle_timeout
        Timeouts of connections to servers: of connecting, and of idle connections.
    streams
        The number of concurrent requests of a connection. Accepted and ignored.
    max_retry_after
        The longest Retry-After of a rejection.
    answer_grace, drain_grace
        How long after its deadline a request may still get its response, and how long after the start of its
        drain a server may still get requests.
    cold_share, warm_up
        The share (0 to 1) of its capacity that a server has at its start, and the time until it has its
        full capacity.
    overload_multiple, overload_window
        The multiple of its present capacity up to which a starting server may get requests, and the window
        over which the checks of the testbed sum them up.
    poll_within
        The longest allowed time without a poll, 0 for no limit.
    prices
        Costs that decisions take into account.
    """

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
    poll_required: bool = False
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
        """Raise ValueError where a value is out of range."""
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
        for cls in self.classes:
            cls.validate()


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list.

    Attributes
    ----------
    id
        The server's id.
    zone, kind, cell
        Its zone, its kind of machine, and its cell.
    state
        Whether it accepts requests.
    weight
        Its weight; Settings.weight_mode gives the meaning.
    up_since
        When (ns) its process started, 0: long ago.
    """

    id: ServerId
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    up_since: int = 0
