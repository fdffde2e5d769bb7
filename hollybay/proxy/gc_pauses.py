"""Pauses of the cyclic garbage collector while much is loaded that stays.

A whole collection looks at every object: with the resources and the plan of 110,000 routes that took 1 to 5
s, in which no request is served. What is loaded at once has no cycles worth looking for.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LARGE", "paused"]

# Objects that were made meanwhile and are still there, from which on they count as there to stay.
LARGE = 50_000


class _Pauses:
    """How many pauses are under way, and whether the collector was on before the first of them."""

    def __init__(self) -> None:
        self.under_way = 0
        self.was_on = True


_pauses = _Pauses()


@contextmanager
def paused() -> Iterator[None]:
    """No collection meanwhile; if much was loaded, none looks at it later. Entered in the loop's thread."""
    if not _pauses.under_way:
        _pauses.was_on = gc.isenabled()
        gc.disable()
    _pauses.under_way += 1
    try:
        yield
    finally:
        _pauses.under_way -= 1
        if not _pauses.under_way:
            if gc.get_count()[0] > LARGE:
                gc.freeze()
            if _pauses.was_on:
                gc.enable()
