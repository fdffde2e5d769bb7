"""The log of a voter in the group commit model: the latest batches, in memory.

Like `log.PolicyLog` it returns either a delta or the information that a snapshot is needed.
"""

from __future__ import annotations

from collections import deque

from hollybay.resources.batch import Batch

__all__ = ["BatchLog"]


class BatchLog:
    """Consecutive batches, bounded in number and in bytes by removing the oldest ones.

    Parameters
    ----------
    max_batches, max_bytes
        The bounds.
    newest
        The revision of the snapshot that the first batch must follow; 0 if it may have any revision.

    Attributes
    ----------
    newest
        The revision of the last batch, even if that batch was removed.
    bytes
        Total size of the encoded batches.
    """

    def __init__(self, max_batches: int, max_bytes: int, newest: int = 0) -> None:
        self.newest = newest
        self.max_batches = max_batches
        self.max_bytes = max_bytes
        self.bytes = 0
        self._batches: deque[tuple[Batch, int]] = deque()

    def append(self, batch: Batch, size: int) -> None:
        """Append a batch. size: of the encoded batch, bytes. ValueError: it does not follow the last one."""
        if self.newest and batch.revision != self.newest + 1:
            raise ValueError(f"revision {batch.revision} does not follow {self.newest}")
        self.newest = batch.revision
        self._batches.append((batch, size))
        self.bytes += size
        while len(self._batches) > self.max_batches or self.bytes > self.max_bytes:
            _, removed_size = self._batches.popleft()
            self.bytes -= removed_size

    def since(self, revision: int) -> tuple[Batch, ...] | None:
        """The batches after a revision, in order; None if some were removed, so that a snapshot is needed."""
        if revision >= self.newest:
            return ()
        if not self._batches:
            return None
        oldest, _ = self._batches[0]
        if oldest.revision > revision + 1:
            return None
        return tuple(batch for batch, _ in self._batches if batch.revision > revision)

    def bytes_since(self, revision: int) -> int:
        """Total size of the batches after a revision, bytes."""
        return sum(size for batch, size in self._batches if batch.revision > revision)
