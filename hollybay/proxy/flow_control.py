"""Back-pressure: what brings the bytes of a streamed body can be told to wait."""

from __future__ import annotations

from typing import Protocol

__all__ = ["BodySource"]


class BodySource(Protocol):
    """Where the bytes of a body come from that somebody else takes at a pace of their own."""

    def set_reading(self, reading: bool) -> None:
        """Go on reading, or leave to the kernel (and so to the sender) what comes."""
