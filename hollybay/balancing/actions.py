"""The actions by which the decision module answers an event; verbs, carried out by the caller in order.

Times and durations are integer nanoseconds on the caller's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import ServerId


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, ... in the order sent.

    Attributes
    ----------
    id, server
        The request and the server.
    timeout
        After which time (ns) the attempt is given up, 0: at the request's deadline.
    write_deadline
        When (ns) the request's last byte must have been written, 0 for no such time. Later the server might
        not recognise a duplicate.
    """

    id: int
    server: ServerId
    timeout: int = 0
    write_deadline: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, and trying again is harmless.

    Attributes
    ----------
    id
        The request.
    retry_after
        The time (ns) after which its client may come back, 0: not said.
    """

    id: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer to a request (its id): failed, and it may have had an effect."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt of a request, both by number."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load report."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this node's idle connections to a server."""

    server: ServerId


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired event with a token after a delay (ns)."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchServers:
    """Poll or watch the server list, or stop doing so."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchServers:
    """Ask for the whole server list, once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Send | Reject | Fail | Cancel | Probe | CloseIdle | SetTimer | WatchServers | FetchServers | Log
