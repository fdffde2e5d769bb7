"""What the head of a server's response says of the attempt, by the operators' protocol and RFC 9112."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from hollybay.balancing import interface as api

from ..http_messages import Headers, lowercase_headers
from ..message_limits import MAX_BODY_BYTES

__all__ = [
    "INFORMATIONAL_FIRST_DIGITS",
    "PLACEHOLDER_REQUEST",
    "STATUS_OK",
    "ResponseHead",
    "check_framing",
    "read_head",
    "result_of_failure",
]

STATUS_OK = 200
# With `X-Unprocessed: 1` these say that the server has not run the request.
REJECTING_STATUSES = (503, 504)
# What h11 must know of the request, which is not written through it, before it takes an informational
# response (RFC 9110, 15.2): responses to GET and to POST end alike. It is told only where one comes, to save
# the time on all other requests.
PLACEHOLDER_REQUEST = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"server")])
# The first digit of such a response's status, or nothing where that has not come yet.
INFORMATIONAL_FIRST_DIGITS = (b"1", b"")


@dataclass(slots=True)
class ResponseHead:
    """The head of a response. length: bytes of the body as told, None: not told; load_report: as sent."""

    headers: Headers
    length: int | None = None
    chunked: bool = False
    load_report: bytes | None = None


def read_head(event: h11.Response, load_header: bytes) -> ResponseHead:
    """Read what the node needs of a head; load_header: the name of the header with the server's load."""
    found = ResponseHead(lowercase_headers(event))
    for name, value in found.headers:
        if name == b"content-length":
            found.length = int(value)
        elif name == b"transfer-encoding":
            found.chunked = True
        elif name == load_header:
            found.load_report = value
    return found


def result_of_failure(event: h11.Response, headers: Headers) -> api.Result:
    """Tell a response without success that proves that nothing ran from one that does not."""
    unprocessed = event.status_code in REJECTING_STATUSES and any(
        name == b"x-unprocessed" and value.strip() == b"1" for name, value in headers
    )
    return api.Result.REJECTED if unprocessed else api.Result.ERROR


def check_framing(found: ResponseHead) -> None:
    """Refuse a head whose body could not be passed on.

    Raises
    ------
    h11.RemoteProtocolError
        The head tells two framings (RFC 9112, section 6.3), or a body that is too long.
    """
    if found.chunked and found.length is not None:
        # Passed on as it comes it would be told to the client by a length that it does not have.
        raise h11.RemoteProtocolError("two framings")
    if found.length is not None and found.length > MAX_BODY_BYTES:
        # One that says so and goes on coming would be passed on for ever.
        raise h11.RemoteProtocolError("too long")
