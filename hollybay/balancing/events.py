"""The events that the decision module handles.

Times and durations are integer nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .settings import DeduplicationScope, ListKind, Report, Result, Server, ServerId

# Events that occur for each request are not frozen: frozen dataclasses cost twice as much to create.


@dataclass(frozen=True, slots=True)
class ServerList:
    """A list of servers from discovery, or the failure to get one.

    Attributes
    ----------
    kind
        What the list contains.
    servers
        Its entries; none for a failed poll.
    version
        The version of the list at discovery, 0: none. Not used in decisions.
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
        The largest number of attempts, and the timeout of each; 0: not set.
    hedges
        The number of hedges, -1: not set. A request is hedged if this or `hedge_delay` is set.
    hedge_delay
        The time after which a request is hedged, 0: not set.
    retry_window, retry_scope
        How long after the first attempt, and where, a keyed request may be retried; 0 and None: not set.
    retry_share, budget
        Retries and hedges as a share of the requests with the same budget, and the name of that budget; a
        negative share: no limit.
    retry_after
        Bounds between which the Retry-After of a rejection is drawn; (0, 0): as in the settings.
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
    """A client's request, which must get exactly one final response.

    Attributes
    ----------
    id, class_index, tenant
        Its number, class and tenant.
    time_left
        The time (ns) until its deadline.
    key
        A hash of its session key, 0: none. Not used in decisions.
    cost
        Its work relative to others of its class, 0: not known.
    is_retry
        Whether it is a retry by its client. Not used in decisions.
    queued_time
        How long (ns) it was queued before the node read it: the delay of the node itself.
    limits
        What its route allows; None: what its class and the settings allow.
    free_slot_share
        The free share (0 to 1) of the node's slots for pending requests.
    body_pending
        Whether its body is still being received; a server starts work with the last byte (RequestCompleted).
    limited_before
        The number of requests rejected by limits since the previous request; the balancer has not seen them.
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
    """The last byte of a request (its id) whose body was pending has been received."""

    id: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The streamed response to an attempt has started; its deadline no longer applies.

    Attributes
    ----------
    id, attempt, server
        The request, the attempt's number, and its server.
    rtt
        Time (ns) since the attempt was sent.
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
        Time (ns) since the attempt was sent.
    final
        Whether the request has its final response.
    report
        The server's load report; Settings.report_fields names its values.
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
    """The client of a request (its id) has disconnected; no response is needed."""

    id: int


@dataclass(slots=True)
class TimerFired:
    """A timer has fired; the token is that of its SetTimer action."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe. Not used in decisions.

    Attributes
    ----------
    server, result
        The server, and how the probe ended.
    rtt
        Time (ns) since the probe was sent.
    report
        The server's load report; Settings.report_fields names its values.
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
    """Attempts of all other nodes in flight, where nodes report their load to each other.

    Attributes
    ----------
    in_flight
        The attempts in flight by server; servers that are not named are unchanged.
    nodes
        The number of other nodes that report at present, 0: none.
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
