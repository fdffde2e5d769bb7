"""Shorter turns of threads, so that the event loop is served while another thread compiles a policy."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["short_switch_interval"]

# With the interpreter's default of 5 ms each turn of the event loop could be that much late.
SWITCH_INTERVAL_S = 0.0005


@contextmanager
def short_switch_interval() -> Iterator[None]:
    """Let a compiling thread yield to the event loop sooner."""
    interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        yield
    finally:
        sys.setswitchinterval(interval)
