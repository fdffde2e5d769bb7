"""Memory budget for request bodies that are buffered until they are complete."""

from __future__ import annotations

from collections import OrderedDict

from ..flow_control import BodySource
from ..memory_budget import MemoryBudget
from ..message_limits import MAX_HELD_BODY_BYTES

__all__ = ["BodyBudget"]


class BodyBudget:
    """Memory budget shared by all buffered bodies that are not small.

    A reader for which there is no room pauses reading, so that the rest of its body waits in the kernel. The
    budget sets no limit on how long: the reader does, as only it knows until when its client waits.

    Parameters
    ----------
    total
        Size of the budget (bytes).
    memory
        Memory budget of all connections, which this budget is part of.

    Attributes
    ----------
    used
        Bytes charged to the budget.
    charged
        Bytes charged by each reader, the oldest reader first.
    waiting
        Readers that have paused until there is room.
    """

    def __init__(self, total: int, memory: MemoryBudget) -> None:
        self.total = total
        self.memory = memory
        self.used = 0
        self.charged: OrderedDict[BodySource, int] = OrderedDict()
        self.waiting: OrderedDict[BodySource, None] = OrderedDict()

    def charge(self, reader: BodySource, size: int) -> bool:
        """Charge bytes that were read; False if the reader must pause reading for now."""
        self.charged[reader] = self.charged.get(reader, 0) + size
        self.used += size
        self.memory.charge(size)
        if self._has_room(reader):
            return True
        self.waiting[reader] = None
        self.memory.on_release = self._resume_readers
        return False

    def is_waiting(self, reader: BodySource) -> bool:
        """Whether a reader has paused until there is room."""
        return reader in self.waiting

    def stop_waiting(self, reader: BodySource) -> None:
        """Remove a reader whose body is complete from those that wait; its bytes stay charged."""
        self.waiting.pop(reader, None)

    def release(self, reader: BodySource) -> None:
        """Release the bytes of a reader, and resume readers that now have room."""
        self.waiting.pop(reader, None)
        charged = self.charged.pop(reader, 0)
        if charged:
            self.used -= charged
            self.memory.release(charged)
        if self.waiting:
            self._resume_readers()

    def _resume_readers(self) -> None:
        """Resume the readers that now have room."""
        for other in [waiting for waiting in self.waiting if self._has_room(waiting)]:
            # Another reader may have been resumed meanwhile, and have taken the room.
            if other in self.waiting and self._has_room(other):
                del self.waiting[other]
                other.set_reading(True)
        if not self.waiting:
            self.memory.on_release = None

    def _has_room(self, reader: BodySource) -> bool:
        # Room for one maximum-size body is reserved for the oldest reader, which never waits. Otherwise
        # partly read bodies could fill the budget, and none of them would ever complete.
        if next(iter(self.charged)) is reader:
            return True
        if self.used >= self.total - MAX_HELD_BODY_BYTES:
            return False
        return self.memory.has_room_for_body(MAX_HELD_BODY_BYTES)
