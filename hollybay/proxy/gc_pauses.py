"""Pausing of the cyclic garbage collector while a large, long-lived state is loaded.

A full collection traverses every object. With a large route table this takes seconds, during which no request
is served. The loaded objects contain no cycles that would need collection.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["FREEZE_THRESHOLD_OBJECTS", "paused"]

# If more objects than this were allocated, they count as long-lived and are exempted from collection.
FREEZE_THRESHOLD_OBJECTS = 50_000


class _PauseState:
    """Number of pauses in effect, and whether the collector was enabled before the first of them."""

    def __init__(self) -> None:
        self.depth = 0
        self.was_enabled = True


_state = _PauseState()


@contextmanager
def paused() -> Iterator[None]:
    """Pause the collector; if many objects were allocated, exempt all objects from later collections.

    To be entered only in the thread of the event loop; pauses may overlap.
    """
    if not _state.depth:
        _state.was_enabled = gc.isenabled()
        gc.disable()
    _state.depth += 1
    try:
        yield
    finally:
        _state.depth -= 1
        if not _state.depth:
            if gc.get_count()[0] > FREEZE_THRESHOLD_OBJECTS:
                gc.freeze()
            if _state.was_enabled:
                gc.enable()
