"""Writing side of a connection to a server; `connection` adds the reading of responses.

A server runs a request only once it has the last byte. The piece with that byte is therefore written
separately and last: whatever fails before, the request has not run.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from hollybay.balancing import interface as api

from .. import system
from ..http_messages import ForwardedRequest, Headers
from ..memory_budget import MemoryBudget
from ..parse_turns import ParseTurns
from ..streaming_body import StreamingBody
from ..tcp_connection import TcpConnection
from .attempt import UpstreamAttempt
from .endpoint import Endpoint, PooledConnection
from .request_encoding import StreamingBodyEncoder
from .states import UpstreamConnectionEvent, UpstreamConnectionState, next_state

__all__ = ["LAST_BYTE_HOLD_S", "RequestSender", "SenderOwner", "connection_cost"]

# How long the last byte of a request that must not be repeated freely is held back: about one round trip plus
# the time to wake up the peer. If the connection is already dead, or is reset by the first bytes, this shows
# within that time, while it is still certain that the request has not run.
LAST_BYTE_HOLD_S = 0.003
# A server may send stray bytes (a duplicate response) some milliseconds after a response. A connection has
# settled this long after the end of its last response. Settled connections are used first. On any other one,
# the last byte of a request is held back until the connection has settled, so that stray bytes arrive before
# it and are not taken for the response.
SETTLE_S = 0.012
# Cost of another connection to a server, in settle times for which requests are held; see HoldBudget.
CONNECTION_COST_SETTLE_TIMES = 2.0


# Members used for each request, as names of this module: the look-up on the enum class costs 0.2 µs.
_CLOSED = UpstreamConnectionState.CLOSED
_LAST_PIECE_LEFT = UpstreamConnectionEvent.LAST_PIECE_LEFT
_REQUEST_SENT = UpstreamConnectionEvent.REQUEST_SENT


class SenderOwner(Protocol):
    """Interface of the pools that a connection belongs to, as far as the sender uses it."""

    loop: asyncio.AbstractEventLoop
    attempts_written: int
    parse_turns: ParseTurns
    memory: MemoryBudget

    def add_idle(self, connection: PooledConnection) -> None:
        """Add an idle connection to the pool of its server."""

    def remove_idle(self, connection: PooledConnection) -> None:
        """Remove a connection from the pool, if it is there."""


def connection_cost() -> float:
    """Return the total time (s) for which requests are held before another connection is opened."""
    return CONNECTION_COST_SETTLE_TIMES * SETTLE_S


class RequestSender(TcpConnection):
    """Writing side of a connection to a server; the connection carries one attempt at a time.

    Parameters
    ----------
    owner
        The pools that the connection belongs to.
    endpoint
        The server that it is connected to.
    sock
        The connected socket.

    Attributes
    ----------
    state
        State of the connection, for both directions; see `states`.
    attempt
        The attempt that it carries; None while it is idle.
    timer
        The only timer of the connection; None while it is not running.
    pieces
        Pieces of the request that are still to be written, in reverse order.
    streaming_body, body_encoder
        The streamed body of the request, and its encoder.
    response_ended_at
        Time (s, clock of the event loop) at which the last response ended.
    """

    def __init__(self, owner: SenderOwner, endpoint: Endpoint, sock: socket.socket) -> None:
        super().__init__(sock, owner.parse_turns, owner.memory)
        self.state = UpstreamConnectionState.CONNECTING
        self.owner = owner
        self.endpoint = endpoint
        self.attempt: UpstreamAttempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pieces: list[bytes | bytearray] = []
        self.streaming_body: StreamingBody | None = None
        self.body_encoder: StreamingBodyEncoder | None = None
        self.response_ended_at = 0.0

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt on this connection."""
        raise NotImplementedError

    def _fail(self) -> None:
        """End the attempt, if any, as the connection has failed."""
        raise NotImplementedError

    def is_alive(self) -> bool:
        """Whether the connection is open and has no unread bytes, by the state of the kernel.

        The event loop may not have seen a close or bytes that have already arrived.
        """
        if self.state is _CLOSED or not self.is_connected():
            return False
        # No request was completely sent, so unread bytes are no response to it, but would be taken for one.
        return not self.unread_bytes()

    def close(self) -> None:
        """Close the connection at once; unsent bytes are discarded."""
        self.stop_timer()
        self.leave_turns()
        if self.streaming_body is not None:
            self.streaming_body.detach(self)
            self.streaming_body = None
        self.owner.remove_idle(self)
        self.state = next_state(self.state, UpstreamConnectionEvent.CLOSE_REQUESTED)
        if self.state is not _CLOSED:
            self.transport.abort()

    def stop_timer(self) -> None:
        """Cancel the timer of the connection, if it is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_timer(self, delay: float, call: Callable[[], None]) -> None:
        """Start the timer of the connection with a delay (s), in place of the running one."""
        self.stop_timer()
        self.timer = self.owner.loop.call_later(delay, call)

    def keep(self) -> None:
        """Add the connection, which has carried nothing yet, to the pool, as another attempt can use it."""
        if not self.transport.is_closing():
            self.response_ended_at = self.owner.loop.time()
            self.owner.add_idle(self)

    def _begin_streaming(
        self, message: ForwardedRequest, streaming_body: StreamingBody, headers: Headers
    ) -> None:
        assert self.attempt is not None
        if streaming_body.is_taken:
            # Another attempt took the body while this connection was being opened.
            self.attempt.end(api.Result.NOT_SENT)
            return
        self.pieces = []
        self.streaming_body = streaming_body
        self.body_encoder = StreamingBodyEncoder(streaming_body)
        streaming_body.attach(self)
        self.transport.write(self.body_encoder.encode_head(message, headers))
        self._write()

    def body_available(self) -> None:
        """Continue with the streaming body: more of it is available, or it is complete."""
        self._write()

    def _write_available(self, streaming_body: StreamingBody, encoder: StreamingBodyEncoder) -> None:
        """Write the available part of a streaming body, except its last piece, with back-pressure."""
        while not self.is_write_buffered and not self.transport.is_closing():
            data = streaming_body.pull()
            if not data:
                break
            encoded = encoder.encode(data)
            if encoded:
                self.write_bytes(encoded)
        if streaming_body.is_exhausted and not self.is_write_buffered:
            self.pieces = [encoder.last_piece()]
            self.streaming_body = None
            streaming_body.detach(self)

    def resume_writing(self) -> None:
        """Continue with the request: the kernel has accepted everything that was written."""
        super().resume_writing()
        self._write()

    def _write(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if self.streaming_body is not None:
            assert self.body_encoder is not None
            self._write_available(self.streaming_body, self.body_encoder)
            if self.streaming_body is not None:
                return
        while len(self.pieces) > 1 and not self.is_write_buffered and not self.transport.is_closing():
            self.transport.write(self.pieces.pop())
        if self.is_write_buffered or self.timer is not None:
            return
        if len(self.pieces) == 1:
            self.state = next_state(self.state, _LAST_PIECE_LEFT)
            hold = self._hold_time(attempt)
            if hold > 0.0:
                self.start_timer(hold, self._write_last_piece)
            else:
                self._write_last_piece()
        elif not self.pieces:
            self._mark_written()

    def settle_time_left(self) -> float:
        """Return for how long (s) arriving bytes may still belong to the last response; <= 0 if settled."""
        return SETTLE_S - (self.owner.loop.time() - self.response_ended_at)

    def is_settled(self, now: float) -> bool:
        """Whether bytes that arrive at a loop time (s) cannot belong to the last response any more."""
        return self.response_ended_at <= now - SETTLE_S

    def _hold_time(self, attempt: UpstreamAttempt) -> float:
        """Return for how long (s) to hold back the last byte of a request; 0 if it is not held."""
        min_hold = 0.0 if attempt.is_safe else LAST_BYTE_HOLD_S
        return max(min_hold, self.settle_time_left())

    def _write_last_piece(self) -> None:
        """Write the piece with the last byte; until the kernel has accepted it, the request has not run."""
        self.stop_timer()
        if not self.is_alive():
            self._fail()
            return
        attempt = self.attempt
        if attempt is None:
            return
        if not attempt.observer.is_needed(attempt) or 0 < attempt.write_deadline <= system.monotonic_ns():
            attempt.end(api.Result.NOT_SENT)
            return
        # Set before the write: if the attempt ends between the write and the loop's next iteration, the
        # request may have run.
        attempt.request_written = True
        self.state = next_state(self.state, _REQUEST_SENT)
        self.transport.write(self.pieces.pop())
        if self.transport.is_closing():
            attempt.request_written = False  # the write failed at once
            self._fail()
        elif not self.is_write_buffered:
            self._mark_written()

    def _mark_written(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt not in self.endpoint.unwritten_attempts or self.transport.is_closing():
            return
        if attempt.message is not None and attempt.message.streaming_body is not None:
            # The response time of the server counts from the last byte, without the time to send the body.
            attempt.sent_at = system.monotonic_ns()
        self.owner.attempts_written += 1
        self.endpoint.unwritten_attempts.pop(attempt)
