"""Errors in requests and in received data.

All of them are subclasses of `RejectedError`, the only one that request handling needs to catch. The
subclasses distinguish the causes for readers of the code and of tracebacks.
"""

from __future__ import annotations

__all__ = ["LogGapError", "MalformedDataError", "NoVoterError", "RejectedError"]


class RejectedError(ValueError):
    """A request is not admissible; the message names the field and the reason."""


class MalformedDataError(RejectedError):
    """Received or stored data is not a valid message, policy, snapshot or chunk, or is too long."""


class LogGapError(RejectedError):
    """An entry of the log does not follow its predecessor, or the predecessor is not in this log."""


class NoVoterError(RejectedError):
    """A request for a voter was sent to a process that is not one."""

    def __init__(self) -> None:
        super().__init__("keeper: this process is not a voter")
