"""Connection to a server: starts requests, which its base class writes, and reads their responses.

The states and their transitions are in `states`; this module and `request_sender` implement the events.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import h11

from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from .. import system
from ..body_blocks import append_block
from ..http_messages import ForwardedResponse, end_to_end_headers
from ..http_parsers import new_response_parser
from ..interfaces import Client
from ..memory_budget import RESPONSE_WINDOW_BYTES, SERVER_CONNECTION_BYTES
from ..message_limits import MAX_BODY_BYTES, MAX_HELD_BODY_BYTES
from ..message_parser import MessageParser
from ..name_table import NameTable
from ..parse_turns import MAX_EVENTS_PER_TURN
from . import response_limits
from .attempt import UpstreamAttempt
from .endpoint import Endpoint
from .request_encoding import encode_request, headers_with_time_left
from .request_sender import RequestSender, SenderOwner
from .response_head import (
    INFORMATIONAL_FIRST_DIGITS,
    PLACEHOLDER_REQUEST,
    STATUS_OK,
    check_framing,
    read_head,
    result_of_failure,
)
from .states import UpstreamConnectionEvent, next_state

__all__ = ["ConnectionOwner", "ServerConnection"]


# Members used for each request, as names of this module: the look-up on the enum class costs 0.2 µs.
_REQUEST_STARTED = UpstreamConnectionEvent.REQUEST_STARTED
_RESPONSE_STARTED = UpstreamConnectionEvent.RESPONSE_STARTED
_RESPONSE_COMPLETED = UpstreamConnectionEvent.RESPONSE_COMPLETED


class ConnectionOwner(SenderOwner, Protocol):
    """Interface of the pools that a connection belongs to, as far as the connection uses it."""

    names: NameTable
    load_report_header: bytes
    headers_not_forwarded: frozenset[bytes]
    connections: set[ServerConnection]
    opening: set[UpstreamAttempt]
    stalled_streams: int

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed."""


