"""HTTP connection to the discovery service, for successive GET requests."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import NamedTuple

import h11

from .addresses import Address
from .http_parsers import new_response_parser
from .message_limits import READ_SIZE_BYTES

__all__ = ["DiscoveryConnection", "DiscoveryResponse"]

# A list takes about 150 bytes per server, and many times as much memory while it is parsed.
MAX_LIST_BYTES = 2 << 20


class DiscoveryResponse(NamedTuple):
    """A response of discovery with status 200.

    Attributes
    ----------
    body
        The complete body.
    reusable
        Whether the connection can take another request.
    """

    body: bytes
    reusable: bool


class _Streams(NamedTuple):
    """Both directions of an open connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def are_usable(self) -> bool:
        """Whether the connection has not been closed by either side, as far as the event loop knows."""
        return not self.reader.at_eof() and not self.writer.is_closing()


class DiscoveryConnection:
    """Connection to discovery, which opens with its first request.

    Parameters
    ----------
    address
        Address of the discovery service.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._streams: _Streams | None = None

    async def get(self, path: str) -> DiscoveryResponse:
        """Send a GET request and return its response; a connection that was closed meanwhile is replaced.

        Raises
        ------
        OSError
            The connection cannot be opened, or failed.
        ValueError
            The response is incomplete or too long, or its status is not 200.
        h11.RemoteProtocolError
            The response is malformed.
        """
        if self._streams is None or not self._streams.are_usable():
            if self._streams is not None:
                self._streams.writer.close()
            self._streams = _Streams(*await asyncio.open_connection(*self.address, limit=READ_SIZE_BYTES))
        return await _get(self._streams, self.address[0], path)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._streams is not None:
            self._streams.writer.transport.abort()


async def _get(streams: _Streams, host: str, path: str) -> DiscoveryResponse:
    http = new_response_parser()
    request = h11.Request(method="GET", target=path, headers=[("Host", host)])
    streams.writer.write(http.send(request) or b"")
    http.send(h11.EndOfMessage())
    body = bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await streams.reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Response):
            if event.status_code != HTTPStatus.OK:
                raise ValueError(f"status {event.status_code}")
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_LIST_BYTES:
                raise ValueError("response body too long")
        elif isinstance(event, h11.EndOfMessage):
            reusable = http.their_state is h11.DONE and not http.trailing_data[0]
            return DiscoveryResponse(bytes(body), reusable)
        elif not isinstance(event, h11.InformationalResponse):
            raise ValueError("connection closed before the end of the response")
