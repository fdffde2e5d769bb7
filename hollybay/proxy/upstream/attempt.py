"""One attempt at a request: which server, until when, and how it ended."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollybay.balancing import interface as api

from .. import system
from ..http_messages import ForwardedRequest, ForwardedResponse
from ..pending_request import PendingRequest
from ..ports import Client

__all__ = ["AttemptConnection", "AttemptObserver", "UpstreamAttempt"]


class AttemptObserver(Protocol):
    """Who is notified of how attempts go."""

    def is_awaited(self, attempt: UpstreamAttempt) -> bool:
        """Tell whether anybody still waits for it; asked before its first byte, and before its last."""

    def response_started(self, attempt: UpstreamAttempt, response: ForwardedResponse) -> Client | None:
        """Take note that a streamed response begins; return where it goes, None to give the attempt up."""

    def attempt_finished(self, attempt: UpstreamAttempt, response: ForwardedResponse | None) -> None:
        """Take the result of an attempt, and its response where that was kept until it was whole."""


class AttemptConnection(Protocol):
    """What an attempt asks of the connection that carries it."""

    attempt: UpstreamAttempt | None

    def set_reading(self, reading: bool) -> None:
        """Read from the socket, or leave to the kernel what comes."""

    def close(self) -> None:
        """Close at once."""


class UpstreamAttempt:
    """One attempt at a request. Ends exactly once, with a result.

    Parameters
    ----------
    message
        What is sent.
    server
        Where it is sent.
    deadline
        When the attempt ends at the latest, in ns of the monotonic clock.
    observer
        Who is notified of the response and of the result.
    is_safe
        Whether the request's class is SAFE; a KEYED one is held back like an UNSAFE one, though it may be
        retried.
    streamed
        Whether the response is passed on as it comes.
    request
        The client's request that the attempt belongs to; None: a health check.
    number
        0 for the first attempt at the request, then 1, and so on.
    write_deadline
        When (ns) its last byte has to be written at the latest; 0: no such time.
    """

    __slots__ = (
        "connecting",
        "connection",
        "deadline",
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
        # When (ns) it began, or the last byte of a streamed body was written: response times count from here.
        self.sent_at = system.monotonic_ns()
        self.response_started = 0  # ns; when the first bytes of a streamed response came, 0: none has
        self.read_delay = 0  # ns; for how long the end of the response was here before the node read it
        self.request_written = False  # its last byte was handed over: from here on it may have run
        self.result: api.Result | None = None
        self.report: tuple[float, ...] = ()
        self.connection: AttemptConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        # The attempts at the same server that are not whole on the wire yet, this one among them.
        self.unwritten_attempts: dict[UpstreamAttempt, None] | None = None

    def cancel(self) -> None:
        """Stop waiting; the connection is closed."""
        self.end(api.Result.CANCELLED)

    def connection_lost(self) -> None:
        """End because the connection is gone, or because what came on it is no response."""
        self.end(api.Result.NOT_DELIVERED)

    def response_time(self) -> int:
        """Return the time (ns) to the first bytes of a streamed response, else to the last ones, now."""
        ended = self.response_started or system.monotonic_ns() - self.read_delay
        return max(0, ended - self.sent_at)

    def set_reading(self, reading: bool) -> None:
        """Apply the back-pressure of the client that the response is passed on to."""
        if self.connection is not None:
            self.connection.set_reading(reading)

    def end(self, result: api.Result, response: ForwardedResponse | None = None) -> None:
        """Take the first result, and notify the observer; a connection still in use is closed."""
        if self.result is not None:
            return
        if result == api.Result.TIMEOUT and not self.request_written:
            result = api.Result.NOT_DELIVERED  # a server begins a request when its last byte has come
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
