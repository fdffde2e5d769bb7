"""Admin server: a listener of its own that takes one HTTP request per connection.

It frames requests and responses; `AdminService` carries the requests out. Imported only where the
configuration has an admin address.

An operator is answered within a second however busy the node is. The server therefore has file descriptors
of its own, and a connection that stays silent gives way to a new one.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum, auto
from http import HTTPStatus
from typing import cast

import h11

from hollybay.admin.requests import (
    AdminOperation,
    AdminRequest,
    RejectedRequest,
    is_policy_target,
    parse_request,
)

from . import system

__all__ = ["JSON_CONTENT_TYPE", "MAX_CONNECTIONS", "AdminResponse", "AdminServer"]

log = logging.getLogger("hollybay.proxy")

MAX_CONNECTIONS = 16
DEFAULT_BACKLOG = 64
REQUEST_TIMEOUT_S = 2.0  # from the connection to its complete request
RESPONSE_TIMEOUT_S = 5.0  # for a handler that answers later
LINGER_TIMEOUT_S = 1.0  # from the response to the close, for a client that does not close
MAX_REQUEST_BYTES = 8 << 10  # head and body together

TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"
JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Response to an admin request: status, body and content type."""

    status: int
    body: bytes
    content_type: str = TEXT_CONTENT_TYPE

    @classmethod
    def text(cls, status: int, line: str) -> AdminResponse:
        """Make a response of one line of text, to which the line end is added."""
        return cls(status, line.encode() + b"\n")

    @classmethod
    def json(cls, status: int, value: object) -> AdminResponse:
        """Make a response of a value encoded as JSON."""
        return cls(status, json.dumps(value).encode() + b"\n", JSON_CONTENT_TYPE)


Handler = Callable[[AdminRequest], AdminResponse | Awaitable[AdminResponse]]


class _ConnectionState(Enum):
    """State of an admin connection."""

    READING = auto()  # the request is not complete
    HANDLING = auto()  # the request is complete and its handler answers later
    FINISHED = auto()  # the response is sent, or the connection is aborted


