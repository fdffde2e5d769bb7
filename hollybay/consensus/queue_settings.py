"""Bounds of the proposal queue of one voter."""

from __future__ import annotations

from dataclasses import dataclass

from hollybay.resources.batch import MAX_BATCH_CHANGES
from hollybay.resources.wire import MAX_BATCH_BYTES
from hollybay.units import MS, SECOND

__all__ = ["QueueSettings"]


# The most that an encoded batch needs beside its changes, in bytes.
BATCH_OVERHEAD_BYTES = 1024


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a proposal queue.

    Parameters
    ----------
    max_changes, max_bytes
        What the queue holds, including the batch in progress.
    max_wait_ns
        A proposal whose estimated wait is longer is rejected with a time to retry after.
    max_batch_changes, max_batch_bytes
        What one batch holds; a single larger change is a batch of its own.
    max_change_bytes
        A larger change is rejected.
    linger_ns
        How long the first waiting change waits for others before a batch is formed.
    initial_batch_ns
        The assumed duration of a batch before the first one has ended.
    max_retry_after_ns
        The longest time that a proposer is told to wait before it retries.
    max_outcomes, outcome_ns
        How many outcomes are remembered, and for how long.
    """

    max_changes: int = 4096
    max_bytes: int = 64 << 20
    max_wait_ns: int = 10 * SECOND
    max_batch_changes: int = 512
    max_batch_bytes: int = 1 << 20
    max_change_bytes: int = 32 << 20
    linger_ns: int = 5 * MS
    initial_batch_ns: int = 500 * MS
    max_retry_after_ns: int = 60 * SECOND
    max_outcomes: int = 16_384
    outcome_ns: int = 600 * SECOND

    def __post_init__(self) -> None:
        """Check that the bounds agree with each other.

        Raises
        ------
        ValueError
            They do not.
        """
        if not 1 <= self.max_batch_changes <= MAX_BATCH_CHANGES:
            raise ValueError(f"max_batch_changes: {self.max_batch_changes} is not 1 to {MAX_BATCH_CHANGES}")
        largest = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES
        if not 1 <= max(self.max_change_bytes, self.max_batch_bytes) <= largest:
            raise ValueError(f"max_change_bytes and max_batch_bytes: not 1 to {largest}")
        if self.max_change_bytes > self.max_bytes:
            raise ValueError(f"max_bytes: {self.max_bytes} is less than max_change_bytes")
        if self.max_changes < 1 or self.max_outcomes < 1:
            raise ValueError("max_changes and max_outcomes: not 1 or more")
