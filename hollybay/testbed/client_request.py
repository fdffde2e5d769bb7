"""Requests of the testbed's clients: their kinds, their encoding, and their state while in flight."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Sequence
from dataclasses import dataclass

from hollybay.balancing import interface as api
from hollybay.units import MS

from .ledger import RequestEntry

__all__ = ["ClientRequest", "RequestMix", "encode_request", "in_chunks"]

# Value of X-Time-Left-Ms in an encoded request: filled in when the request is sent.
TIME_LEFT_PLACEHOLDER = b"%d"
UNSAFE_BODY = b"{}"
END_OF_HEAD = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"Content-Length: \d+")


@dataclass(frozen=True, slots=True)
class RequestMix:
    """A kind of request, and its share of the load.

    Attributes
    ----------
    cls
        Index of the request class.
    target
        The request target.
    share
        Its weight among all kinds.
    tenants
        The tenants that send it, with equal probability; "" for a request without a tenant.
    headers
        Additional headers.
    """

    cls: int
    target: bytes
    share: float = 1.0
    tenants: Sequence[str] = ("",)
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class ClientRequest:
    """A request in flight.

    Attributes
    ----------
    entry
        Its entry in the ledger.
    mix
        Its kind.
    template
        The encoded request, with a placeholder for the time left until its deadline.
    is_retry
        Whether it retries a rejected request.
    cpu_wait_ns
        Total time that this process had waited for a core when the request was made.
    on_new_connection
        Whether its connection was opened for it.
    is_sent
        Whether it was written to a connection.
    excused_ns
        Extension of the client's time-out, for the time that this process waited for a core.
    timer
        The client's time-out; None once the request has ended.
    """

    entry: RequestEntry
    mix: RequestMix
    template: bytes
    is_retry: bool
    cpu_wait_ns: int
    on_new_connection: bool = True
    is_sent: bool = False
    excused_ns: int = 0
    timer: asyncio.TimerHandle | None = None

    def time_left_ms(self) -> int:
        """Time left until the deadline, rounded up."""
        return max(0, -(-(self.entry.deadline - time.monotonic_ns()) // MS))

    def encode(self) -> bytes:
        """Encode the request with the time left now."""
        return self.template % self.time_left_ms()


def encode_request(
    request_id: str,
    request_class: api.RequestClass,
    mix: RequestMix,
    tenant: str,
    is_retry: bool,
    body: bytes = UNSAFE_BODY,
) -> bytes:
    """Encode a request, with a placeholder (``%d``) for the time left (ms) until its deadline.

    The body, which only unsafe and keyed classes have, must not contain "%".
    """
    is_safe = request_class.effect == api.Effect.SAFE
    lines = [
        b"%s %s HTTP/1.1" % (b"GET" if is_safe else b"POST", mix.target),
        b"Host: service.internal",
        b"X-Correlation-Id: " + request_id.encode(),
        *(b"%s: %s" % pair for pair in mix.headers),
    ]
    if tenant:
        lines.append(b"X-Account: " + tenant.encode())
    if is_retry:
        lines.append(b"X-Repeat: 1")
    if request_class.effect == api.Effect.KEYED:
        lines.append(b"Idempotency-Key: " + request_id.encode())
    if not is_safe:
        lines.append(b"Content-Length: %d" % len(body))
    lines.append(b"X-Time-Left-Ms: ")
    head = b"\r\n".join(lines).replace(b"%", b"%%") + TIME_LEFT_PLACEHOLDER + b"\r\n\r\n"
    return head if is_safe else head + body


def in_chunks(request: bytes, size: int) -> bytes:
    """Return a request whose body comes in chunks of a size (bytes), in place of one with a length."""
    head, _, body = request.partition(END_OF_HEAD)
    head = CONTENT_LENGTH.sub(b"Transfer-Encoding: chunked", head)
    chunks = (body[start : start + size] for start in range(0, len(body), size))
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + END_OF_HEAD + encoded + b"0\r\n\r\n"
