"""Responses that the node writes itself."""

from __future__ import annotations

import h11

from hollybay.units import SECOND

from ..http_messages import Headers, encode_head
from .request_validation import LIVENESS_PATH, RequestProblem

__all__ = [
    "REJECTED_BODY",
    "health_response",
    "rejection_events",
    "response_bytes",
    "retry_after_header",
]

REJECTED_BODY = b"refused\n"
"""Body of a response to a request that was not run."""

_STATUS_LINES = {status: b"HTTP/1.1 %d " % status for status in (200, 429, 502, 503, 504)}


def response_bytes(status: int, headers: Headers, content: bytes) -> bytes:
    """Return the bytes of a complete response."""
    return encode_head(_STATUS_LINES[status], headers) + content


def health_response(path: bytes, is_healthy: bool) -> tuple[int, bytes]:
    """Return status and body of the response to a health check; the liveness check always succeeds."""
    if path == LIVENESS_PATH or is_healthy:
        return 200, b"ok\n"
    return 503, b"not ready\n"


def rejection_events(problem: RequestProblem, headers: Headers) -> tuple[h11.Event, ...]:
    """Return the response to a request that is not read to its end, after which the connection closes.

    Parameters
    ----------
    problem
        Why the request is rejected.
    headers
        Headers in addition to those of the framing.
    """
    body = problem.reason.encode("latin-1", "replace") + b"\n"
    framing = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    response = h11.Response(status_code=problem.status, headers=[*headers, *framing])
    return response, h11.Data(data=body), h11.EndOfMessage()


def retry_after_header(retry_after: int) -> Headers:
    """Return the Retry-After header, in decimal seconds, for a time in ns; no header for 0."""
    return [(b"retry-after", b"%.3f" % (retry_after / SECOND))] if retry_after else []
