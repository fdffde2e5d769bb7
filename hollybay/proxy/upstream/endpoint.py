"""A server of the list, as the pools know it: its address, its idle connections, what is on its way to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hollybay.balancing import interface as api

from ..name_table import NameTable
from .attempt import UpstreamAttempt
from .hold_account import HoldAccount

__all__ = ["Endpoint", "PooledConnection"]


class PooledConnection(Protocol):
    """What a pool asks of an idle connection."""

    endpoint: Endpoint
    response_ended_at: float  # when (s, the loop's clock) its last response ended

    def is_alive(self) -> bool:
        """Tell whether the connection is whole and has nothing to read."""

    def is_settled(self, now: float) -> bool:
        """Tell whether nothing that comes can belong to the last response any more."""

    def settle_time_left(self) -> float:
        """Return for how long (s) what comes may still belong to the last response."""

    def set_reading(self, reading: bool) -> None:
        """Read from the socket, or leave to the kernel what comes."""

    def stop_timer(self) -> None:
        """Cancel the timer of the connection."""

    def begin(self, attempt: UpstreamAttempt) -> None:
        """Carry an attempt."""

    def close(self) -> None:
        """Close at once."""


class Endpoint:
    """A server of the list."""

    __slots__ = (
        "address",
        "draining",
        "holds",
        "id",
        "idle",
        "last_report",
        "unwritten_attempts",
        "write_cutoff",
    )

    def __init__(self, server: api.ServerId, address: tuple[str, int]) -> None:
        self.id = server
        self.address = address
        self.draining: asyncio.TimerHandle | None = None  # not None: it drains, also after the timer fired
        self.write_cutoff = (
            0.0  # while it drains: from when on nothing is written to it (s, the loop's clock)
        )
        self.idle: list[PooledConnection] = []  # the last one rested shortest and is taken first
        self.unwritten_attempts: dict[UpstreamAttempt, None] = {}  # in the order in which they were begun
        self.holds = HoldAccount()
        self.last_report: tuple[bytes, tuple[float, ...]] = (b"", ())

    def load_report(self, text: bytes, names: NameTable) -> tuple[float, ...]:
        """Return the values of its load report, which it renews less often than it answers."""
        if text != self.last_report[0]:
            self.last_report = (text, names.parse_load_report(text.decode("latin-1")))
        return self.last_report[1]
