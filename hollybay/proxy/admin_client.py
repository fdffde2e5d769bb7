"""HTTP client of the admin server, for policy requests of other nodes and of the command line.

Each request uses a new connection, which is closed after the response.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import cast

import h11

from hollybay.consensus.errors import MalformedDataError, RejectedError
from hollybay.consensus.messages import MAX_CALL_BYTES
from hollybay.consensus.requests import CallFailedError

from .http_parsers import new_response_parser

__all__ = ["call_policy"]

MAX_RESPONSE_BYTES = MAX_CALL_BYTES
POLICY_TARGET = "/-/policy"
SUCCESS_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.ACCEPTED})


async def call_policy(
    address: str, path: str, body: bytes | None, timeout_s: float, caller: str = "operator"
) -> bytes:
    """Send a policy request to an admin server and return the body of its response.

    Parameters
    ----------
    address
        Address of the admin server, as host:port; an IPv6 host stands in brackets.
    path
        Path below ``/-/policy``; empty for that path itself.
    body
        Body of a POST request; None makes it a GET request.
    timeout_s
        Timeout of the whole call (s).
    caller
        Name of the caller, for the User-Agent header.

    Raises
    ------
    CallFailedError
        No valid response arrived in time, or its status is not a success.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    call = _PolicyCall(address, path, body, caller)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: call, host.strip("[]"), int(port))
            return await call.response_body
    except (OSError, TimeoutError, ValueError, h11.ProtocolError) as error:
        raise CallFailedError(f"{address}: {type(error).__name__}: {error}") from None
    finally:
        call.close()


class _PolicyCall(asyncio.Protocol):
    """Connection that sends one request and reads its response.

    Attributes
    ----------
    response_body
        Result of the call: the body of a successful response, or CallFailedError.
    """

    def __init__(self, address: str, path: str, body: bytes | None, caller: str) -> None:
        self.address = address
        self.path = path
        self.body = body
        self.caller = caller
        self.http = new_response_parser()
        self.response_body: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.status = 0
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.transport: asyncio.Transport | None = None

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.transport.write(self._encode_request())

    def data_received(self, data: bytes) -> None:
        if self.response_body.done():
            return
        try:
            self.http.receive_data(data)
            self._read_events()
        except (h11.ProtocolError, RejectedError) as error:
            if not self.response_body.done():
                self.response_body.set_exception(CallFailedError(f"{self.address}: {error}"))

    def connection_lost(self, _exc: Exception | None) -> None:
        if not self.response_body.done():
            self.response_body.set_exception(
                CallFailedError(f"{self.address}: connection closed before the response")
            )

    # Request and response

    def _encode_request(self) -> bytes:
        headers = [
            ("Host", self.address),
            ("User-Agent", f"hollybay {self.caller}"),
            ("Content-Length", str(len(self.body or b""))),
        ]
        method = "GET" if self.body is None else "POST"
        target = f"{POLICY_TARGET}/{self.path}" if self.path else POLICY_TARGET
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=headers)]
        if self.body:
            events.append(h11.Data(data=self.body))
        events.append(h11.EndOfMessage())
        return b"".join(self.http.send(event) or b"" for event in events)

    def _read_events(self) -> None:
        while not self.response_body.done():
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                return
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self._append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            else:
                raise MalformedDataError("incomplete response")

    def _append(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.received_bytes += len(chunk)
        if self.received_bytes > MAX_RESPONSE_BYTES:
            raise MalformedDataError("response too long")

    def _finish(self) -> None:
        body = b"".join(self.chunks)
        if self.status in SUCCESS_STATUSES:
            self.response_body.set_result(body)
        else:
            self.response_body.set_exception(CallFailedError(body.decode("utf-8", "replace"), self.status))

    def close(self) -> None:
        """Close the connection; an error that was not awaited is discarded."""
        if self.response_body.done() and not self.response_body.cancelled():
            self.response_body.exception()
        else:
            self.response_body.cancel()
        if self.transport is not None:
            self.transport.abort()
