"""Interfaces between the replicated log and the process that runs it: data plane, settings and responses."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import msgspec

from hollybay.resources.model import Change, Operation
from hollybay.resources.state import ResourceState

from .errors import RejectedError
from .log_entry import Entry
from .log_events import LogEvent

__all__ = ["DataPlane", "InvalidFileError", "MemberSettings", "OperatorFileChanges", "Response"]


@dataclass(frozen=True, slots=True)
class OperatorFileChanges:
    """Differences between an operator file and the resources of a policy.

    Attributes
    ----------
    operations : tuple of Operation
        Operations that make the resources what the file declares.
    voters : list of str, optional
        Addresses of the voters that the file declares; None if it declares none.
    """

    operations: tuple[Operation, ...]
    voters: list[str] | None


class InvalidFileError(RejectedError):
    """An operator file is invalid.

    Attributes
    ----------
    problems : list of str
        All problems that were found in it.
    """

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("file: " + "; ".join(problems))
        self.problems = list(problems)


class DataPlane(Protocol):
    """Operations that the replicated log requires of the node that it configures."""

    def compile_policy(self, entry: Entry) -> Awaitable[list[str]]:
        """Compile a policy, so that it can be applied.

        Returns
        -------
        list of str
            Why this node cannot serve the policy; empty if it can.
        """
        ...

    def find_invalid_changes(
        self, base: Entry, changes: tuple[Change, ...]
    ) -> Awaitable[Mapping[bytes, list[str]]]:
        """Find the changes of a batch that this node cannot serve.

        Parameters
        ----------
        base : Entry
            Entry that the batch was made on.
        changes : tuple of Change
            Changes of the batch, in their order.

        Returns
        -------
        mapping
            For the id of each change that is invalid by itself, the reasons; empty if they are not known.
        """
        ...

    def read_operator_file(self, file: bytes, state: ResourceState) -> Awaitable[OperatorFileChanges]:
        """Compare an operator file with the resources of a policy.

        Raises
        ------
        InvalidFileError
            The file is invalid.
        """
        ...

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Serve requests that begin from now on under the policies of some entries.

        Parameters
        ----------
        entries : tuple of Entry
            One entry, or two whose policies apply together (their intersection). Empty if no request may
            begin; `Service.may_begin_request` then rejects each.
        """
        ...

    def log_event(self, event: LogEvent, **fields: object) -> None:
        """Write an event of the protocol to the node's log."""
        ...


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member of the replicated log.

    Attributes
    ----------
    name : str
        Name of the node, and of its folder.
    address : str
        Admin address of this process, to which other members send their requests.
    voters : tuple of str
        Addresses of the voters to contact while no policy is known.
    lease_ns : int
        Duration of a lease.
    grace_ns : int
        How long the node serves after its lease has expired; 0 if it stops at once.
    folder : Path
        Folder that holds the folders of all members of this machine.
    """

    name: str
    address: str
    voters: tuple[str, ...]
    lease_ns: int
    grace_ns: int
    folder: Path


class Response(msgspec.Struct, frozen=True):
    """Response to a policy request.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Encoded message, or raw bytes of the log.
    """

    status: int
    body: bytes
