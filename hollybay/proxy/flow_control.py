"""Back-pressure on the source of a streamed body."""

from __future__ import annotations

from typing import Protocol

__all__ = ["BodySource"]


class BodySource(Protocol):
    """Source of a body whose consumer may be slower than its sender."""

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading; while it is paused, the kernel's flow control stops the sender."""
