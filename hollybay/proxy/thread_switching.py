"""Shorter switch interval of threads, so that the event loop stays responsive while a policy is compiled."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["short_switch_interval"]

# With the interpreter's default of 5 ms, each iteration of the event loop could be delayed by that time.
SWITCH_INTERVAL_S = 0.0005


@contextmanager
def short_switch_interval() -> Iterator[None]:
    """Let the thread that compiles a policy yield to the event loop sooner."""
    interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        yield
    finally:
        sys.setswitchinterval(interval)
