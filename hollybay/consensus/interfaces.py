"""What a member of an accord is given, and what it gives: its settings, its node, files read and answers.

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

from .log import Entry
from .policy import RejectedError

__all__ = ["DataPlane", "FileRead", "InvalidFileError", "MemberSettings", "Response"]


@dataclass(frozen=True, slots=True)
class FileRead:
    """What an operator file says: how the resources differ from it, and the keepers; None: it names none."""

    operations: tuple[Operation, ...]
    keepers: list[str] | None


class InvalidFileError(RejectedError):
    """An operator file does not hold; problems: all that was found."""

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("file: " + "; ".join(problems))
        self.problems = list(problems)


class DataPlane(Protocol):
    """What an accord does to its node."""

    def compile(self, entry: Entry) -> Awaitable[list[str]]:
        """Make a policy ready to be in force; why it cannot be: nothing if it can."""
        ...

    def culprits(self, base: Entry, changes: tuple[Change, ...]) -> Awaitable[Mapping[bytes, list[str]]]:
        """Which changes of a batch on a policy do not hold, one after another, and why; by their ids."""
        ...

    def read(self, file: bytes, state: ResourceState) -> Awaitable[FileRead]:
        """What an operator file says. InvalidFileError: it does not hold."""
        ...

    def put(self, entries: tuple[Entry, ...]) -> None:
        """From now on requests begin under the narrower of these; of none: none may begin."""
        ...

    def say(self, event: str, **words: object) -> None:
        """Write down a transition."""
        ...


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What an operator sets up. door: where this process is called; keepers: whom it asks first; ns."""

    name: str
    door: str
    keepers: tuple[str, ...]
    lease: int
    late: int  # 0: it leaves when its lease is over
    folder: Path


class Response(msgspec.Struct, frozen=True):
    """The answer to a call: a status of HTTP, and JSON, or bytes as they are."""

    status: int
    body: bytes
