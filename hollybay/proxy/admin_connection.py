"""Connection of the admin server: reads one request, sends its response and closes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from enum import Enum, auto
from http import HTTPStatus
from typing import Protocol, cast

import h11

from hollybay.admin.requests import (
    AdminOperation,
    AdminRequest,
    RejectedRequest,
    is_policy_target,
    parse_request,
)
from hollybay.admin.responses import AdminResponse

__all__ = ["MAX_REQUEST_BYTES", "AdminConnection", "AdminHandler", "ConnectionOwner"]

log = logging.getLogger("hollybay.proxy")

REQUEST_TIMEOUT_S = 2.0  # from the connection to the end of the request
RESPONSE_TIMEOUT_S = 5.0  # for a handler that returns an awaitable
LINGER_TIMEOUT_S = 1.0  # from the response to the close, if the client does not close
MAX_REQUEST_BYTES = 8 << 10  # head and body together

AdminHandler = Callable[[AdminRequest], AdminResponse | Awaitable[AdminResponse]]
"""Function that carries out a request and returns its response, or an awaitable of it."""


class _ConnectionState(Enum):
    """State of an admin connection."""

    READING = auto()  # the request is not complete
    HANDLING = auto()  # the request is complete and its response is awaited
    FINISHED = auto()  # the response was sent, or the connection was aborted


class ConnectionOwner(Protocol):
    """Interface of the server that accepted a connection, as far as the connection uses it.

    Attributes
    ----------
    loop
        Event loop of the connection's timers and tasks.
    max_policy_request_bytes
        Limit for the head and body of a policy request.
    """

    loop: asyncio.AbstractEventLoop
    max_policy_request_bytes: int

    def add_connection(self, connection: AdminConnection) -> None:
        """Register a new connection, which may close an older one or the new one itself."""
        ...

    def remove_connection(self, connection: AdminConnection) -> None:
        """Remove a connection that is closed or being closed; it may be removed already."""
        ...


class AdminConnection(asyncio.Protocol):
    """Connection that reads one request, sends one response and closes.

    Parameters
    ----------
    owner
        The server that accepted the connection.
    handler
        Function that carries out the request.

    Attributes
    ----------
    state
        State of the connection.
    request
        Head of the request; None until it is parsed.
    received_bytes
        Number of received bytes, which is compared with the limit of a request.
    policy_body
        Parts of the body of a policy request; other bodies are read and discarded.
    handler_task
        Task that awaits the response of the handler.
    timer
        Timeout of the request, then of the close.
    """

    def __init__(self, owner: ConnectionOwner, handler: AdminHandler) -> None:
        self.owner = owner
        self.handler = handler
        self.state = _ConnectionState.READING
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        self.request: h11.Request | None = None
        self.received_bytes = 0
        self.policy_body: list[bytes] = []
        self.handler_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and start the timeout of its request."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.owner.loop.call_later(REQUEST_TIMEOUT_S, self._on_request_timeout)
        self.owner.add_connection(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection, and cancel the handler that prepares its response."""
        self._stop_timer()
        self.owner.remove_connection(self)
        if self.handler_task is not None:
            self.handler_task.cancel()

    def eof_received(self) -> bool:
        """Close the connection unless a response is being prepared.

        A client may shut down its sending side after its request. After the response, an end of file closes
        the connection, which would otherwise count towards the limit until the linger timeout.
        """
        if self.state is _ConnectionState.READING:
            self.abort()
        return self.state is not _ConnectionState.FINISHED

    def data_received(self, data: bytes) -> None:
        """Process bytes of the request; an error is reported to the client."""
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
            # An unexpected error fails only this request.
            log.exception("admin request failed")
            self._respond(AdminResponse.text(HTTPStatus.INTERNAL_SERVER_ERROR, "failed"))

    # Reading the request

    @property
    def _max_request_bytes(self) -> int:
        """Limit for this request, according to its target if that is known."""
        if self.request is not None and is_policy_target(self.request.target.decode("latin-1")):
            return self.owner.max_policy_request_bytes
        return MAX_REQUEST_BYTES

    @property
    def _max_unparsed_bytes(self) -> int:
        """Limit for bytes that arrive together with the head; they are checked again when it is parsed."""
        return self.owner.max_policy_request_bytes if self.request is None else 0

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
        response = self.handler(request)
        if isinstance(response, AdminResponse):
            self._respond(response)
            return
        self.state = _ConnectionState.HANDLING
        self._stop_timer()
        self.handler_task = self.owner.loop.create_task(self._respond_later(response))

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
        self.timer = self.owner.loop.call_later(LINGER_TIMEOUT_S, self.abort)
        # Only the sending side is shut down, as closing with unread bytes would reset the connection, which
        # could destroy the response in transit.
        if self.transport.can_write_eof() and not self.transport.is_closing():
            try:
                self.transport.write_eof()
            except OSError:  # the client has reset the connection, and the event loop has not seen it yet
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
        self.owner.remove_connection(self)
        self.transport.abort()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
