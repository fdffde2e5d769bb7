"""HTTP requests and responses in the form in which they are forwarded, and the rules for their headers.

Section numbers refer to RFC 9110.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import h11

from .streaming_body import StreamingBody

__all__ = [
    "ForwardedRequest",
    "ForwardedResponse",
    "Headers",
    "encode_head",
    "end_to_end_headers",
    "lowercase_headers",
    "names_not_forwarded",
]

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection and not to the message (section 7.6.1), and headers that the node
# writes itself.
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


@dataclass(slots=True)
class ForwardedRequest:
    """A request as it is sent to a server.

    Attributes
    ----------
    method, target, headers
        The head; `headers` does not include the framing of the body.
    body
        The parts of the body; empty if it is streamed.
    size
        Length (bytes) of the body.
    streaming_body
        The body, if it is too long to be buffered; None if it is in `body`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Sequence[bytes | bytearray]
    size: int
    streaming_body: StreamingBody | None = None


@dataclass(slots=True)
class ForwardedResponse:
    """A server's response as it is written to the client.

    Attributes
    ----------
    status, headers
        The head; `headers` does not include the framing of the body.
    body
        The parts of the body; None if it is streamed.
    length
        Length (bytes) of a streamed body; None if the server did not state it.
    """

    status: int
    headers: Headers
    body: Sequence[bytes | bytearray] | None = None
    length: int | None = None


def lowercase_headers(event: h11.Request | h11.Response) -> Headers:
    """Return the headers of an event as a list, names in lower case; h11's own type is slow to iterate."""
    return [(name.lower(), value) for name, value in event.headers.raw_items()]


def names_not_forwarded(names: Iterable[bytes] = ()) -> frozenset[bytes]:
    """Return the names of the headers that are not forwarded: connection headers and the given ones."""
    return _CONNECTION_HEADERS.union(names)


def end_to_end_headers(headers: Headers, dropped: Collection[bytes]) -> Headers:
    """Return the headers that are forwarded with a message.

    Parameters
    ----------
    headers
        All headers, with names in lower case.
    dropped
        Names that are removed, in addition to those listed in a Connection header (section 7.6.1).
    """
    for name, value in headers:
        if name == b"connection":
            dropped = {*dropped, *(token.strip().lower() for token in value.split(b","))}
    return [header for header in headers if header[0] not in dropped]


def encode_head(start_line: bytes, headers: Headers) -> bytes:
    """Return the encoded head of a message.

    It is not written by h11, whose checks and copies would cost as much as parsing the head. This is safe, as
    its parts were already checked by h11 or come from the node itself.
    """
    return b"%s\r\n%s\r\n" % (start_line, b"".join([b"%s: %s\r\n" % header for header in headers]))
