"""Client connection: assembles requests and submits them; its base classes parse them and write responses.

The states of a connection and their transitions are in `states`.
"""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Sequence

import h11

from hollybay.units import MS, SECOND

from .. import system
from ..body_blocks import append_block
from ..http_parsers import new_request_parser
from ..interfaces import ClientPresence
from ..memory_budget import CLIENT_CONNECTION_BYTES, OPEN_REQUEST_BYTES, UPLOAD_BYTES
from ..message_limits import MAX_HELD_BODY_BYTES, SMALL_BODY_BYTES
from ..request_ids import NOT_CLAIMED
from ..streaming_body import StreamingBody
from .client_context import ClientContext
from .pause_limit import PauseLimit
from .request import MIN_BODY_BYTES_PER_S, ClientRequest
from .request_admission import admit_request, release_request
from .request_reader import RequestReader
from .request_validation import HEALTH_PATHS, RequestProblem
from .response_writer import NO_REQUEST
from .responses import REJECTED_BODY, health_response, rejection_events, retry_after_header
from .states import (
    LINGERING_STATES,
    READING_STATES,
    UNANSWERED_STATES,
    WRITTEN_STATES,
    ConnectionEvent,
    ConnectionState,
    next_state,
)
from .upload_clock import UploadClock

__all__ = ["HIDDEN_CLOSE_BYTES", "ClientConnection"]

# How long a lingering connection goes on reading. A close with unread bytes resets the connection, which
# could destroy the response in transit.
LINGER_S = 1.0
# The time limit after a response that was complete before the request's body: a client that sends its whole
# body before it reads would otherwise never read the response.
LINGER_UPLOAD_S = 4.0
# Number of unread bytes, while reading is paused, from which on the kernel may accept no more data, so that a
# close after them would not be seen. It is half of the smallest receive buffer that Linux gives a connection,
# half of which it offers as window.
HIDDEN_CLOSE_BYTES = 32 << 10

# Number of bytes that a client may have written and the node has not read: the largest buffers that Linux
# gives a connection by default, for sending (4 MB) and for receiving (6 MB).
KERNEL_BUFFERS_BYTES = 10 << 20

# Value of `ClientConnection.request_id` while the dispatcher has not returned the number yet.
BEING_SUBMITTED = -1

# Members used for each request, as names of this module: the look-up on the enum class costs 0.2 µs.
_READING_LARGE = ConnectionState.READING_LARGE
_STREAMING = ConnectionState.STREAMING
_FLUSHING = ConnectionState.FLUSHING
_REQUEST_COMPLETED = ConnectionEvent.REQUEST_COMPLETED
_RESPONSE_COMPLETED = ConnectionEvent.RESPONSE_COMPLETED
_RESPONSE_FLUSHED = ConnectionEvent.RESPONSE_FLUSHED


