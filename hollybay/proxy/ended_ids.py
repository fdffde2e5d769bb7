"""Ids of requests that ended recently, in two generations of a fixed size.

The tables are hash tables of 64-bit numbers in plain memory, so that another process can look ids up in them.
"""

from __future__ import annotations

__all__ = ["DIGEST_BYTES", "RETENTION_S", "EndedIds"]

RETENTION_S = 10.0  # minimum time (s) for which an ended id is remembered, unless there are too many
DIGEST_BYTES = 8
GENERATIONS = 2
# Share of a table that is used, beyond which look-ups would become slow.
MAX_LOAD = 0.6


class _IdTable:
    """Hash table of nonzero 64-bit numbers, with open addressing.

    Parameters
    ----------
    entries
        Its memory, all zero; the number of entries is a power of two.
    """

    __slots__ = ("_entries", "_mask", "count")

    def __init__(self, entries: memoryview) -> None:
        self._entries = entries
        self._mask = len(entries) - 1
        self.count = 0

    def add(self, number: int) -> None:
        """Add a number, for which there has to be room."""
        entries, mask = self._entries, self._mask
        index = number & mask
        while (entry := entries[index]) and entry != number:
            index = (index + 1) & mask
        if not entry:
            entries[index] = number
            self.count += 1

    def contains(self, number: int) -> bool:
        """Whether a number was added."""
        entries, mask = self._entries, self._mask
        index = number & mask
        while entry := entries[index]:
            if entry == number:
                return True
            index = (index + 1) & mask
        return False

    def clear(self) -> None:
        """Remove all numbers."""
        size = len(self._entries) * DIGEST_BYTES
        self._entries.cast("B")[:] = bytes(size)
        self.count = 0


class EndedIds:
    """Ids that ended recently: for at least `RETENTION_S`, unless there are too many.

    Parameters
    ----------
    memory
        Memory of the tables, all zero unless another process writes them. Its size is a power of two of at
        least 32 bytes.

    Attributes
    ----------
    max_ids
        Maximum number of ids in each generation.
    """

    def __init__(self, memory: memoryview) -> None:
        entries = memory.cast("B").cast("Q")
        half = len(entries) // GENERATIONS
        self._current, self._previous = _IdTable(entries[:half]), _IdTable(entries[half:])
        self._started_at = 0.0
        self.max_ids = int(half * MAX_LOAD)

    def __len__(self) -> int:
        return self._current.count + self._previous.count

    def __contains__(self, number: int) -> bool:
        return self._current.contains(number) or self._previous.contains(number)

    def add(self, number: int, now: float) -> None:
        """Add the id of a request that ends at a monotonic time (s)."""
        self.start_generation_if_due(now)
        self._current.add(number)

    def start_generation_if_due(self, now: float) -> bool:
        """Start a new generation if the current one is old or full; return whether it was."""
        if now - self._started_at < RETENTION_S and self._current.count < self.max_ids:
            return False
        self._current, self._previous, self._started_at = self._previous, self._current, now
        self._current.clear()
        return True
