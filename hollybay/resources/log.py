"""The last batches: what a reader that has an older revision lacks."""

from __future__ import annotations

from collections import deque

from .batch import Batch

__all__ = ["BatchLog"]


class BatchLog:
    """Batches one after another, bounded in number and in bytes; the oldest are let go."""

    def __init__(self, max_batches: int, max_bytes: int, newest: int = 0) -> None:
        """newest: the revision that a snapshot already has; batches go on from there (0: from anywhere)."""
        self.newest = newest  # the revision of the last batch, also where that is no longer kept
        self.max_batches = max_batches
        self.max_bytes = max_bytes
        self.bytes = 0
        self._batches: deque[tuple[Batch, int]] = deque()

    def append(self, batch: Batch, size: int) -> None:
        """Keep one more; size: its bytes as encoded. ValueError: it does not follow the last one."""
        if self.newest and batch.revision != self.newest + 1:
            raise ValueError(f"revision {batch.revision} does not follow {self.newest}")
        self.newest = batch.revision
        self._batches.append((batch, size))
        self.bytes += size
        while len(self._batches) > self.max_batches or self.bytes > self.max_bytes:
            self.bytes -= self._batches.popleft()[1]

    def since(self, revision: int) -> tuple[Batch, ...] | None:
        """The batches after a revision, in order; None: some of them are gone, and a snapshot is needed."""
        if revision >= self.newest:
            return ()
        if not self._batches or self._batches[0][0].revision > revision + 1:
            return None
        return tuple(batch for batch, _ in self._batches if batch.revision > revision)

    def bytes_since(self, revision: int) -> int:
        """How many bytes of batches come after a revision."""
        return sum(size for batch, size in self._batches if batch.revision > revision)
