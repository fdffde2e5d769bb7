"""Requests of the testbed's clients: what kinds there are, their bytes, and one on its way."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from hollybay.balancing import interface as api
from hollybay.units import MS

from .ledger import RequestEntry

__all__ = ["ClientRequest", "RequestMix", "encode_request"]

# Where the head tells how long the client will wait: filled in when the bytes are sent.
TIME_LEFT_PLACEHOLDER = b"%d"
UNSAFE_BODY = b"{}"


@dataclass(frozen=True, slots=True)
class RequestMix:
    """One kind of request.

    Attributes
    ----------
    cls
        Number of its class.
    target
        Its request target.
    share
        Its weight among all kinds.
    tenants
        Who sends it, each as often as the others; "" for nobody.
    headers
        Further headers.
    """

    cls: int
    target: bytes
    share: float = 1.0
    tenants: Sequence[str] = ("",)
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(slots=True)
class ClientRequest:
    """One request on its way.

    Attributes
    ----------
    entry
        Its entry in the ledger.
    mix
        Its kind.
    template
        Its bytes, with a placeholder for the time that its client will wait.
    is_retry
        Whether it repeats one that was rejected.
    cpu_wait_ns
        What this process had waited for a core when it was sent.
    on_new_connection
        Whether its connection was opened for it.
    is_sent
        Whether its bytes were written to a connection.
    excused_ns
        How much longer its client waits, as this process had no core for so long.
    timer
        Fires once its client waits no longer; None after its end.
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
        """How long its client will wait yet, rounded up."""
        return max(0, -(-(self.entry.deadline - time.monotonic_ns()) // MS))

    def encode(self) -> bytes:
        """Its bytes, if they were sent now."""
        return self.template % self.time_left_ms()


def encode_request(
    request_id: str,
    request_class: api.RequestClass,
    mix: RequestMix,
    tenant: str,
    is_retry: bool,
    body: bytes = UNSAFE_BODY,
) -> bytes:
    """The bytes of a request, with a placeholder (``%d``) for the time (ms) that its client will wait.

    Its body, where its class has one, may hold no "%".
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
