"""One connection to a server: writes requests, holds back the last byte while that is safe, reads responses.

Which events lead to which state stands in `states`; this module holds what each event does. The piece with
the last byte of a request is written last, as a server begins with that byte: until then, whatever breaks,
nothing has run.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from hollybay.balancing import interface as api
from hollybay.units import MS

from .. import system
from ..http_messages import ForwardedRequest, ForwardedResponse, Headers, end_to_end_headers
from ..message_limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HELD_BODY_BYTES
from ..name_table import NameTable
from ..ports import Client
from ..streaming_body import StreamingBody
from ..tcp_connection import TcpConnection
from . import response_limits
from .attempt import Attempt
from .endpoint import Endpoint, PooledConnection
from .request_encoding import StreamingBodyEncoder, encode_request, headers_with_time_left
from .response_head import (
    INFORMATIONAL_FIRST_DIGITS,
    PLACEHOLDER_REQUEST,
    STATUS_OK,
    check_framing,
    read_head,
    result_of_failure,
)
from .states import ConnectionEvent, ConnectionState, next_state

__all__ = ["ConnectionOwner", "ServerConnection", "connection_price"]

# How long the last byte of a request that must not be repeated freely is held back: about a round trip and
# the peer's waking up. A connection that is already dead, or reset by its first byte, breaks within it, while
# it is still certain that nothing ran.
LAST_BYTE_HOLD_S = 0.003
# A server that sends more than belongs to an answer (a second copy, noise) may do so some milliseconds late.
# A connection is settled when its last answer ended so long ago (s). A settled one is taken before one that
# is not; on one that is not, the last byte of a request of whatever class is held until it is: what comes
# before that byte is no answer to it.
SETTLE_S = 0.012
# A server's requests are held for as long as this many connections take to settle, together, before another
# connection is opened to it instead; see HoldAccount.
SETTLES_PER_CONNECTION = 2.0

# The state and the events of each request, by names of this module: a look-up in an enum costs 0.2 µs.
_CLOSED = ConnectionState.CLOSED
_REQUEST_STARTED = ConnectionEvent.REQUEST_STARTED
_LAST_PIECE_LEFT = ConnectionEvent.LAST_PIECE_LEFT
_REQUEST_SENT = ConnectionEvent.REQUEST_SENT
_RESPONSE_STARTED = ConnectionEvent.RESPONSE_STARTED
_RESPONSE_COMPLETED = ConnectionEvent.RESPONSE_COMPLETED


class ConnectionOwner(Protocol):
    """What a connection asks of the pools that it belongs to."""

    loop: asyncio.AbstractEventLoop
    names: NameTable
    load_header: bytes
    not_for_clients: frozenset[bytes]
    written: int
    connections: set[ServerConnection]
    opening: set[Attempt]

    def pool(self, connection: PooledConnection) -> None:
        """Keep a connection for the next request to its server."""

    def unpool(self, connection: PooledConnection) -> None:
        """Take a connection out of the pool, if it is there."""

    def dropped(self, connection: ServerConnection) -> None:
        """Forget a connection that is gone."""


def connection_price() -> float:
    """Return for how long (s), together, requests are held before another connection is opened."""
    return SETTLES_PER_CONNECTION * SETTLE_S


class ServerConnection(TcpConnection):
    """One connection to a server; it carries one attempt at a time.

    Parameters
    ----------
    owner
        The pools that the connection belongs to.
    endpoint
        The server at its other end.
    opened_for
        The attempt for which it was opened, and which it carries first.
    sock
        Its socket.

    Attributes
    ----------
    attempt
        The attempt that it carries; None: it is idle.
    pieces
        What is still to be written of the request, the last piece first.
    streaming_body, body_encoder
        The request's body that is being forwarded while it comes, and what frames it.
    min_hold_s
        How long (s) the last byte of the request is held back at least.
    response, failure
        The head of the response, or what a head that brings no response to forward says of the attempt.
    body_pieces, body_size
        The body as far as it is held, and how many bytes of it came in all.
    client
        Where the response goes once it is streamed.
    bytes_received, last_received_at
        Bytes of the response as they came on the wire, and when (s, the loop's clock) the last ones came.
    response_ended_at
        When (s, the loop's clock) the last response ended.
    """

    def __init__(
        self, owner: ConnectionOwner, endpoint: Endpoint, opened_for: Attempt, sock: socket.socket
    ) -> None:
        super().__init__(sock)
        self.state = ConnectionState.CONNECTING
        self.opened_for: Attempt | None = opened_for
        self.owner = owner
        self.endpoint = endpoint
        self.attempt: Attempt | None = None
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.pieces: list[bytes] = []
        self.timer: asyncio.TimerHandle | None = None
        self.streaming_body: StreamingBody | None = None
        self.body_encoder: StreamingBodyEncoder | None = None
        self.min_hold_s = 0.0
        self.response: ForwardedResponse | None = None
        self.failure: api.Result | None = None
        self.body_pieces: list[bytes] = []
        self.body_size = 0
        self.client: Client | None = None
        self.bytes_received = 0
        self.last_received_at = 0.0
        self.response_ended_at = 0.0

    def _advance(self, event: ConnectionEvent) -> None:
        self.state = next_state(self.state, event)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count as a connection from here on."""
        super().connection_made(transport)
        self._advance(ConnectionEvent.CONNECTED)
        # From here on it counts as a connection; counted twice, a burst would seem to use up the descriptors.
        self.owner.connections.add(self)
        if self.opened_for is not None:
            self.owner.opening.discard(self.opened_for)
            self.opened_for = None

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the attempt that the connection carries, if there is one."""
        self._advance(ConnectionEvent.LOST)
        self.stop_timer()
        self.owner.dropped(self)
        if self.attempt is not None:
            self._fail()

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
        self._advance(ConnectionEvent.CLOSE_REQUESTED)
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

    # Writing

    def begin(self, attempt: Attempt) -> None:
        """Write a request, all but its last piece; see _write_last_piece."""
        if self.endpoint.draining is not None and self.owner.loop.time() >= self.endpoint.closes:
            # The timer that withdraws what is not yet written is due, and has not been called yet.
            self.close()
            attempt.end(api.Result.CONNECT_FAILED)
            return
        if not attempt.observer.is_awaited(attempt):
            # Its client left while the connection came up, which is as good for the next one.
            self.return_unused(attempt)
            return
        message = attempt.message
        assert message is not None
        self._advance(_REQUEST_STARTED)
        self.attempt = attempt
        attempt.connection = self
        self.response = None
        self.failure = None
        self.body_pieces = []
        self.body_size = 0
        self.client = None
        self.bytes_received = 0
        self.last_received_at = self.owner.loop.time()
        self.min_hold_s = 0.0 if attempt.repeatable else LAST_BYTE_HOLD_S
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        streaming_body = message.streaming_body
        if streaming_body is None:
            headers = headers_with_time_left(message, attempt.deadline)
            self.pieces = encode_request(message, headers, is_last_byte_held=self._hold_time() > 0.0)
            self._write()
        else:
            headers = headers_with_time_left(message, min(attempt.deadline, streaming_body.client_deadline))
            self._begin_streaming(message, streaming_body, headers)

    def return_unused(self, attempt: Attempt) -> None:
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
            self._advance(_LAST_PIECE_LEFT)
            hold = self._hold_time()
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

    def _hold_time(self) -> float:
        """Return for how long (s) the last byte of the present request is to be held; 0: not at all."""
        return max(self.min_hold_s, self.settle_time_left())

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
        attempt.written = True
        self._advance(_REQUEST_SENT)
        self.transport.write(self.pieces.pop())
        if self.transport.is_closing():
            attempt.written = False  # refused at once
            self._fail()
        elif not self.is_write_buffered:
            self._note_written()

    def _note_written(self) -> None:
        attempt = self.attempt
        if (
            attempt is not None
            and attempt in self.endpoint.unwritten_attempts
            and not self.transport.is_closing()
        ):
            if attempt.message is not None and attempt.message.streaming_body is not None:
                # A server begins with the last byte: how long the body was on its way says nothing of it.
                attempt.sent = system.monotonic_ns()
            self.owner.written += 1
            self.endpoint.unwritten_attempts.pop(attempt)

    # Reading

    def received(self, data: memoryview) -> None:
        """Read on in the response."""
        if self.attempt is None:
            self.close()  # nothing was asked: what comes could only be taken for an answer to the next one
            return
        self.last_received_at = self.owner.loop.time()
        begins = not self.bytes_received
        if begins and data[9:10] in INFORMATIONAL_FIRST_DIGITS:
            self.http.send(PLACEHOLDER_REQUEST)
        self.bytes_received += len(data)
        if self.bytes_received > response_limits.RESPONSE_READ_LIMIT_BYTES and self.client is None:
            self._fail()
            return
        self.http.receive_data(data)
        self._process_events()
        if begins and self.attempt is not None and self.timer is None:
            # Most answers are whole by now.
            self.start_timer(response_limits.response_limit_s(self.attempt.repeatable), self._check_progress)

    def _check_progress(self) -> None:
        """End a response that has stalled before it was complete, and stream one that may be long."""
        self.timer = None
        attempt = self.attempt
        if attempt is None:
            return
        limit = response_limits.response_limit_s(attempt.repeatable)
        left = limit - (self.owner.loop.time() - self.last_received_at)
        if left <= response_limits.STALLED_SHARE * limit:
            self._fail()
        elif (
            self.body_pieces
            and self.response is not None
            and (self.response.length or MAX_BODY_BYTES) > MAX_HELD_BODY_BYTES
        ):
            self._start_stream(attempt)
        else:
            self.start_timer(left, self._check_progress)

    def eof_received(self) -> None:
        """End the response, where it ends with the connection."""
        if self.attempt is not None:
            self.http.receive_data(b"")
            self._process_events()
            if self.attempt is not None:
                self._fail()
        else:
            self.close()

    def _process_events(self) -> None:
        try:
            while self.attempt is not None:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if type(event) is h11.Response:
                    self._receive_head(self.attempt, event)
                elif type(event) is h11.Data:
                    self._receive_body(self.attempt, bytes(event.data))
                elif type(event) is h11.EndOfMessage:
                    self._complete(self.attempt)
                elif isinstance(event, h11.ConnectionClosed):
                    self._fail()
        except h11.RemoteProtocolError:
            self._fail()
        if self.attempt is not None and self.failure is not None:
            self.attempt.end(self.failure)  # the head said all; the rest of its body is not worth waiting for

    def _receive_head(self, attempt: Attempt, event: h11.Response) -> None:
        found = read_head(event, self.owner.load_header)
        if found.load_report is not None:
            attempt.report = self.endpoint.load_report(found.load_report, self.owner.names)
        if event.status_code != STATUS_OK:
            self.failure = result_of_failure(event, found.headers)
            return
        if not attempt.written:
            # Nothing was asked in full yet, so no server can have made this for it.
            raise h11.RemoteProtocolError("an answer before the request")
        check_framing(found)
        headers = end_to_end_headers(found.headers, self.owner.not_for_clients)
        self.response = ForwardedResponse(STATUS_OK, headers, None, found.length)
        self._advance(_RESPONSE_STARTED)
        if attempt.streamed:
            self._start_stream(attempt)

    def _receive_body(self, attempt: Attempt, data: bytes) -> None:
        if self.failure is not None:
            return
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            raise h11.RemoteProtocolError("too long")
        if self.client is not None:
            self.client.write(data)
            return
        # Held until it is whole: what has been passed on in part can be neither tried again nor taken back.
        self.body_pieces.append(data)
        if self.body_size > MAX_HELD_BODY_BYTES:
            self._start_stream(attempt)

    def _start_stream(self, attempt: Attempt) -> None:
        """Stream the response from here on: its class is streamed, or it is long."""
        assert self.response is not None
        self.start_timer(response_limits.STREAM_STALL_S, self._check_stall)
        attempt.response_started = system.monotonic_ns()
        self.client = attempt.observer.response_started(attempt, self.response)
        if self.client is None:
            attempt.cancel()
            return
        self._advance(ConnectionEvent.STREAM_STARTED)
        if self.body_pieces:
            self.client.write(b"".join(self.body_pieces))
            self.body_pieces = []

    def _check_stall(self) -> None:
        """End a stream that its server leaves unfinished; it would hold client and sockets for ever."""
        now = self.owner.loop.time()
        if (
            self.attempt is not None
            and self.reading
            and now - self.last_received_at >= response_limits.STREAM_STALL_S
        ):
            self._fail()
            return
        if not self.reading:
            self.last_received_at = now
        self.start_timer(response_limits.stall_check_delay_s(now - self.last_received_at), self._check_stall)

    def _complete(self, attempt: Attempt) -> None:
        self.stop_timer()
        attempt.read_delay = self.read_delay()[1] * MS
        reusable = attempt.written and self.http.their_state is h11.DONE and not self.http.trailing_data[0]
        response = None
        if self.response is not None and self.client is None:
            response = ForwardedResponse(STATUS_OK, self.response.headers, self.body_pieces)
        self.body_pieces = []
        self.response_ended_at = self.owner.loop.time()
        self.attempt = attempt.connection = None
        if reusable:
            self._advance(_RESPONSE_COMPLETED)
            self.owner.pool(self)
        else:
            self.close()
        attempt.end(self.failure or api.Result.OK, response)

    def _fail(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if self.failure is not None:
            attempt.end(self.failure)  # the head was whole, and proves what it says
        else:
            attempt.broke()
