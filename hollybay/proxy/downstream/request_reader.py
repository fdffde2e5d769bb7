"""Reading side of a client connection: parses received bytes in turns; `connection` handles the events."""

from __future__ import annotations

import socket
from typing import Any

import h11

from ..message_limits import SMALL_BODY_BYTES
from ..parse_turns import MAX_EVENTS_PER_TURN
from .client_context import ClientContext
from .request_validation import RequestProblem
from .response_writer import ResponseWriter
from .states import LINGERING_STATES, READING_STATES, RESPONDING_STATES, ConnectionState
from .upload_clock import UploadClock

__all__ = ["RequestReader"]

# Number of bytes that a lingering connection reads and discards, unless its client is sending an upload.
LINGER_BYTES = 128 << 10


class RequestReader(ResponseWriter):
    """Reading side of a client connection.

    Parameters
    ----------
    clients
        State shared by all client connections.
    sock
        The connected socket.

    Attributes
    ----------
    bytes_ahead
        Number of bytes read beyond the current request, which are charged to the connection's account.
    lingering_bytes
        Number of bytes read and discarded while lingering.
    upload_clock
        Tells since when the client of a long body may be waiting; None if the body is small.
    """

    def __init__(self, clients: ClientContext[Any], sock: socket.socket) -> None:
        super().__init__(clients, sock)
        self.bytes_ahead = 0
        self.lingering_bytes = 0
        self.upload_clock: UploadClock | None = None
        self._has_events_left = False  # received bytes may hold more events, which wait for the next turn

    def _handle_head(self, event: h11.Request) -> None:
        """Handle the head of a request."""
        raise NotImplementedError

    def _handle_data(self, data: bytes, just_read: bool) -> None:
        """Handle a part of the body."""
        raise NotImplementedError

    def _handle_end(self, just_read: bool) -> None:
        """Handle the end of a request."""
        raise NotImplementedError

    def _mark_unfinished(self) -> None:
        """Move the connection to the unfinished phase once the first byte of a request has arrived."""
        raise NotImplementedError

    def _linger(self) -> None:
        """Close gracefully."""
        raise NotImplementedError

    def _reject_and_close(self, problem: RequestProblem) -> None:
        """Respond to a request that is not read to its end, and close the connection."""
        raise NotImplementedError

    def received(self, data: memoryview) -> None:
        """Process bytes from the client."""
        state = self.state
        if state in LINGERING_STATES:
            self.lingering_bytes += len(data)
            if self.lingering_bytes > LINGER_BYTES and state is not ConnectionState.LINGERING_UPLOAD:
                self.set_reading(False)
            return
        self.http.receive_data(data)
        if state in RESPONDING_STATES:
            # Bytes of the next request: a few are buffered here, the others wait in the kernel.
            self.set_bytes_ahead(self.bytes_ahead + len(data))
            if self.bytes_ahead > SMALL_BODY_BYTES:
                self.set_reading(False)
            return
        chunks = self.http.chunks
        just_read = not self.has_backlog
        is_emptied = self.has_emptied_socket(len(data))
        if is_emptied:
            self.has_backlog = False
        if self.upload_clock is not None:
            now = self.clients.loop.time()
            self.upload_clock.read(now, len(data), is_emptied, self.unread_bytes, self.last_byte_age_s)
        self._read_events(just_read)
        if self.state in READING_STATES:
            self.end_read(len(data), self.http.chunks - chunks)

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading."""
        if not reading and self.upload_clock is not None:
            self.upload_clock.pause()
        super().set_reading(reading)

    def set_bytes_ahead(self, size: int) -> None:
        """Set the number of bytes read beyond the current request, and charge them."""
        more = size - self.bytes_ahead
        self.bytes_ahead = size
        if more > 0:
            self.account.charge(more)
        else:
            self.account.release(-more)

    def parse_on(self) -> None:
        """Parse bytes that were received before the connection's turn."""
        if self._has_events_left:
            self._has_events_left = False
            self._read_events(just_read=False)

    def _read_events(self, just_read: bool) -> None:
        """Handle the received events up to the end of a request, or until others have their turn.

        Parameters
        ----------
        just_read
            Whether they have waited for the event loop alone, and not for another request, for memory or for
            the connection's turn.
        """
        if self.state not in READING_STATES:
            return
        chunks: list[bytes] = []  # parts of the body that are handled together
        try:
            for _ in range(MAX_EVENTS_PER_TURN):
                event = self.http.next_event()
                if type(event) is h11.Data:
                    chunks.append(event.data)
                    continue
                if chunks:
                    self._handle_data(b"".join(chunks), just_read)
                    chunks.clear()
                if self.state not in READING_STATES or not self._handle_event(event, just_read):
                    return
            if chunks:
                self._handle_data(b"".join(chunks), just_read)
            if self.state in READING_STATES:
                self.reads_little = True
                self._has_events_left = True
                self.wait_for_turn()
        except h11.RemoteProtocolError as error:
            self._reject_and_close(RequestProblem(error.error_status_hint, str(error)))

    def _handle_event(self, event: Any, just_read: bool) -> bool:
        """Handle an event that is no part of a body; returns whether more of the request is to be parsed."""
        if event is h11.NEED_DATA:
            if self.http.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
            self._mark_unfinished()
            return False
        if type(event) is h11.Request:
            self._handle_head(event)
        elif type(event) is h11.EndOfMessage:
            self._handle_end(just_read)
        else:  # paused or closed: no further request can arrive on this connection
            self._linger()
        return self.state in READING_STATES

    def wait_for_turn(self) -> None:
        """Parse and read on only after others had their turn."""
        self._mark_unfinished()
        if self.upload_clock is not None:
            self.upload_clock.pause()
        super().wait_for_turn()
