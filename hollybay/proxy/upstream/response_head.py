"""Parsing of the head of a server's response, by the operators' protocol and RFC 9112."""

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
# Statuses that, with `X-Unprocessed: 1`, mean that the server has not run the request.
REJECTING_STATUSES = (503, 504)
# h11 accepts an informational response (RFC 9110, section 15.2) only after a request, and the real request is
# not written through h11. This one takes its place, as responses to GET and to POST are framed alike. It is
# sent to h11 only if an informational response may arrive, which saves time on all other requests.
PLACEHOLDER_REQUEST = h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"server")])
# First digit of the status of an informational response; empty if it was not received yet.
INFORMATIONAL_FIRST_DIGITS = (b"1", b"")


@dataclass(slots=True)
class ResponseHead:
    """Head of a response.

    Attributes
    ----------
    headers
        All headers, with names in lower case.
    length
        Content-Length (bytes); None if not stated.
    chunked
        Whether there is a Transfer-Encoding.
    load_report
        Value of the header with the server's load; None if there is none.
    """

    headers: Headers
    length: int | None = None
    chunked: bool = False
    load_report: bytes | None = None


def read_head(event: h11.Response, load_report_header: bytes) -> ResponseHead:
    """Read the parts of a head that the node needs, with the load report in the given header."""
    head = ResponseHead(lowercase_headers(event))
    for name, value in head.headers:
        if name == b"content-length":
            head.length = int(value)
        elif name == b"transfer-encoding":
            head.chunked = True
        elif name == load_report_header:
            head.load_report = value
    return head


def result_of_failure(event: h11.Response, headers: Headers) -> api.Result:
    """Return REJECTED if a failure response shows that the request was not run, else ERROR."""
    unprocessed = event.status_code in REJECTING_STATUSES and any(
        name == b"x-unprocessed" and value.strip() == b"1" for name, value in headers
    )
    return api.Result.REJECTED if unprocessed else api.Result.ERROR


def check_framing(head: ResponseHead) -> None:
    """Check that the body of a response can be forwarded.

    Raises
    ------
    h11.RemoteProtocolError
        The head has two framings (RFC 9112, section 6.3), or announces a body that is too long.
    """
    if head.chunked and head.length is not None:
        # If it were streamed, its Content-Length would be forwarded, which the chunked body need not have.
        raise h11.RemoteProtocolError("response has both Content-Length and Transfer-Encoding")
    if head.length is not None and head.length > MAX_BODY_BYTES:
        # Such a response could occupy its connections for an unlimited time.
        raise h11.RemoteProtocolError("Content-Length of the response too large")
