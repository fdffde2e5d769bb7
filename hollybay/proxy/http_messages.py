"""HTTP messages as they are forwarded: requests, responses, and which headers belong to them.

Sections are those of RFC 9110.
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

# Headers of one connection, not of the message (7.6.1), and those that the node writes itself.
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
        Its head; the framing of the body is not in the headers.
    body
        The parts of its body, empty if that is streamed.
    size
        Length (bytes) of the body.
    streaming_body
        The body, if that is too long to be held; None: it is in `body`.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Sequence[bytes]
    size: int
    streaming_body: StreamingBody | None = None


@dataclass(slots=True)
class ForwardedResponse:
    """A server's response as it is written to the client.

    Attributes
    ----------
    status, headers
        Its head; the framing of the body is not in the headers.
    body
        The parts of its body; None if that is streamed.
    length
        Length (bytes) of a streamed body; None if the server did not state it.
    """

    status: int
    headers: Headers
    body: Sequence[bytes] | None = None
    length: int | None = None


def lowercase_headers(event: h11.Request | h11.Response) -> Headers:
    """Return an event's headers as a plain list, names in lower case; h11's own type is slow to iterate."""
    return [(name.lower(), value) for name, value in event.headers.raw_items()]


def names_not_forwarded(names: Iterable[bytes] = ()) -> frozenset[bytes]:
    """Return the names of headers that are not forwarded: those of the connection, and these."""
    return _CONNECTION_HEADERS.union(names)


def end_to_end_headers(headers: Headers, dropped: Collection[bytes]) -> Headers:
    """Return the headers of the message itself.

    Parameters
    ----------
    headers
        All headers, names in lower case.
    dropped
        Names that are left out, beside those that a Connection header lists (7.6.1).
    """
    for name, value in headers:
        if name == b"connection":
            dropped = {*dropped, *(token.strip().lower() for token in value.split(b","))}
    return [header for header in headers if header[0] not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the bytes of a message's head.

    Its parts were read and checked by h11, or are the node's own: to have h11 check and copy them once more
    on their way out would cost as much as reading them.
    """
    return b"%s\r\n%s\r\n" % (first_line, b"".join([b"%s: %s\r\n" % header for header in headers]))
