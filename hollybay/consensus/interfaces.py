"""What a member of the replicated log is given, and what it gives: settings, its node, files and responses.

The service (hollybay.consensus.service) and those who run it or read files for it share these types.
"""

from __future__ import annotations

from collections.abc import Awaitable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import msgspec

from hollybay.resources.model import Change, Operation
from hollybay.resources.state import ResourceState

from .log_entry import Entry
from .policy import RejectedError

__all__ = ["DataPlane", "FileRead", "InvalidFileError", "MemberSettings", "Response"]


@dataclass(frozen=True, slots=True)
class FileRead:
    """What an operator file says: how the resources differ from it, and the keepers; None: it names none."""

    operations: tuple[Operation, ...]
    voters: list[str] | None


class InvalidFileError(RejectedError):
    """An operator file does not hold; problems: all that was found."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("file: " + "; ".join(problems))
        self.problems = list(problems)


class DataPlane(Protocol):
    """What the replicated log does to its node."""

    def compile(self, entry: Entry) -> Awaitable[list[str]]:
        """Make a policy ready to be in force; why it cannot be: nothing if it can."""
        ...

    def culprits(self, base: Entry, changes: tuple[Change, ...]) -> Awaitable[Mapping[bytes, list[str]]]:
        """The changes of a batch that are invalid by themselves, with reasons; empty: not known."""
        ...

    def read(self, file: bytes, state: ResourceState) -> Awaitable[FileRead]:
        """What an operator file says. InvalidFileError: it is invalid."""
        ...

    def put(self, entries: tuple[Entry, ...]) -> None:
        """From now on requests begin under the intersection of these; none: may_begin_request refuses."""
        ...

    def say(self, event: str, **words: object) -> None:
        """Log a transition."""
        ...


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What an operator sets up. address: of this process; voters: whom it asks first; lease, grace: ns."""

    name: str
    address: str
    voters: tuple[str, ...]
    lease: int
    grace: int  # 0: it leaves when its lease is over
    folder: Path


class Response(msgspec.Struct, frozen=True):
    """The answer to a call: a status of HTTP, and JSON, or bytes as they are."""

    status: int
    body: bytes
