"""Time limit of a request that is not read to its end: its connection has paused, or waits for its turn."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollybay.units import MS, SECOND

from ..streaming_body import StreamingBody

__all__ = ["PauseLimit", "PausedConnection"]

# How long (s) before the end of its client's time a paused request is ended.
MARGIN_S = 0.02
# Time (s) between two checks of a streamed body.
CHECK_INTERVAL_S = 0.25
# How long (s) a server takes nothing of a body before its client counts as waiting for the response, whether
# or not the rest of the body has arrived.
MAX_STALL_S = 1.0


class PausedConnection(Protocol):
    """Interface of a client connection, as far as the limit uses it.

    Attributes
    ----------
    streaming_body
        Body that is forwarded while it is still arriving; None while it is buffered.
    is_waiting_for_turn
        Whether bytes that have arrived wait for their turn to be parsed.
    """

    streaming_body: StreamingBody | None
    is_waiting_for_turn: bool

    def is_paused(self) -> bool:
        """Whether the connection has a request whose rest it does not read at the moment."""
        ...

    def remaining_body_bytes(self) -> int | None:
        """Return how many bytes of the body were not read yet; None if the client did not state a length."""
        ...

    def client_wait_s(self) -> float:
        """Return for how long (s) the client may have been waiting since it sent its last byte."""
        ...

    def client_time_left(self) -> int:
        """Return how long (ns) the client waits from the last byte of its request."""
        ...

    def read_delay(self) -> tuple[bool, int]:
        """Return whether the client is connected, and the age (ms) of the last bytes that arrived."""
        ...

    def unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read yet."""
        ...

    def abandon(self) -> None:
        """Close the connection of a client that has disconnected."""
        ...

    def end_paused_request(self) -> None:
        """Respond to the request, as its client's time is up."""
        ...


class PauseLimit:
    """Ends a paused request when its client's time is up.

    That time counts from the last byte of the request, which may lie unread in the kernel: until it is read,
    no other deadline runs. A client may have written that byte, to its own kernel, as soon as the node has
    fallen behind with reading; the age of what the node's kernel has received last does not show that, as
    more arrives whenever something is read. A request may be ended early, as its last byte has not been sent
    on.

    Parameters
    ----------
    loop
        The event loop.
    connection
        The connection that has paused.
    """

    __slots__ = ("_bytes_pulled", "_connection", "_handle", "_loop", "_progress_at")

    def __init__(self, loop: asyncio.AbstractEventLoop, connection: PausedConnection) -> None:
        self._loop = loop
        self._connection = connection
        self._bytes_pulled = 0
        self._progress_at = loop.time()
        # Not checked at once: the end of the request may be among the bytes that were just read.
        self._handle: asyncio.Handle | None = loop.call_soon(self._check)

    @property
    def is_running(self) -> bool:
        """Whether the request is still checked; not any more once it was found not paused."""
        return self._handle is not None

    def stop(self) -> None:
        """Stop checking, as the request is complete or has ended."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        self._handle = None
        connection = self._connection
        if not connection.is_paused():
            return
        is_open, last_byte_age_ms = connection.read_delay()
        if not is_open:
            connection.abandon()
            return
        waited = connection.client_wait_s()
        body = connection.streaming_body
        if body is None or self._is_client_waiting(body):
            waited = max(waited, last_byte_age_ms * MS / SECOND)
        left = connection.client_time_left() / SECOND - waited - MARGIN_S
        self._end_or_check_after(left if body is None else min(left, CHECK_INTERVAL_S))

    def _is_client_waiting(self, body: StreamingBody) -> bool:
        """Whether the rest of a streamed body has arrived, or the node or its server is behind with it."""
        if self._connection.is_waiting_for_turn:
            return True
        now = self._loop.time()
        if body.bytes_pulled != self._bytes_pulled:
            self._bytes_pulled = body.bytes_pulled
            self._progress_at = now
        if now - self._progress_at >= MAX_STALL_S:
            return True
        remaining = self._connection.remaining_body_bytes()
        return remaining is not None and self._connection.unread_bytes() >= remaining

    def _end_or_check_after(self, delay: float) -> None:
        if delay > 0.0:
            self._check_after(delay)
        else:
            self._connection.end_paused_request()

    def _check_after(self, delay: float) -> None:
        self._handle = self._loop.call_later(delay, self._check)
