"""The actions that the decision module returns for an event; the caller carries them out in order.

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
        The time (ns) after which the attempt times out, 0: at the request's deadline.
    write_deadline
        The time (ns) by which the request's last byte must have been written, 0: no limit. After that time
        the server might not recognise a duplicate.
    """

    id: int
    server: ServerId
    timeout: int = 0
    write_deadline: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Final response: the request had no effect, or a client may safely retry it.

    Attributes
    ----------
    id
        The request.
    retry_after
        The time (ns) after which its client may retry, 0: not stated.
    """

    id: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final response to a request (its id): it failed, and may have had an effect."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt (its number) of a request (its id)."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a server's load report."""

    server: ServerId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this node's idle connections to a server."""

    server: ServerId


@dataclass(slots=True)
class SetTimer:
    """Set a timer: a TimerFired event with the token is due after the delay (ns)."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchServers:
    """Start polling or watching the server list, or stop."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchServers:
    """Fetch the whole server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | Probe | CloseIdle | SetTimer | WatchServers | FetchServers | Log