class _AdminConnection(asyncio.Protocol):
    """One connection: reads one request, sends one response and closes."""

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.state = _ConnectionState.READING
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        self.request: h11.Request | None = None
        self.received_bytes = 0
        self.policy_body: list[bytes] = []
        self.handler_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.server.loop.call_later(REQUEST_TIMEOUT_S, self._on_request_timeout)
        self.server.add_connection(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        self._stop_timer()
        self.server.connections.pop(self, None)
        if self.handler_task is not None:
            self.handler_task.cancel()

    def eof_received(self) -> bool:
        # A client may shut down its sending side once its request is complete. After the response its end of
        # file closes the connection, which would otherwise occupy a slot until the linger timeout.
        if self.state is _ConnectionState.READING:
            self.abort()
        return self.state is not _ConnectionState.FINISHED

    def data_received(self, data: bytes) -> None:
        if self.state is not _ConnectionState.READING:
            return
        self.received_bytes += len(data)
        try:
            self._check_size(max(self._max_request_bytes, self._max_unparsed_bytes))
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._respond(AdminResponse.text(error.error_status_hint, str(error)))
        except Exception:
            # An unforeseen error fails this request and nothing else.
            log.exception("admin request failed")
            self._respond(AdminResponse.text(HTTPStatus.INTERNAL_SERVER_ERROR, "failed"))

    # Reading the request

    @property
    def _max_request_bytes(self) -> int:
        """Limit for this request, as far as its target is known."""
        if self.request is not None and is_policy_target(self.request.target.decode("latin-1")):
            return self.server.max_policy_request_bytes
        return MAX_REQUEST_BYTES

    @property
    def _max_unparsed_bytes(self) -> int:
        """Limit for what arrives together with the head, which is checked again once the head is parsed."""
        return self.server.max_policy_request_bytes if self.request is None else 0

    def _check_size(self, limit: int) -> None:
        if self.received_bytes > limit:
            raise h11.RemoteProtocolError(
                "the call is too long", error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )

    def _read_events(self) -> None:
        while self.state is _ConnectionState.READING:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if isinstance(event, h11.Request):
                self.request = event
                self._check_size(self._max_request_bytes)
            elif isinstance(event, h11.Data):
                if self._max_request_bytes > MAX_REQUEST_BYTES:
                    self.policy_body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
                return
            else:
                self.abort()
                return

    def _handle_request(self) -> None:
        assert self.request is not None
        request = parse_request(self.request.method.decode("ascii"), self.request.target.decode("latin-1"))
        if isinstance(request, RejectedRequest):
            self._respond(AdminResponse.text(request.status, request.reason), request.allowed_methods)
            return
        if request.operation is AdminOperation.POLICY and request.body is not None:
            request = replace(request, body=b"".join(self.policy_body))
        response = self.server.handler(request)
        if isinstance(response, AdminResponse):
            self._respond(response)
            return
        self.state = _ConnectionState.HANDLING
        self._stop_timer()
        self.handler_task = self.server.loop.create_task(self._respond_later(response))

    async def _respond_later(self, pending_response: Awaitable[AdminResponse]) -> None:
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await pending_response
        except TimeoutError:
            response = AdminResponse.text(HTTPStatus.GATEWAY_TIMEOUT, "no answer in time")
        except Exception:
            log.exception("admin request failed")
            response = AdminResponse.text(HTTPStatus.INTERNAL_SERVER_ERROR, "failed")
        self._respond(response)

    def _on_request_timeout(self) -> None:
        self._respond(AdminResponse.text(HTTPStatus.REQUEST_TIMEOUT, "the call is not whole in time"))

    # Sending the response

    def _respond(self, response: AdminResponse, allowed_methods: str = "") -> None:
        if self.state is _ConnectionState.FINISHED:
            return
        self.state = _ConnectionState.FINISHED
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send_response(response, allowed_methods)
        self._stop_timer()
        self.timer = self.server.loop.call_later(LINGER_TIMEOUT_S, self.abort)
        # Shut down the sending side first: a close with unread bytes would reset the connection and could
        # destroy the response.
        if self.transport.can_write_eof() and not self.transport.is_closing():
            try:
                self.transport.write_eof()
            except OSError:  # a reset has arrived and was not yet read
                self.abort()

    def _send_response(self, response: AdminResponse, allowed_methods: str) -> None:
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
        ]
        if allowed_methods:
            headers.append(("Allow", allowed_methods))
        head = h11.Response(
            status_code=response.status, reason=HTTPStatus(response.status).phrase, headers=headers
        )
        if self.request is not None and self.request.method == b"HEAD":
            self._send(head, h11.EndOfMessage())  # RFC 9110, section 9.3.2: no content
        else:
            self._send(head, h11.Data(data=response.body), h11.EndOfMessage())

    def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.http.send(event) or b"" for event in events)
        if not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        self.state = _ConnectionState.FINISHED
        self.server.connections.pop(self, None)
        self.transport.abort()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class AdminServer:
    """Listener for admin requests and its connections.

    Parameters
    ----------
    handler
        Carries out a request; returns its response, or an awaitable of it.

    Attributes
    ----------
    max_policy_request_bytes
        Limit for the head and body of a policy request.
    max_connections
        Connections at once; one more displaces the oldest.
    backlog
        Length of the kernel's queue of connections that are not accepted yet.
    port
        Port that it listens on; 0 before `open`.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.max_policy_request_bytes = MAX_REQUEST_BYTES
        self.max_connections = MAX_CONNECTIONS
        self.backlog = DEFAULT_BACKLOG
        self.port = 0
        self.loop = asyncio.get_running_loop()
        self.connections: dict[_AdminConnection, None] = {}  # ordered by age
        self._listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> int:
        """Listen on an address and return the port; port 0 lets the kernel choose.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        sock = system.tcp_socket(host)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.setblocking(False)
        self._listener = await self.loop.create_server(
            lambda: _AdminConnection(self), sock=sock, backlog=self.backlog
        )
        self.port = int(sock.getsockname()[1])
        return self.port

    def add_connection(self, connection: _AdminConnection) -> None:
        """Register a connection.

        Beyond `max_connections` the oldest one without a handler under way is closed; if all others have one,
        that is the new connection.
        """
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            oldest = next(other for other in self.connections if other.handler_task is None)
            oldest.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()
