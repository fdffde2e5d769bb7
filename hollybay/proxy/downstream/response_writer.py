"""Writing side of a client connection; `connection` adds the reading of requests."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import Any

import h11

from ..flow_control import BodySource
from ..http_messages import ForwardedResponse, Headers
from ..http_parsers import new_request_parser
from ..tcp_connection import TcpConnection
from .client_context import ClientContext
from .request import ClientRequest
from .request_admission import release_request
from .responses import REJECTED_BODY, response_bytes, retry_after_header
from .service_state import CLOSING_STATES
from .states import READING_STATES, ConnectionEvent, ConnectionState, next_state

__all__ = ["NO_REQUEST", "ResponseWriter"]

# Size of the kernel's send buffer for a streamed response. With a larger one, a client that reads slowly
# would appear not to read at all for seconds.
SEND_BUFFER_BYTES = 64 << 10

NO_REQUEST = 0
"""Value of `ResponseWriter.request_id` if the dispatcher is working on no request."""


class ResponseWriter(TcpConnection):
    """Writing side of a client connection, which carries one request at a time.

    Parameters
    ----------
    clients
        State shared by all client connections.
    sock
        The connected socket.

    Attributes
    ----------
    state
        State of the connection, for both directions; see `states`.
    http
        Parser of the current request, which also writes streamed responses.
    request
        The current request, from its head to the end of its response.
    request_id
        Number of the request that the dispatcher is working on; `NO_REQUEST` if there is none.
    body_source
        Source of the body of a streamed response.
    """

    def __init__(self, clients: ClientContext[Any], sock: socket.socket) -> None:
        super().__init__(sock, clients.parse_turns, clients.memory)
        self.clients = clients
        self.http = new_request_parser(self.account)
        self.state = ConnectionState.READING
        self.request: ClientRequest | None = None
        self.request_id = NO_REQUEST
        self.body_source: BodySource | None = None

    def _release_body(self) -> None:
        """Release the memory of the request's body, which no attempt sends any more."""
        raise NotImplementedError

    def _response_completed(self) -> None:
        """Release the request; the connection continues once the kernel has accepted the response."""
        raise NotImplementedError

    def respond(self, response: ForwardedResponse) -> None:
        """Write a complete response."""
        self._respond(response.status, response.headers, response.body or ())

    def reject(self, retry_after: int) -> None:
        """Respond with 503, after which a retry is harmless, and Retry-After (ns; none if 0)."""
        self._respond(503, retry_after_header(retry_after), (REJECTED_BODY,))

    def fail(self, status: int) -> None:
        """Respond with an error status."""
        self._respond(status, [], (b"failed\n",))

    def start_response(self, response: ForwardedResponse, body_source: BodySource) -> None:
        """Begin to write a streamed response, after which the request is not sent to a server again."""
        self._release_body()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        headers = response.headers
        if response.length is not None:
            headers = [*headers, (b"content-length", b"%d" % response.length)]
        self._write(h11.Response(status_code=response.status, headers=self._closing_headers(headers)))
        self.body_source = body_source
        self.clients.move(self, self.clients.writing)

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response; its source is paused while the client reads nothing."""
        self._write(h11.Data(data=data))
        if not self.is_write_buffered:
            self.clients.touch(self)
        elif self.body_source is not None:
            self.body_source.set_reading(False)

    def finish_response(self) -> None:
        """End a streamed response."""
        self._write(h11.EndOfMessage())
        self._response_completed()

    def abort_response(self) -> None:
        """Abort a streamed response by closing the connection, which the client detects with any framing."""
        self.request_id = NO_REQUEST
        self.body_source = None
        if self.request is not None:
            release_request(self.clients.admission, self.request)
        self.transport.abort()

    def _write(self, *events: h11.Event) -> None:
        data = b"".join(self.http.send(event) or b"" for event in events)
        if data and not self.transport.is_closing():
            self.write_bytes(data)

    def _respond(self, status: int, headers: Headers, body: Sequence[bytes]) -> None:
        """Write a complete response, without its body if the request is HEAD."""
        content = b"".join(body)
        headers = self._closing_headers([*headers, (b"content-length", b"%d" % len(content))])
        if self.request is not None and self.request.is_head:
            content = b""
        if not self.transport.is_closing():
            self.write_bytes(response_bytes(status, headers, content))
        self._response_completed()

    def _closing_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response, with `Connection: close` if the connection ends with it."""
        # The parser may be at the end of the request before the last part of its body is handled.
        is_unread = self.state in READING_STATES or self.http.their_state is not h11.DONE
        if self.clients.service_state in CLOSING_STATES or is_unread:
            self.state = next_state(self.state, ConnectionEvent.LAST_RESPONSE_BEGUN)
            return [*headers, (b"connection", b"close")]
        return headers
