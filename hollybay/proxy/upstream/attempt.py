"""One attempt to run a request on a server."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollybay.balancing import interface as api

from .. import system
from ..http_messages import ForwardedRequest, ForwardedResponse
from ..interfaces import Client
from ..pending_request import PendingRequest

__all__ = ["AttemptConnection", "AttemptObserver", "UpstreamAttempt"]


class AttemptObserver(Protocol):
    """Observer that is notified of the progress of attempts."""

    def is_needed(self, attempt: UpstreamAttempt) -> bool:
        """Whether the attempt is still needed; called before its first and before its last byte is sent."""

    def response_started(self, attempt: UpstreamAttempt, response: ForwardedResponse) -> Client | None:
        """Handle the start of a streamed response; return its client, or None to cancel the attempt."""

    def attempt_stalled(self, attempt: UpstreamAttempt) -> None:
        """Handle a pause within a response: another attempt may be made beside this one."""

    def attempt_finished(self, attempt: UpstreamAttempt, response: ForwardedResponse | None) -> None:
        """Handle the end of an attempt; the response is given if it is complete and was not streamed."""


class AttemptConnection(Protocol):
    """Interface of the connection that carries an attempt, as far as the attempt uses it."""

    attempt: UpstreamAttempt | None

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading from the socket."""

    def close(self) -> None:
        """Close the connection at once."""


class UpstreamAttempt:
    """One attempt to run a request on a server. It ends exactly once, with a result.

    Parameters
    ----------
    message
        Message that is sent.
    server
        Server that it is sent to.
    deadline
        Latest end of the attempt (ns of the monotonic clock).
    observer
        Observer that is notified of the response and of the result.
    is_safe
        Whether the class of the request is SAFE. If not, the last byte of the request is held back for a
        moment; this includes KEYED classes, though their requests may be retried.
    streamed
        Whether the response is streamed from its first byte on.
    request
        The client's request that the attempt belongs to; None for a health check.
    number
        Number of the attempt within the request, from 0.
    write_deadline
        Time (ns) by which the last byte must be written; 0 if there is no limit.

    Attributes
    ----------
    is_reported
        Whether the balancer takes it for failed, as its response has stalled; it goes on all the same.
    """

    __slots__ = (
        "connecting",
        "connection",
        "deadline",
        "is_reported",
        "is_safe",
        "message",
        "number",
        "observer",
        "read_delay",
        "report",
        "request",
        "request_written",
        "response_started",
        "result",
        "sent_at",
        "server",
        "streamed",
        "timer",
        "unwritten_attempts",
        "write_deadline",
    )

    def __init__(
        self,
        message: ForwardedRequest,
        server: api.ServerId,
        deadline: int,
        observer: AttemptObserver,
        is_safe: bool = True,
        streamed: bool = False,
        request: PendingRequest | None = None,
        number: int = 0,
        write_deadline: int = 0,
    ) -> None:
        self.message: ForwardedRequest | None = message
        self.server = server
        self.deadline = deadline
        self.observer = observer
        self.is_safe = is_safe
        self.streamed = streamed
        self.request = request
        self.number = number
        self.write_deadline = write_deadline
        # Time (ns) from which response times count: the start of the attempt, or the time at which the last
        # byte of a streamed body was written.
        self.sent_at = system.monotonic_ns()
        self.response_started = 0  # time (ns) at which a streamed response began; 0 before
        self.read_delay = 0  # how long (ns) the end of the response waited in the kernel to be read
        self.request_written = False  # the kernel has the last byte: from now on the request may have run
        self.is_reported = False
        self.result: api.Result | None = None
        self.report: tuple[float, ...] = ()
        self.connection: AttemptConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        # The endpoint's table of attempts that are not completely written yet, to remove this one from.
        self.unwritten_attempts: dict[UpstreamAttempt, None] | None = None

    def cancel(self) -> None:
        """Cancel the attempt and close its connection."""
        self.end(api.Result.CANCELLED)

    def connection_lost(self) -> None:
        """End the attempt because its connection was lost, or received no valid response."""
        self.end(api.Result.NOT_DELIVERED)

    def response_time(self) -> int:
        """Return the time (ns) to the start of a streamed response, or else to its end, which is now."""
        ended = self.response_started or system.monotonic_ns() - self.read_delay
        return max(0, ended - self.sent_at)

    def set_reading(self, reading: bool) -> None:
        """Apply the back-pressure of the client to the connection that carries the attempt."""
        if self.connection is not None:
            self.connection.set_reading(reading)

    def end(self, result: api.Result, response: ForwardedResponse | None = None) -> None:
        """End the attempt with a result unless it has ended; a connection still in use is closed."""
        if self.result is not None:
            return
        if result == api.Result.TIMEOUT and not self.request_written:
            result = api.Result.NOT_DELIVERED  # a server runs a request only once it has the last byte
        elif result == api.Result.NOT_DELIVERED and self.request_written:
            result = api.Result.RESET
        self.result = result
        self.message = None
        if self.timer is not None:
            self.timer.cancel()
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.close()
            self.connection = None
        if self.unwritten_attempts is not None:
            self.unwritten_attempts.pop(self, None)
        self.observer.attempt_finished(self, response)
