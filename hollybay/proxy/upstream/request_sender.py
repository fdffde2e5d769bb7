"""A connection to a server, as far as it writes requests; `connection` adds what reads the responses.

The piece with the last byte of a request is written last, as a server begins with that byte: until then,
whatever breaks, nothing has run.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from hollybay.balancing import interface as api

from .. import system
from ..http_messages import ForwardedRequest, Headers
from ..streaming_body import StreamingBody
from ..tcp_connection import TcpConnection
from .attempt import UpstreamAttempt
from .endpoint import Endpoint, PooledConnection
from .request_encoding import StreamingBodyEncoder
from .states import UpstreamConnectionEvent, UpstreamConnectionState, next_state

__all__ = ["LAST_BYTE_HOLD_S", "RequestSender", "SenderOwner", "connection_price"]

# How long the last byte of a request that must not be repeated freely is held back: about a round trip and
# the peer's waking up. A connection that is already dead, or reset by its first byte, breaks within it, while
# it is still certain that nothing ran.
LAST_BYTE_HOLD_S = 0.003
# A server may send stray bytes (a duplicate response) some milliseconds after a response. A connection is
# settled this long (s) after its last response ended. Settled ones are used first; on any other one the last
# byte of a request is held until then, so that stray bytes come before it and are not taken for its response.
SETTLE_S = 0.012
# A server's requests are held for as long as this many connections take to settle, together, before another
# connection is opened to it instead; see HoldAccount.
SETTLES_PER_CONNECTION = 2.0


# The states and events of each request, by names of this module: a look-up in an enum costs 0.2 µs.
_CLOSED = UpstreamConnectionState.CLOSED
_LAST_PIECE_LEFT = UpstreamConnectionEvent.LAST_PIECE_LEFT
_REQUEST_SENT = UpstreamConnectionEvent.REQUEST_SENT


class SenderOwner(Protocol):
    """What a connection that writes requests asks of the pools that it belongs to."""

    loop: asyncio.AbstractEventLoop
    written: int

    def pool(self, connection: PooledConnection) -> None:
        """Keep a connection for the next request to its server."""

    def unpool(self, connection: PooledConnection) -> None:
        """Take a connection out of the pool, if it is there."""


def connection_price() -> float:
    """Return for how long (s), together, requests are held before another connection is opened."""
    return SETTLES_PER_CONNECTION * SETTLE_S


class RequestSender(TcpConnection):
    """The writing side of a connection to a server; it carries one attempt at a time.

    Parameters
    ----------
    owner
        The pools that the connection belongs to.
    endpoint
        The server at its other end.
    sock
        Its socket.

    Attributes
    ----------
    state
        What the connection is doing, in both directions; see `states`.
    attempt
        The attempt that it carries; None: it is idle.
    timer
        The one timer of the connection; None: it does not run.
    pieces
        What is still to be written of the request, the last piece first.
    streaming_body, body_encoder
        The request's body that is being forwarded while it comes, and what frames it.
    response_ended_at
        When (s, the loop's clock) the last response ended.
    """

    def __init__(self, owner: SenderOwner, endpoint: Endpoint, sock: socket.socket) -> None:
        super().__init__(sock)
        self.state = UpstreamConnectionState.CONNECTING
        self.owner = owner
        self.endpoint = endpoint
        self.attempt: UpstreamAttempt | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.pieces: list[bytes] = []
        self.streaming_body: StreamingBody | None = None
        self.body_encoder: StreamingBodyEncoder | None = None
        self.response_ended_at = 0.0

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Carry an attempt."""
        raise NotImplementedError

    def _fail(self) -> None:
        """End the attempt, if there is one: the connection is of no more use to it."""
        raise NotImplementedError

    def is_alive(self) -> bool:
        """Tell whether the kernel knows the connection as open and has nothing to read.

        A close or bytes may have come that the loop has not seen yet.
        """
        if self.state is _CLOSED or not self.is_connected():
            return False
        # Nothing has been asked in full: bytes that wait to be read belong to no request, and would be taken
        # for the answer to the next one.
        return not self.unread_bytes()

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self.stop_timer()
        if self.streaming_body is not None:
            self.streaming_body.detach(self)
            self.streaming_body = None
        self.owner.unpool(self)
        self.state = next_state(self.state, UpstreamConnectionEvent.CLOSE_REQUESTED)
        if self.state is not _CLOSED:
            self.transport.abort()

    def stop_timer(self) -> None:
        """Cancel the timer of the connection, if it runs."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_timer(self, delay: float, call: Callable[[], None]) -> None:
        """Set the one timer of the connection; delay: s."""
        self.stop_timer()
        self.timer = self.owner.loop.call_later(delay, call)

    def return_unused(self, attempt: UpstreamAttempt) -> None:
        """Go back to the pool: nothing is to be written for an attempt after all."""
        self.response_ended_at = self.owner.loop.time()
        self.owner.pool(self)
        attempt.end(api.Result.NOT_SENT)

    def _begin_streaming(
        self, message: ForwardedRequest, streaming_body: StreamingBody, headers: Headers
    ) -> None:
        assert self.attempt is not None
        if streaming_body.is_taken:
            # A part of it has gone while this connection came up.
            self.attempt.end(api.Result.NOT_SENT)
            return
        self.pieces = []
        self.streaming_body = streaming_body
        self.body_encoder = StreamingBodyEncoder(streaming_body)
        streaming_body.attach(self)
        self.transport.write(self.body_encoder.encode_head(message, headers))
        self._write()

    def body_available(self) -> None:
        """Go on with a streaming body: there is more of it, or it is complete."""
        self._write()

    def _write_available(self, streaming_body: StreamingBody, encoder: StreamingBodyEncoder) -> None:
        """Write what has come of a streaming body, at the pace of the server, but for its last piece."""
        while not self.is_write_buffered and not self.transport.is_closing():
            data = streaming_body.pull()
            if not data:
                break
            encoded = encoder.encode(data)
            if encoded:
                self.transport.write(encoded)
        if streaming_body.is_exhausted and not self.is_write_buffered:
            self.pieces = [encoder.last_piece()]
            self.streaming_body = None
            streaming_body.detach(self)

    def resume_writing(self) -> None:
        """Go on with the request: the kernel has taken all that was written."""
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
            self._note_written()

    def settle_time_left(self) -> float:
        """Return for how long (s) what comes may still belong to the last response; 0 or less: no longer."""
        return SETTLE_S - (self.owner.loop.time() - self.response_ended_at)

    def is_settled(self, now: float) -> bool:
        """Tell whether nothing that comes at a loop time (s) can belong to the last response any more."""
        return self.response_ended_at <= now - SETTLE_S

    def _hold_time(self, attempt: UpstreamAttempt) -> float:
        """Return for how long (s) the last byte of a request is to be held; 0: not at all."""
        min_hold = 0.0 if attempt.is_safe else LAST_BYTE_HOLD_S
        return max(min_hold, self.settle_time_left())

    def _write_last_piece(self) -> None:
        """Write the piece with the last byte. Until the kernel has taken it, the request has not run."""
        self.stop_timer()
        if not self.is_alive():
            self._fail()
            return
        attempt = self.attempt
        if attempt is None:
            return
        if not attempt.observer.is_awaited(attempt) or 0 < attempt.write_deadline <= system.monotonic_ns():
            attempt.end(api.Result.NOT_SENT)
            return
        # The kernel may take the byte and the loop tell of it a turn later: whatever ends the attempt in
        # between, it may have run.
        attempt.request_written = True
        self.state = next_state(self.state, _REQUEST_SENT)
        self.transport.write(self.pieces.pop())
        if self.transport.is_closing():
            attempt.request_written = False  # refused at once
            self._fail()
        elif not self.is_write_buffered:
            self._note_written()

    def _note_written(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt not in self.endpoint.unwritten_attempts or self.transport.is_closing():
            return
        if attempt.message is not None and attempt.message.streaming_body is not None:
            # A server begins with the last byte: how long the body was on its way says nothing of it.
            attempt.sent_at = system.monotonic_ns()
        self.owner.written += 1
        self.endpoint.unwritten_attempts.pop(attempt)