class ServerConnection(RequestSender):
    """Connection to a server; it carries one attempt at a time.

    Parameters
    ----------
    owner
        The pools that the connection belongs to.
    endpoint
        The server that it is connected to.
    first_attempt
        The attempt that it was opened for, and which it carries first.
    sock
        The connected socket.

    Attributes
    ----------
    response
        Head of a response that can be forwarded.
    failure
        Result of the attempt, if the head of its response shows that the attempt failed.
    body_pieces, body_size
        The buffered parts of the body, and the number of bytes of the body that were received.
    client
        Client that the response is streamed to; None while the response is buffered.
    bytes_received
        Number of bytes received for the response, including its head and framing.
    has_stalled
        Whether the response has stalled, and was not passed on at that time.
    last_received_at
        Time (s, clock of the event loop) at which the last bytes were received.
    http
        Parser of the response; set at the first request, and replaced at each one.
    """

    owner: ConnectionOwner
    http: MessageParser

    def __init__(
        self, owner: ConnectionOwner, endpoint: Endpoint, first_attempt: UpstreamAttempt, sock: socket.socket
    ) -> None:
        super().__init__(owner, endpoint, sock)
        self.first_attempt: UpstreamAttempt | None = first_attempt
        self.response: ForwardedResponse | None = None
        self.failure: api.Result | None = None
        self.body_pieces: list[bytes | bytearray] = []
        self.body_size = 0
        self._body_charge = 0
        self.client: Client | None = None
        self.bytes_received = 0
        self.has_stalled = False
        self.last_received_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its pools."""
        super().connection_made(transport)
        self.state = next_state(self.state, UpstreamConnectionEvent.CONNECTED)
        # It moves from `opening` to `connections`: if it were counted in both, a burst of new connections
        # would seem to use up the descriptors.
        self.owner.connections.add(self)
        self.account.open(SERVER_CONNECTION_BYTES)
        if self.first_attempt is not None:
            self.owner.opening.discard(self.first_attempt)
            self.first_attempt = None

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from its pools, and end the attempt that it carries, if any."""
        self.state = next_state(self.state, UpstreamConnectionEvent.LOST)
        self.stop_timer()
        self.leave_turns()
        self.owner.connection_closed(self)
        if self.attempt is not None:
            self._fail()

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Write a request except for its last piece, which `_write_last_piece` writes."""
        is_past_cutoff = (
            self.endpoint.drain_timer is not None and self.owner.loop.time() >= self.endpoint.write_cutoff
        )
        if is_past_cutoff or self.endpoint.is_replaced:
            # The attempt is to be ended, by a timer that is due or as another server has the address.
            self.close()
            attempt.end(api.Result.NOT_DELIVERED)
            return
        if not attempt.observer.is_needed(attempt):
            # The client disconnected while the connection was being opened.
            self.keep()
            attempt.end(api.Result.NOT_SENT)
            return
        message = attempt.message
        assert message is not None
        self.state = next_state(self.state, _REQUEST_STARTED)
        self.attempt = attempt
        attempt.connection = self
        self.response = None
        self.failure = None
        self.body_pieces = []
        self.body_size = 0
        self.client = None
        self.bytes_received = 0
        self.has_stalled = False
        self.reads_little = False
        self.last_received_at = self.owner.loop.time()
        self.http = new_response_parser(self.account)
        streaming_body = message.streaming_body
        if streaming_body is None:
            headers = headers_with_time_left(message, attempt.deadline)
            self.pieces = encode_request(message, headers, is_last_byte_held=self._hold_time(attempt) > 0.0)
            self._write()
        else:
            headers = headers_with_time_left(message, min(attempt.deadline, streaming_body.client_deadline))
            self._begin_streaming(message, streaming_body, headers)

    def received(self, data: memoryview) -> None:
        """Process bytes of the response."""
        if self.attempt is None:
            self.close()  # no request is in progress: the bytes could be taken for the next response
            return
        self.last_received_at = self.owner.loop.time()
        begins = not self.bytes_received
        if begins and data[9:10] in INFORMATIONAL_FIRST_DIGITS:
            self.http.send(PLACEHOLDER_REQUEST)
        self.bytes_received += len(data)
        if self.response is None and self.bytes_received > response_limits.HEADS_LIMIT_BYTES:
            self._fail()
            return
        chunks = self.http.chunks
        self.http.receive_data(data)
        self._process_events()
        if self.attempt is not None:
            self.end_read(len(data), self.http.chunks - chunks)
            if self.has_stalled and self.client is None and self.body_pieces and self._may_be_long():
                self._start_stream(self.attempt)
        if self.attempt is not None and self._is_progress_expected(self.attempt):
            # Started only here, as most responses are complete by now.
            self.start_timer(response_limits.response_limit_s(self.attempt.is_safe), self._check_progress)

    def _is_progress_expected(self, attempt: UpstreamAttempt) -> bool:
        """Whether a response has begun whose pauses are not timed yet.

        An informational response begins nothing, and before its last byte is written the request needs the
        timer.
        """
        if self.timer is not None or self.client is not None or self.has_stalled:
            return False
        return attempt.request_written and (self.response is not None or self.http.unparsed_bytes > 0)

    def _check_progress(self) -> None:
        """Handle a pause within a response; begin to stream a response that may be long."""
        self.timer = None
        attempt = self.attempt
        if attempt is None:
            return
        limit = response_limits.response_limit_s(attempt.is_safe)
        left = limit - (self.owner.loop.time() - self.last_received_at)
        has_stalled = left <= response_limits.STALLED_SHARE * limit and not self.is_waiting_for_turn
        if has_stalled:
            self._handle_stall(attempt)
        elif self.body_pieces and self._may_be_long():
            self._start_stream(attempt)
        else:
            # No time is left only if the connection waits for its turn.
            self.start_timer(left if left > 0.0 else limit, self._check_progress)

    def _may_be_long(self) -> bool:
        """Whether the response may be too long to be buffered, by its head."""
        return self.response is not None and (self.response.length or MAX_BODY_BYTES) > MAX_HELD_BODY_BYTES

    def _handle_stall(self, attempt: UpstreamAttempt) -> None:
        """Go on with a response that has stalled: its server may only have paused, or it may never end.

        A response that is known to be long is passed on. Beside any other one, another attempt may be made;
        if it may be long, it is passed on once it goes on, or at last when the client's time ends.
        """
        is_known_to_be_long = self.response is not None and bool(self.response.length) and self._may_be_long()
        if is_known_to_be_long and self.body_pieces:
            self._start_stream(attempt)
            return
        self.has_stalled = True
        attempt.observer.attempt_stalled(attempt)
        if self.attempt is not None and self.body_pieces and self._may_be_long():
            self.start_timer(self._time_to_stream_s(attempt), self._stream_stalled)

    def _time_to_stream_s(self, attempt: UpstreamAttempt) -> float:
        """Return the time (s) after which a stalled response is passed on, if it does not go on before."""
        left = (attempt.deadline - system.monotonic_ns()) / SECOND
        return max(0.0, left - response_limits.STREAM_MARGIN_S)

    def _stream_stalled(self) -> None:
        """Pass on a response that has stalled, while the client still waits for its first bytes."""
        self.timer = None
        if self.attempt is not None and self.client is None:
            self._start_stream(self.attempt)

    def eof_received(self) -> None:
        """Handle the end of the stream, which completes a response that is framed by it."""
        if self.attempt is not None:
            self.http.receive_data(b"")
            self._process_events()
            if self.attempt is not None:
                self._fail()
        else:
            self.close()

    def parse_on(self) -> None:
        """Parse bytes that were received before the connection's turn."""
        self._process_events()

    def _process_events(self) -> None:
        try:
            self._process_turn()
        except h11.RemoteProtocolError:
            self._fail()
        if self.attempt is not None and self.failure is not None:
            self.attempt.end(self.failure)  # the head decides the result, so the body is not awaited

    def _process_turn(self) -> None:
        """Process received events until others have their turn."""
        parts: list[bytes] = []  # parts of the body that are processed together
        for _ in range(MAX_EVENTS_PER_TURN):
            event = self.http.next_event()
            if type(event) is h11.Data:
                parts.append(bytes(event.data))
                continue
            if parts:
                self._receive_parts(parts)
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if self.attempt is not None:
                self._process_event(self.attempt, event)
            if self.attempt is None:
                return
        self._receive_parts(parts)
        if self.attempt is not None:
            self.reads_little = True
            self.wait_for_turn()

    def _receive_parts(self, parts: list[bytes]) -> None:
        if parts and self.attempt is not None:
            self._receive_body(self.attempt, b"".join(parts))
        parts.clear()

    def _process_event(self, attempt: UpstreamAttempt, event: h11.Event) -> None:
        if type(event) is h11.Response:
            self._receive_head(attempt, event)
        elif type(event) is h11.EndOfMessage:
            self._complete(attempt)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail()

    def _receive_head(self, attempt: UpstreamAttempt, event: h11.Response) -> None:
        head = read_head(event, self.owner.load_report_header)
        if head.load_report is not None:
            attempt.report = self.endpoint.load_report(head.load_report, self.owner.names)
        if event.status_code != STATUS_OK:
            self.failure = result_of_failure(event, head.headers)
            return
        if not attempt.request_written:
            # The request was not completely sent yet, so this cannot be the response to it.
            raise h11.RemoteProtocolError("response received before the request was sent")
        check_framing(head)
        headers = end_to_end_headers(head.headers, self.owner.headers_not_forwarded)
        self.response = ForwardedResponse(STATUS_OK, headers, None, head.length)
        self.state = next_state(self.state, _RESPONSE_STARTED)
        if attempt.streamed:
            self._start_stream(attempt)

    def _receive_body(self, attempt: UpstreamAttempt, data: bytes) -> None:
        if self.failure is not None:
            return
        self.body_size += len(data)
        if self.body_size > MAX_BODY_BYTES:
            raise h11.RemoteProtocolError("response body too long")
        if self.client is not None:
            self.client.write(data)
            return
        # Buffered until it is complete: once part of a response is forwarded, the request cannot be retried.
        append_block(self.body_pieces, data)
        if self.body_size > MAX_HELD_BODY_BYTES or not self._charge_body():
            self._start_stream(attempt)

    def _charge_body(self) -> bool:
        """Charge for the buffered body beyond the window of the request; False if there is no room."""
        more = self.body_size - RESPONSE_WINDOW_BYTES - self._body_charge
        if more > 0:
            if not self.account.reserve_for_body(more):
                return False
            self._body_charge += more
        return True

    def _release_response(self) -> None:
        """Release what was charged for the response, which is passed on or not needed any more."""
        self.http.close()
        if self._body_charge:
            self.account.release(self._body_charge)
            self._body_charge = 0

    def _start_stream(self, attempt: UpstreamAttempt) -> None:
        """Begin to stream the response, as its class is streamed or it is too long to be buffered."""
        assert self.response is not None
        self.start_timer(response_limits.STREAM_STALL_S, self._check_stall)
        attempt.response_started = system.monotonic_ns()
        self.client = attempt.observer.response_started(attempt, self.response)
        if self.client is None:
            attempt.cancel()
            return
        self.state = next_state(self.state, UpstreamConnectionEvent.STREAM_STARTED)
        if self.body_pieces:
            body = b"".join(self.body_pieces)
            self.body_pieces = []
            self.account.release(self._body_charge)
            self._body_charge = 0
            self.client.write(body)

    def _check_stall(self) -> None:
        """Fail an attempt whose stream has stalled; otherwise it would occupy two connections forever."""
        now = self.owner.loop.time()
        if not self.reading or self.is_waiting_for_turn:
            self.last_received_at = now
        elif self.attempt is not None and now - self.last_received_at >= response_limits.STREAM_STALL_S:
            self.owner.stalled_streams += 1
            self._fail()
            return
        self.start_timer(response_limits.stall_check_delay_s(now - self.last_received_at), self._check_stall)

    def _complete(self, attempt: UpstreamAttempt) -> None:
        self.stop_timer()
        attempt.read_delay = self.read_delay()[1] * MS
        is_message_over = self.http.their_state is h11.DONE and not self.http.trailing_data[0]
        reusable = attempt.request_written and is_message_over
        response = self.response if self.client is None else None
        if response is not None:
            response.body = self.body_pieces
        self.response = None
        self.body_pieces = []
        self._release_response()
        self.response_ended_at = self.owner.loop.time()
        self.attempt = attempt.connection = None
        if reusable:
            self.state = next_state(self.state, _RESPONSE_COMPLETED)
            self.owner.add_idle(self)
        else:
            self.close()
        attempt.end(self.failure or api.Result.OK, response)

    def _fail(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        if self.failure is not None:
            attempt.end(self.failure)  # the head is complete and decides the result
        else:
            attempt.connection_lost()
