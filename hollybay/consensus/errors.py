"""Errors of requests and received data.

Each is a `RejectedError`, so that whoever answers a request needs to know that one alone; the subclasses tell
apart what was wrong where a reader of the code, or of a traceback, wants to know.
"""

from __future__ import annotations

__all__ = ["LogGapError", "MalformedDataError", "NoVoterError", "RejectedError"]


class RejectedError(ValueError):
    """An inadmissible request; the text names the field and says why."""


class MalformedDataError(RejectedError):
    """Received or stored bytes that hold no message, policy, snapshot or chunk, or too long a one."""


class LogGapError(RejectedError):
    """An entry of the log that does not follow the one before it, or whose predecessor is not here."""


class NoVoterError(RejectedError):
    """A request to a voter at a process that is none."""

    def __init__(self) -> None:
        super().__init__("no keeper here")