class ClientConnection(RequestReader):
    """A connection from a client, which carries one request at a time.

    Parameters
    ----------
    clients
        State shared by all client connections.
    sock
        The connected socket.

    Attributes
    ----------
    phase
        Phase of the connection table that lists the connection.
    streaming_body
        Body of the current request, if it is streamed.
    linger_timer
        Closes the connection if its client does not; None while it is not lingering.
    pause_limit
        Time limit of the current request; None if reading has not been paused since its head.
    """

    def __init__(self, clients: ClientContext[ClientConnection], sock: socket.socket) -> None:
        super().__init__(clients, sock)
        self.phase: OrderedDict[ClientConnection, float] | None = None
        self.streaming_body: StreamingBody | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.pause_limit: PauseLimit | None = None
        self._request_charge = 0  # what is reserved for the current request while it is open
        self._small_body_charge = 0  # bytes of a body that is not charged to the body budget

    # State of the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection in the connection table."""
        super().connection_made(transport)
        self.account.open(CLIENT_CONNECTION_BYTES)
        self.clients.add_connection(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the table, and end its request: the client has disconnected."""
        self.clients.remove(self)
        self.leave_turns()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self._abandon_request()
        self.account.close()

    def eof_received(self) -> bool:
        """Close the connection: a client that shuts down its sending side is not waiting for its response."""
        self.abandon()
        return True

    def presence(self) -> ClientPresence:
        """Return whether the client is waiting for its response; UNKNOWN if unread bytes may hide a close."""
        if not self.is_connected():
            return ClientPresence.GONE
        may_hide_close = not self.reading and self.bytes_ahead > SMALL_BODY_BYTES
        if may_hide_close and self.unread_bytes() >= HIDDEN_CLOSE_BYTES:
            return ClientPresence.UNKNOWN
        return ClientPresence.CONNECTED

    def abandon(self) -> None:
        """Close a connection whose client has disconnected, and end its request."""
        self._abandon_request()
        self.transport.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    def is_disposable(self) -> bool:
        """Whether closing loses nothing: no body is being streamed, and no bytes are unread or unparsed."""
        return self.streaming_body is None and not self.is_waiting_for_turn and not self.unread_bytes()

    def is_request_overdue(self, now: float) -> bool:
        """Whether the rest of a request is overdue at a loop time (s); never while its server holds it up."""
        if self.state not in READING_STATES:
            return False  # the response was complete before the request's body
        if self.request is None or self.phase is None:
            return True
        allowed_s = self.clients.phase_timeouts.unfinished + self.request.size / MIN_BODY_BYTES_PER_S
        is_held_up = not self.reading and not self.clients.body_budget.is_waiting(self)
        return not is_held_up and now - self.phase[self] > allowed_s

    def close_if_idle(self) -> None:
        """Close an idle connection gracefully unless it has unread bytes.

        After a pause of the process, requests may be waiting in the kernel on connections that seem idle, and
        closing these would lose the requests. A request that is still in transit is retried by its client.
        """
        if not self.transport.is_closing() and not self.unread_bytes():
            self._linger()

    def reject_unfinished(self) -> None:
        """Reject a request that was not complete in time, for which its client or the node is to blame."""
        if self.clients.body_budget.is_waiting(self):
            self.reject_waiting()
        else:
            self._reject_and_close(RequestProblem(408, "the request is not whole in time"))

    def reject_waiting(self) -> None:
        """Reject a request whose body waits for memory or to be parsed, which is not read to its end."""
        request = self.request
        assert request is not None
        self.clients.dispatcher.counters.rejected[request.class_index] += 1
        retry_after = retry_after_header(self.clients.config.settings.max_retry_after)
        self._reject_and_close(RequestProblem(503, "refused"), retry_after)

    def reject_unread(self) -> None:
        """Reject a request of which bytes have arrived that were not read or parsed, as the process ends."""
        is_incomplete = self.request is not None and self.state in READING_STATES
        if is_incomplete and self.request_id == NO_REQUEST and (self.is_paused() or self.unread_bytes()):
            self.reject_waiting()

    def is_paused(self) -> bool:
        """Whether there is a request whose rest is not read at the moment."""
        is_incomplete = self.request is not None and self.state in READING_STATES
        return is_incomplete and (self.is_waiting_for_turn or not self.reading)

    def client_time_left(self) -> int:
        """Return how long (ns) the client waits from the last byte of its request."""
        return self.request.time_left if self.request is not None else 0

    def client_wait_s(self) -> float:
        """Return for how long (s) the client may have been waiting since it sent its last byte.

        It has not sent that byte if more of the body is left than the kernels of both machines hold.
        """
        now = self.clients.loop.time()
        remaining = self.remaining_body_bytes() if self.request is not None else None
        if self.upload_clock is None:
            return 0.0
        if remaining is not None and remaining > KERNEL_BUFFERS_BYTES:
            self.upload_clock.restart(now)
        return now - self.upload_clock.started_at

    def remaining_body_bytes(self) -> int | None:
        """Return how many bytes of the body were not read yet; None if the client did not state a length."""
        assert self.request is not None
        length = self.request.content_length
        return None if length is None else length - self.request.size

    def end_paused_request(self) -> None:
        """Respond to a request whose rest is not read, as its client's time is up."""
        if self.request_id == NO_REQUEST:
            self.reject_waiting()
        else:
            self.clients.dispatcher.expire(self.request_id)

    def pause_writing(self) -> None:
        """Begin to wait for the client, which does not read as fast as its response comes."""
        super().pause_writing()
        if self.phase is self.clients.writing:
            self.clients.touch(self)

    def resume_writing(self) -> None:
        """Continue with the response: the kernel has accepted everything that was written."""
        super().resume_writing()
        self.clients.touch(self)
        if self.body_source is not None:
            self.body_source.set_reading(True)
        elif self.state in WRITTEN_STATES:
            self._response_flushed()

    def _abandon_request(self) -> None:
        """End the current request without a response."""
        self._stop_pause_limit()
        if self.request is not None:
            self.clients.dispatcher.request_ids.forget(self.request.claimed_id)
            release_request(self.clients.admission, self.request)
        request_id, self.request_id = self.request_id, NO_REQUEST
        try:
            if request_id:
                self.clients.dispatcher.disconnect(request_id)
        finally:
            self._release_body()
            self._release_request_memory()

    def _release_body(self) -> None:
        """Release the memory of the request's body, which no attempt sends any more.

        The list of its parts is emptied, as attempts that are still in flight refer to it, too.
        """
        if self.request is not None:
            self.request.body.clear()
        self.clients.body_budget.release(self)
        self._release_small_body()
        if self.streaming_body is not None:
            self.streaming_body.close()
            self.streaming_body = None

    # Requests

    def _mark_unfinished(self) -> None:
        """Move the connection to the unfinished phase once the first byte of a request has arrived."""
        has_begun = self.request is not None or self.http.unparsed_bytes
        if has_begun and self.phase is not self.clients.unfinished:
            self.clients.move(self, self.clients.unfinished)

    def _handle_head(self, event: h11.Request) -> None:
        clients = self.clients
        request = self.request = ClientRequest(event)
        problem = request.resolve(clients.config, clients.admission, clients.policy_agreement)
        if problem is None and request.path not in HEALTH_PATHS:
            problem = self._claim_id(request)
        if problem is not None:
            self._reject_and_close(problem)

    def _claim_id(self, request: ClientRequest) -> RequestProblem | None:
        """Claim the id of a request; return its problem if another request has the id."""
        request_ids = self.clients.dispatcher.request_ids
        request.claimed_id = request_ids.claim(request.values[b"x-correlation-id"], self.clients.loop.time())
        if request.claimed_id == NOT_CLAIMED:
            return RequestProblem(409, "X-Correlation-Id: another request has it")
        return None

    def _handle_data(self, data: bytes, just_read: bool) -> None:
        request = self.request
        assert request is not None
        request.size += len(data)
        if request.size > request.max_body:
            self._reject_and_close(RequestProblem(413, f"the body is longer than {request.max_body} bytes"))
            return
        if self.streaming_body is not None:
            self.streaming_body.append(data)
            if not self.reading:
                self._limit_pause()
            return
        if self.state is _STREAMING:
            return  # the request has ended, as its client has disconnected
        append_block(request.body, data)
        if request.size > MAX_HELD_BODY_BYTES:
            self._start_streaming(request, just_read)
        elif self.state is _READING_LARGE:
            self._charge(len(data))
        elif request.size > SMALL_BODY_BYTES:
            self.state = next_state(self.state, ConnectionEvent.BODY_CHARGED)
            self._release_small_body()
            self._charge(request.size)
        else:
            self._small_body_charge += len(data)
            self.account.charge(len(data))

    def _release_small_body(self) -> None:
        if self._small_body_charge:
            charge, self._small_body_charge = self._small_body_charge, 0
            self.account.release(charge)

    def _charge(self, size: int) -> None:
        """Charge bytes of a body to the budget, and pause reading if there is no room."""
        if not self.clients.body_budget.charge(self, size):
            self.set_reading(False)
            self._limit_pause()

    def _start_upload_clock(self) -> None:
        self.upload_clock = UploadClock(self.clients.loop.time() - self.last_byte_age_s())

    def _limit_pause(self) -> None:
        """Limit the time for which the rest of the current request is not read."""
        if self.upload_clock is None:
            self._start_upload_clock()
        if self.pause_limit is None or not self.pause_limit.is_running:
            self.pause_limit = PauseLimit(self.clients.loop, self)

    def wait_for_turn(self) -> None:
        """Read and parse on only after others had their turn, within the client's time."""
        super().wait_for_turn()
        if self.is_paused():
            self._limit_pause()
        if self.clients.forwarding_stopped:
            self.reject_unread()

    def _stop_pause_limit(self) -> None:
        if self.pause_limit is not None:
            self.pause_limit.stop()
            self.pause_limit = None

    def _start_streaming(self, request: ClientRequest, just_read: bool) -> None:
        """Forward a request whose body is too long to be buffered, while the body is still arriving."""
        self.state = next_state(self.state, ConnectionEvent.BODY_STREAMED)
        self.clients.body_budget.stop_waiting(self)
        if self.upload_clock is None:
            self._start_upload_clock()
        self.set_reading(True)
        streaming_body = self.streaming_body = StreamingBody(
            request.content_length, self, self.clients.streaming_budget
        )
        for block in request.body:
            streaming_body.append(block)
        request.body = []
        self._release_taken_body()
        self._submit(request, streaming_body, just_read)
        if self.is_paused():
            self._limit_pause()

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading; a streamed body is read on once its server has taken most of it."""
        super().set_reading(reading)
        if reading:
            self._release_taken_body()

    def _release_taken_body(self) -> None:
        """Release the budget for buffered bodies once a streamed body needs no more than its own."""
        if self.streaming_body is not None and self.streaming_body.is_accounted:
            self.clients.body_budget.release(self)

    def _handle_end(self, just_read: bool) -> None:
        """Handle the end of a request: submit it, or complete its streamed body."""
        request = self.request
        assert request is not None
        self.state = next_state(self.state, _REQUEST_COMPLETED)
        if trailing_bytes := len(self.http.trailing_data[0]):
            self.set_bytes_ahead(trailing_bytes)
        self.clients.body_budget.stop_waiting(self)
        self._stop_pause_limit()
        # What was read ahead may hold many requests: nothing is read before most of them are answered.
        reading = self.bytes_ahead <= SMALL_BODY_BYTES
        if reading is not self.reading:
            self.set_reading(reading)
        self.clients.move(self, None)
        if request.path in HEALTH_PATHS:
            status, body = health_response(request.path, self.clients.is_healthy)
            self._respond(status, [], (body,))
        elif self.streaming_body is not None:
            waited = max(self.read_delay()[1] * MS, int(self.client_wait_s() * SECOND))
            self.clients.dispatcher.complete_body(self.request_id, request.time_left - waited)
            self.streaming_body.complete()
        else:
            self._submit(request, None, just_read)

    def _submit(self, request: ClientRequest, streaming_body: StreamingBody | None, just_read: bool) -> None:
        """Admit and forward a request, which is complete or has a streamed body, or reject it."""
        is_open, waited_ms = self.read_delay()
        if not is_open:  # the client disconnected while its request was waiting to be read
            self.abandon()
            return
        clients = self.clients
        # A pipelined request waited for the response to the previous one, not for the event loop.
        waited = waited_ms * MS
        # A streamed body may still be coming, and its client's time begins after it.
        is_expired = streaming_body is None and not just_read and waited >= request.time_left
        may_forward = request.is_policy_known and not clients.is_full and not clients.forwarding_stopped
        if is_expired or not may_forward or not self._reserve_request(streaming_body is not None):
            clients.dispatcher.counters.rejected[request.class_index] += 1
            self.reject(clients.config.settings.max_retry_after)
            return
        tenant = clients.config.names.tenants.get(request.account)
        retry_after = admit_request(clients.admission, request, tenant)
        if retry_after is not None:
            clients.dispatcher.counters.rejected[request.class_index] += 1
            clients.limited_requests += 1
            self._respond(429, retry_after_header(retry_after), (REJECTED_BODY,))
            return
        self._forward(request, streaming_body, tenant or 0, waited, queued_time=waited if just_read else 0)

    def _reserve_request(self, is_upload: bool) -> bool:
        """Reserve what an open request takes; False if there is no memory for it."""
        size = OPEN_REQUEST_BYTES + (UPLOAD_BYTES if is_upload else 0)
        if not self.account.reserve(size):
            return False
        self._request_charge = size
        return True

    def _release_request_memory(self) -> None:
        """Release what was reserved for the request, whose response is complete or not needed any more."""
        if self._request_charge:
            charge, self._request_charge = self._request_charge, 0
            self.account.release(charge)

    def _new_parser(self) -> None:
        """Replace the parser, as it serves one message, and release what it holds."""
        self.http.close()
        self.http = new_request_parser(self.account)
        if self.bytes_ahead:
            self.set_bytes_ahead(0)

    def _forward(
        self,
        request: ClientRequest,
        streaming_body: StreamingBody | None,
        tenant: int,
        waited: int,
        queued_time: int,
    ) -> None:
        """Submit an admitted request to the dispatcher.

        Parameters
        ----------
        request, streaming_body, tenant
            The request, its streamed body if it has one, and the number of its tenant.
        waited
            How long (ns) its last bytes waited to be read.
        queued_time
            How long (ns) they waited for the event loop.
        """
        message = request.message(self.clients.host, streaming_body)
        time_left = request.time_left - waited
        if streaming_body is not None:
            streaming_body.client_deadline = system.monotonic_ns() + time_left
            time_left += request.remaining_body_time(streaming_body)
        self.request_id = BEING_SUBMITTED
        event = request.balancer_event(
            time_left, tenant, queued_time, body_pending=streaming_body is not None
        )
        event.free_slot_share = self.clients.free_slot_share
        event.limited_before = self.clients.take_limited_requests()
        claimed_id, request.claimed_id = request.claimed_id, NOT_CLAIMED
        request_id = self.clients.dispatcher.submit(self, message, event, claimed_id)
        if self.request_id:
            self.request_id = request_id
        else:  # it was answered within `submit`, or its client was found to have disconnected
            self.clients.dispatcher.disconnect(request_id)

    # Ends of requests

    def _reject_and_close(self, problem: RequestProblem, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
        """Respond to a request that is not read to its end, unless a response has begun, and close."""
        if self.state in UNANSWERED_STATES:
            self._write(*rejection_events(problem, list(headers)))
        self._linger()

    def _response_completed(self) -> None:
        """Release the request; the connection continues once the kernel has accepted the response."""
        self.state = next_state(self.state, _RESPONSE_COMPLETED)
        self._release_body()
        if self.request is not None:
            self.clients.dispatcher.request_ids.retire(self.request.claimed_id, self.clients.loop.time())
            release_request(self.clients.admission, self.request)
            self.request = None
        self.request_id = NO_REQUEST
        self.body_source = None
        self._release_request_memory()
        self.clients.move(self, self.clients.writing if self.is_write_buffered else None)
        if not self.is_write_buffered:
            # Scheduled instead of called, as pipelined requests would otherwise be handled recursively.
            self.clients.loop.call_soon(self._response_flushed)

    def _response_flushed(self) -> None:
        """Read the next request, or close the connection, after the kernel has accepted the response."""
        if self.transport.is_closing() or self.state not in WRITTEN_STATES:
            return
        if self.state is not _FLUSHING or self.http.their_state is not h11.DONE:
            self._linger()
            return
        self.state = next_state(self.state, _RESPONSE_FLUSHED)
        rest = self.http.trailing_data[0] if self.bytes_ahead else b""
        self._new_parser()
        self.clients.move(self, self.clients.idle)
        self.clients.close_excess_idle()
        self.reads_little = False
        self.upload_clock = None
        if not self.reading:
            self.set_reading(True)
        if rest:
            self.http.receive_data(rest)
            self._read_events(just_read=False)

    def _linger(self) -> None:
        """Close gracefully: shut down sending now, and close when the client does or after a timeout."""
        if self.state in LINGERING_STATES or self.transport.is_closing():
            return
        self.state = next_state(self.state, ConnectionEvent.SENDING_SHUT_DOWN)
        self._abandon_request()
        # Nothing of the request is needed any more, though the connection stays for a while.
        self.request = None
        self._new_parser()
        self.clients.move(self, self.clients.ending)
        linger_s = LINGER_UPLOAD_S if self.state is ConnectionState.LINGERING_UPLOAD else LINGER_S
        self.linger_timer = self.clients.loop.call_later(linger_s, self.transport.abort)
        self.set_reading(True)
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection, and the event loop has not seen it yet
            self.transport.abort()
