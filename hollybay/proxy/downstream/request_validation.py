"""Validation of a request head that h11 has parsed: framing, syntax, and the rules of its class.

Ambiguous requests are rejected before any of the body is read: the node must not forward a request whose
boundaries a server may see elsewhere (request smuggling), nor one that servers can only reject. Requests with
both framings, with a repeated header that determines how they are handled, or with a method that their class
does not allow are rejected.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from typing import NamedTuple

import h11

from hollybay.balancing.interface import Effect, RequestClass

from ..config import Config
from ..http_messages import Headers
from ..message_limits import MAX_HEAD_BYTES, MAX_HELD_BODY_BYTES
from ..name_table import NameTable

__all__ = [
    "HEALTH_PATHS",
    "LIVENESS_PATH",
    "RequestProblem",
    "class_index_of",
    "is_health_check",
    "validate_head",
]

LIVENESS_PATH = b"/health/live"
READINESS_PATH = b"/health/ready"
HEALTH_PATHS = (LIVENESS_PATH, READINESS_PATH)
# Headers that determine the handling or the framing of a request: repeating one of them is ambiguous.
UNIQUE_HEADERS = (b"host", b"x-correlation-id", b"x-time-left-ms", b"idempotency-key", b"content-length")
MAX_TIME_LEFT_MS = 86_400_000
MAX_TIME_LEFT_DIGITS = 9

_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")


class RequestProblem(NamedTuple):
    """Why a request is rejected: the status, and the reason that is sent to the client."""

    status: int
    reason: str


def class_index_of(target: bytes, names: NameTable) -> int | None:
    """Return the index of the class named by the first segment of a target; None if there is none."""
    path = target.split(b"?", 1)[0]
    return names.classes.get(path[1:].split(b"/", 1)[0].decode("latin-1")) if path[:1] == b"/" else None


def is_health_check(target: bytes) -> bool:
    """Whether a target is one of the node's health checks."""
    return target[:8] == b"/health/" and target.split(b"?", 1)[0] in HEALTH_PATHS


def validate_head(
    event: h11.Request,
    headers: Headers,
    values: dict[bytes, bytes],
    config: Config,
    class_index: int | None,
    max_body: int = MAX_HELD_BODY_BYTES,
    inspected_headers: Collection[bytes] = (),
) -> RequestProblem | None:
    """Return the problem of a request head, or None if it is valid.

    Parameters
    ----------
    event
        The head.
    headers
        All headers, with names in lower case.
    values
        One value of each header.
    config
        Configuration of the node.
    class_index
        Class of the request by its path or route; None if it has none.
    max_body
        Length (bytes) of the longest body that is accepted.
    inspected_headers
        Headers that the operator's routes match, which must be unique as well.
    """
    problem = _validate_framing(event, headers, values, max_body, inspected_headers)
    if problem is not None or event.target.split(b"?", 1)[0] in HEALTH_PATHS:
        return problem
    if class_index is None:
        return RequestProblem(404, "no such class")
    return _validate_for_class(event, values, config.settings.classes[class_index])


def _validate_framing(
    event: h11.Request,
    headers: Headers,
    values: dict[bytes, bytes],
    max_body: int,
    inspected_headers: Collection[bytes],
) -> RequestProblem | None:
    if event.http_version[:1] != b"1":
        return RequestProblem(505, "HTTP/1.0 and HTTP/1.1 are spoken here")
    if sum([len(name) + len(value) + 4 for name, value in headers]) + len(event.target) > MAX_HEAD_BYTES:
        return RequestProblem(431, "the head is too long")
    if len(values) != len(headers):
        names = [name for name, _ in headers]
        for name in (*UNIQUE_HEADERS, *inspected_headers):
            if names.count(name) > 1:
                return RequestProblem(400, f"{name.decode()}: more than once")
    length = values.get(b"content-length")
    if b"transfer-encoding" in values and (length is not None or event.http_version < b"1.1"):
        return RequestProblem(400, "both Content-Length and Transfer-Encoding, or the latter in HTTP/1.0")
    if length is not None and int(length) > max_body:
        return RequestProblem(413, f"the body is longer than {max_body} bytes")
    if _CONTROL.search(b"".join(values.values())):
        return RequestProblem(400, "a control character in a header")
    return None


def _validate_for_class(
    event: h11.Request, values: dict[bytes, bytes], request_class: RequestClass
) -> RequestProblem | None:
    effect = request_class.effect
    if event.method != (b"GET" if effect == Effect.SAFE else b"POST"):
        return RequestProblem(405, "not the method of this class")
    has_body = b"transfer-encoding" in values or int(values.get(b"content-length", b"0"))
    if event.method == b"GET" and has_body:
        return RequestProblem(400, "a GET with a body")
    if not _REQUEST_ID.fullmatch(values.get(b"x-correlation-id", b"")):
        return RequestProblem(400, "X-Correlation-Id: missing or senseless")
    if effect == Effect.KEYED and not values.get(b"idempotency-key"):
        # Servers need it to recognise duplicates, which this class allows.
        return RequestProblem(400, "Idempotency-Key: missing")
    time_left = values.get(b"x-time-left-ms")
    if time_left is not None and not _is_time_left(time_left):
        return RequestProblem(400, "X-Time-Left-Ms: no sane number")
    return None


def _is_time_left(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_TIME_LEFT_DIGITS and 0 < int(text) <= MAX_TIME_LEFT_MS
