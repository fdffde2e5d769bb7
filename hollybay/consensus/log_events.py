"""The events of the consensus group that a node writes to its own log."""

from __future__ import annotations

from enum import StrEnum, unique

__all__ = ["LogEvent"]


@unique
class LogEvent(StrEnum):
    """The event of a log line. The value is the text of the line; fields follow as `key=value`."""

    BOOTSTRAPPED = "founded"
    """A group was bootstrapped with its first policy."""

    QUEUED = "queued"
    """A change was queued for a batch."""

    PROPOSED = "proposed"
    """A policy is about to be proposed to the group."""

    COORDINATING = "drives"
    """This voter begins a ballot for the next epoch."""

    DECIDED = "decided"
    """A quorum voted for an epoch that this voter proposed."""

    EPOCH_LEARNED = "hears"
    """The leaseholder learned of a later epoch."""

    IN_FORCE = "serves"
    """From now on requests are served under these policies."""

    NOTHING_IN_FORCE = "serves nothing"
    """No policy is in force at this node any more: requests are rejected."""

    VOTER_STARTED = "voter started"
    """This process acts as a voter. The epoch is -1 if it has no state yet."""

    VOTER_RECOVERED = "voter recovered"
    """A voter without a record restored its state from the other voters."""

    VOTER_STORAGE_FAILED = "voter storage failed"
    """The voter's record could not be read or written; the voter makes no promise and casts no vote on it."""

    VOTER_FOLDER_LOCKED = "another process of this name is its keeper"
    """Another process holds the lock of the folder; this one does not act as a voter."""

    LOG_NOT_OPENED = "log not opened"
    """The log could not be read; the process continues without it."""

    QUARANTINED = "quarantined"
    """A file without a valid record was renamed, see `record_folder`."""

    PRUNING_FAILED = "log not pruned"
    """A disk error occurred while unneeded log entries were removed."""

    GRACE_STORE_FAILED = "grace time not persisted"
    """The record of the grace time after a lease could not be read or written."""

    TASK_FAILED = "failed"
    """A background task raised an unexpected exception: a bug."""
