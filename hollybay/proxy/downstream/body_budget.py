"""The memory budget of request bodies that are held until they are complete."""

from __future__ import annotations

from collections import OrderedDict

from ..flow_control import BodySource
from ..message_limits import MAX_HELD_BODY_BYTES

__all__ = ["BodyBudget"]


class BodyBudget:
    """Memory for bodies that are not small. A reader without room leaves the rest of its body to the kernel.

    Parameters
    ----------
    total
        Bytes that all bodies together may hold.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        self.held: OrderedDict[BodySource, int] = OrderedDict()
        self.waiting: OrderedDict[BodySource, None] = OrderedDict()

    def charge(self, reader: BodySource, size: int) -> bool:
        """Account for bytes that were read; False: the reader must read no more for now."""
        self.held[reader] = self.held.get(reader, 0) + size
        self.used += size
        if self._has_room(reader):
            return True
        self.waiting[reader] = None
        return False

    def stop_waiting(self, reader: BodySource) -> None:
        """Note that a reader's body is complete; what it holds stays charged."""
        self.waiting.pop(reader, None)

    def release(self, reader: BodySource) -> None:
        """Give back what a reader held, and let others read on."""
        self.waiting.pop(reader, None)
        self.used -= self.held.pop(reader, 0)
        for other in [waiting for waiting in self.waiting if self._has_room(waiting)]:
            del self.waiting[other]
            other.set_reading(True)

    def _has_room(self, reader: BodySource) -> bool:
        # Room for one whole body is reserved for the oldest reader, which never waits: otherwise half-read
        # bodies could fill the budget, and none would ever be complete.
        return next(iter(self.held)) is reader or self.used < self.total - MAX_HELD_BODY_BYTES
