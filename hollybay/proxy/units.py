"""Units of time: durations and points in time are integers of nanoseconds unless a name says otherwise."""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
SECOND = 1_000_000_000
