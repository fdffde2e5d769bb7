"""The events that the decision module takes in.

Times and durations are integer nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .settings import DeduplicationScope, ListKind, Report, Result, Server, ServerId

# Those of each request are not frozen, as that doubles the cost of making one.


@dataclass(frozen=True, slots=True)
class ServerList:
    """A list of servers from discovery, or the failure to get one.

    Attributes
    ----------
    kind
        What the list holds.
    servers
        Its entries; none where it failed.
    version
        The list's number at discovery, 0: none. Not used in decisions.
    """

    kind: ListKind
    servers: tuple[Server, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a route allows a request, within what its class and the settings allow; durations in ns.

    Attributes
    ----------
    attempts, attempt_timeout
        The most attempts, and the timeout of each; 0: not set.
    hedges
        The number of hedges, -1: not set. A request is hedged if this or the delay is set.
    hedge_delay
        The time after which a request is hedged, 0: not set.
    retry_window, retry_scope
        How long after the first attempt, and where, a keyed request may be retried; 0 and None: not set.
    retry_share, budget
        Retries and hedges as a share of the requests with the same budget; negative: no limit.
    retry_after
        Bounds between which the Retry-After of a rejection is drawn; (0, 0): as the settings say.
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
    """A client's request, which must get one final answer.

    Attributes
    ----------
    id, class_index, tenant
        Its number, class and tenant.
    time_left
        The time (ns) in which it must be answered.
    key
        A hash of its session key, 0: none. Not used in decisions.
    cost
        Its work relative to others of its class, 0: not known.
    is_retry
        Whether its client asks again. Not used in decisions.
    queued_time
        How long (ns) it was queued before the node read it: how late the node itself is.
    limits
        What its route allows; None: what its class and the settings allow.
    free_slot_share
        The free share (0 to 1) of the node's slots for pending requests.
    body_pending
        Whether its body is still on its way; a server begins with the last byte (RequestCompleted).
    limited_before
        Requests that limits have turned away since the one before, which the balancer has not seen.
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
    limited_before: int = 0


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The last byte of a request (its id) has come whose body was pending."""

    id: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has begun on this attempt; its deadline no longer applies.

    Attributes
    ----------
    id, attempt, server
        The request, the attempt's number, and its server.
    rtt
        Time (ns) since it was sent.
    """

    id: int
    attempt: int
    server: ServerId
    rtt: int = 0


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended.

    Attributes
    ----------
    id, attempt, server
        The request, the attempt's number, and its server.
    result
        How it ended.
    rtt
        Time (ns) since it was sent.
    final
        Whether the request has its answer.
    report
        The server's load report, as Settings.report_fields names its values.
    """

    id: int
    attempt: int
    server: ServerId
    result: Result
    rtt: int
    final: bool = False
    report: Report = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request (its id) has left; the request needs no answer."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due; the token is that of its SetTimer."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe. Not used in decisions.

    Attributes
    ----------
    server, result
        The server, and how the probe ended.
    rtt
        Time (ns) since it was sent.
    report
        The server's load report, as Settings.report_fields names its values.
    """

    server: ServerId
    result: Result
    rtt: int
    report: Report = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node (its number). Not used in decisions."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Attempts of all other nodes in flight at servers, where nodes report to each other.

    Attributes
    ----------
    in_flight
        By server; those not named are as they were.
    nodes
        The number of other nodes that report now, 0: none.
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
