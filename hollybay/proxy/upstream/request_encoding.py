"""Encoding of requests to servers, in pieces that allow the last byte to be held back.

A server runs a request only once it has the last byte, so the piece with the last byte is written last.
"""

from __future__ import annotations

from hollybay.units import MS

from .. import system
from ..http_messages import ForwardedRequest, Headers, encode_head
from ..message_limits import SMALL_BODY_BYTES
from ..streaming_body import StreamingBody

__all__ = ["StreamingBodyEncoder", "encode_request", "headers_with_time_left"]

CHUNKED_END = b"0\r\n\r\n"
# Format of the request line; its arguments are the method and the target.
_REQUEST_LINE_FORMAT = b"%s %s HTTP/1.1"


def headers_with_time_left(message: ForwardedRequest, deadline: int) -> Headers:
    """Return the headers of a request, with the time left until a deadline (ns of the monotonic clock)."""
    left = max(1, (deadline - system.monotonic_ns()) // MS)
    return [*message.headers, (b"x-time-left-ms", b"%d" % left)]


def encode_request(
    message: ForwardedRequest, headers: Headers, is_last_byte_held: bool
) -> list[bytes | bytearray]:
    """Return the pieces of a request with a buffered body, in reverse order.

    Parameters
    ----------
    message
        The request.
    headers
        Its headers; the framing of the body is appended to them.
    is_last_byte_held
        Whether the last byte is a separate piece, so that it can be held back.
    """
    if message.method != b"GET" or message.size:
        headers.append((b"content-length", b"%d" % message.size))
    request_line = _REQUEST_LINE_FORMAT % (message.method, message.target)
    pieces: list[bytes | bytearray] = [encode_head(request_line, headers), *message.body]
    if message.size <= SMALL_BODY_BYTES:
        pieces = [b"".join(pieces)]
    if is_last_byte_held:
        last = pieces.pop()
        pieces += [last[:-1], last[-1:]]
    pieces.reverse()
    return pieces


class StreamingBodyEncoder:
    """Encodes a streaming body, and holds back the piece with its last byte.

    Parameters
    ----------
    body
        The body.
    """

    __slots__ = ("_held_byte", "_is_chunked", "_length")

    def __init__(self, body: StreamingBody) -> None:
        self._length = body.length
        self._is_chunked = body.length is None
        self._held_byte = b""  # the latest byte of the body, as it may be the last one

    def encode_head(self, message: ForwardedRequest, headers: Headers) -> bytes:
        """Return the head of the request, with the framing of the body."""
        framing = (b"transfer-encoding", b"chunked")
        if self._length is not None:
            framing = (b"content-length", b"%d" % self._length)
        return encode_head(_REQUEST_LINE_FORMAT % (message.method, message.target), [*headers, framing])

    def encode(self, data: bytes) -> bytes:
        """Return the bytes to write for the next part of the body; they may be empty."""
        if self._is_chunked:
            return b"%x\r\n%s\r\n" % (len(data), data)
        data = self._held_byte + data
        data, self._held_byte = data[:-1], data[-1:]
        return data

    def last_piece(self) -> bytes:
        """Return the piece that completes the request, after the whole body was encoded."""
        return CHUNKED_END if self._is_chunked else self._held_byte
