"""Units of time, used by all packages.

Durations and points in time are integers of nanoseconds unless a name says otherwise (`_S`, `_MS`), so that
``3 * SECOND`` is a duration, and ``duration / SECOND`` is a number of seconds.
"""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
"""One millisecond in nanoseconds."""

SECOND = 1_000_000_000
"""One second in nanoseconds."""
