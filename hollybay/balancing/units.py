"""Units of time.

They duplicate those of `hollybay.units` because this package imports only the standard library.
"""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
"""One millisecond in nanoseconds."""

SECOND = 1_000_000_000
"""One second in nanoseconds."""
