"""The events of the replicated log that a node writes to its own log."""

from __future__ import annotations

from enum import StrEnum, unique

__all__ = ["LogEvent"]


@unique
class LogEvent(StrEnum):
    """What happened; the value is the text of the log line, its fields follow as `key=value`."""

    BOOTSTRAPPED = "founded"
    """A group has begun, under its first policy."""

    QUEUED = "queued"
    """A change waits for its batch."""

    PROPOSED = "proposed"
    """A policy is to be brought in force."""

    COORDINATING = "drives"
    """This voter begins a ballot to bring the group one epoch further."""

    DECIDED = "decided"
    """A quorum has voted for an epoch that this voter proposed."""

    EPOCH_LEARNED = "hears"
    """The leaseholder has learned of a later epoch."""

    IN_FORCE = "serves"
    """Requests are served under these policies from here on."""

    NOTHING_IN_FORCE = "serves nothing"
    """No policy is in force here any more: requests are rejected."""

    VOTER_STARTED = "voter started"
    """This process is a voter; its epoch is -1 while it knows nothing."""

    VOTER_RECOVERED = "voter recovered"
    """A voter without a record has taken up what the others know."""

    VOTER_STORAGE_FAILED = "voter storage failed"
    """The voter's record could not be read or written; it promises and votes for nothing on it."""

    VOTER_FOLDER_LOCKED = "another process of this name is its keeper"
    """The folder is locked by another process, and this one is no voter."""

    LOG_NOT_OPENED = "log not opened"
    """The log could not be read; the process goes on without it."""

    QUARANTINED = "quarantined"
    """A file that holds nothing usable was renamed."""

    PRUNING_FAILED = "log not pruned"
    """The disk failed while entries that are no longer needed were dropped."""

    GRACE_STORE_FAILED = "grace time not persisted"
    """The record of the grace time after a lease could not be read or written."""

    TASK_FAILED = "failed"
    """A background task has raised an exception: a fault of this program."""
