"""Estimate of the wait of a proposed change from the average duration of a batch. Pure; all times are ns."""

from __future__ import annotations

from dataclasses import dataclass

from .queue_settings import QueueSettings

__all__ = ["Backlog", "estimated_wait_ns", "retry_after_ns", "updated_average_ns"]

# Weight of the newest batch in the exponential moving average of batch durations.
AVERAGE_WEIGHT = 0.25


@dataclass(frozen=True, slots=True)
class Backlog:
    """The work ahead of a change in its queue.

    Parameters
    ----------
    average_batch_ns
        Average duration of a batch.
    elapsed_batch_ns
        Age of the batch in progress; None if there is none.
    splits_batches
        Whether some of the changes are proposed in separate batches.
    longest_wait_ns
        How long the oldest undecided change has waited.
    """

    average_batch_ns: int
    elapsed_batch_ns: int | None
    splits_batches: bool
    longest_wait_ns: int

    @property
    def batch_ns(self) -> int:
        """Expected duration of a batch: the average, or the age of the batch in progress if longer."""
        return max(self.average_batch_ns, self.elapsed_batch_ns or 0)


def updated_average_ns(average_batch_ns: int, batch_ns: int) -> int:
    """The average duration of a batch, updated with one that has ended."""
    return average_batch_ns + int(AVERAGE_WEIGHT * (batch_ns - average_batch_ns))


def estimated_wait_ns(backlog: Backlog, changes: int, size: int, settings: QueueSettings) -> int:
    """Estimated time until the last of `changes` waiting changes, of `size` bytes in total, is decided.

    The estimate is never below the time that the oldest of them has waited already.
    """
    batches_by_count = -(-changes // settings.max_batch_changes)
    batches_by_bytes = -(-size // settings.max_batch_bytes)
    batches = max(batches_by_count, batches_by_bytes)
    if backlog.elapsed_batch_ns is not None:
        batches += 1
    if backlog.splits_batches:
        batches += 1
    return max(settings.linger_ns + batches * backlog.batch_ns, backlog.longest_wait_ns)


def retry_after_ns(backlog: Backlog, wait_ns: int, settings: QueueSettings) -> int:
    """When a proposer may offer a change again that was not queued; wait_ns: its estimated wait."""
    return min(settings.max_retry_after_ns, max(backlog.batch_ns, wait_ns - settings.max_wait_ns, 1))
