"""Bounds of the proposal queue of one voter."""

from __future__ import annotations

from dataclasses import dataclass

from hollybay.resources.batch import MAX_BATCH_CHANGES
from hollybay.resources.wire import MAX_BATCH_BYTES
from hollybay.units import MS, SECOND

__all__ = ["QueueSettings"]


# Upper bound of the size of an encoded batch without its changes, in bytes.
BATCH_OVERHEAD_BYTES = 1024


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Bounds of a proposal queue.

    Parameters
    ----------
    max_changes, max_bytes
        Capacity of the queue, including the batch in progress.
    max_wait_ns
        A proposal with a longer estimated wait is rejected with a time to retry after.
    max_batch_changes, max_batch_bytes
        Capacity of one batch; a single larger change is a batch of its own.
    max_change_bytes
        Larger changes are rejected.
    linger_ns
        How long the first queued change waits for others before a batch is formed.
    initial_batch_ns
        The assumed duration of a batch until the first one has ended.
    max_retry_after_ns
        The longest time after which a proposer is told to retry.
    max_outcomes, outcome_ns
        How many final outcomes are kept, and for how long.
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
        """Check that the bounds are consistent.

        Raises
        ------
        ValueError
            They are not.
        """
        if not 1 <= self.max_batch_changes <= MAX_BATCH_CHANGES:
            raise ValueError(f"max_batch_changes: {self.max_batch_changes} is not 1 to {MAX_BATCH_CHANGES}")
        largest = MAX_BATCH_BYTES - BATCH_OVERHEAD_BYTES
        if not 1 <= max(self.max_change_bytes, self.max_batch_bytes) <= largest:
            raise ValueError(f"max_change_bytes and max_batch_bytes: the larger one must be 1 to {largest}")
        if self.max_change_bytes > self.max_bytes:
            raise ValueError(f"max_bytes: {self.max_bytes}, expected max_change_bytes or more")
        if self.max_changes < 1 or self.max_outcomes < 1:
            raise ValueError("max_changes and max_outcomes: both must be 1 or more")
