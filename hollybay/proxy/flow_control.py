"""Back-pressure: what brings the bytes of a long body or answer can be told to wait."""

from __future__ import annotations

from typing import Protocol

__all__ = ["Source"]


class Source(Protocol):
    """Where bytes come from that somebody else takes at a pace of their own."""

    def read_on(self, reading: bool) -> None:
        """Go on reading, or leave to the kernel (and so to the sender) what comes."""
