"""Units of time of the decisions.

They stand here beside `hollybay.units`, as this package imports nothing but the standard library.
"""

from __future__ import annotations

__all__ = ["MS", "SECOND"]

MS = 1_000_000
"""One millisecond in nanoseconds."""

SECOND = 1_000_000_000
"""One second in nanoseconds."""
