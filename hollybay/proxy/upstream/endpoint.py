"""A server as the pools see it: its address, its idle connections, and the attempts being written to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollybay.balancing import interface as api

from ..name_table import NameTable
from .attempt import UpstreamAttempt
from .hold_budget import HoldBudget

__all__ = ["Endpoint", "PooledConnection"]


class PooledConnection(Protocol):
    """Interface of an idle connection, as far as the pools use it."""

    endpoint: Endpoint
    response_ended_at: float  # time (s, clock of the event loop) at which its last response ended

    def is_alive(self) -> bool:
        """Whether the connection is open and has no unread bytes."""

    def is_settled(self, now: float) -> bool:
        """Whether bytes that arrive at a loop time (s) cannot belong to the last response any more."""

    def settle_time_left(self) -> float:
        """Return for how long (s) arriving bytes may still belong to the last response."""

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading from the socket."""

    def stop_timer(self) -> None:
        """Cancel the timer of the connection."""

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt on this connection."""

    def close(self) -> None:
        """Close the connection at once."""


class Endpoint:
    """A server of the server list, with its idle connections."""

    __slots__ = (
        "address",
        "drain_timer",
        "hold_budget",
        "id",
        "idle",
        "is_replaced",
        "last_report",
        "replaces",
        "unwritten_attempts",
        "up_since",
        "write_cutoff",
    )

    def __init__(self, server: api.ServerId, address: tuple[str, int], up_since: int = 0) -> None:
        self.id = server
        self.address = address
        self.up_since = up_since  # as in the server list
        # Whether another server was listed at the address later, so that new connections reach that one.
        self.is_replaced = False
        self.replaces: Endpoint | None = None  # the server that had the address before
        # Timer that ends unwritten attempts; set while the server drains, also after the timer has fired.
        self.drain_timer: asyncio.TimerHandle | None = None
        # Time (s, clock of the event loop) from which nothing is written to it, while it drains.
        self.write_cutoff = 0.0
        self.idle: list[PooledConnection] = []  # the most recently used one is last, and is taken first
        self.unwritten_attempts: dict[UpstreamAttempt, None] = {}  # in the order in which they started
        self.hold_budget = HoldBudget()
        self.last_report: tuple[bytes, tuple[float, ...]] = (b"", ())

    def load_report(self, text: bytes, names: NameTable) -> tuple[float, ...]:
        """Parse a load report of the server; the last one is cached, as most responses repeat it."""
        if text != self.last_report[0]:
            self.last_report = (text, names.parse_load_report(text.decode("latin-1")))
        return self.last_report[1]
