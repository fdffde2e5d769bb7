"""Why a change is rejected: a class for each reason, and its published text, `str(reason)`.

A `model.ChangeProblem` says where a reason applies (the resource and its field) and carries its text, as it
goes over the wire. What is wrong with the body of a resource is said by `hollybay.routing`, which knows
tables.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "AlreadyDecided",
    "BaseRevisionTooNew",
    "BaseRevisionTooOld",
    "CannotBeServed",
    "DroppedByOperator",
    "Duplicate",
    "Missing",
    "MustBeEmpty",
    "NotPlainText",
    "RejectionReason",
    "ResourceExists",
    "ResourceMissing",
    "TooLarge",
    "VersionConflict",
]


class RejectionReason(ABC):
    """A reason; `str` gives its published text."""

    __slots__ = ()

    @abstractmethod
    def __str__(self) -> str: ...


# The change by itself


@dataclass(frozen=True, slots=True)
class Duplicate(RejectionReason):
    """Two operations of the change are on the resource."""

    def __str__(self) -> str:
        return "stands twice in one change"


@dataclass(frozen=True, slots=True)
class Missing(RejectionReason):
    """The field is empty."""

    def __str__(self) -> str:
        return "is missing"


@dataclass(frozen=True, slots=True)
class MustBeEmpty(RejectionReason):
    """The field is not empty, and a resource of this kind has none."""

    def __str__(self) -> str:
        return "must be empty"


@dataclass(frozen=True, slots=True)
class NotPlainText(RejectionReason):
    """The field holds characters that cannot be printed."""

    def __str__(self) -> str:
        return "is no plain text"


@dataclass(frozen=True, slots=True)
class TooLarge(RejectionReason):
    """The encoded change is too large."""

    size_bytes: int
    max_bytes: int

    def __str__(self) -> str:
        return f"{self.size_bytes} bytes, {self.max_bytes} at most"


# The change and the state that it is to be applied to


@dataclass(frozen=True, slots=True)
class AlreadyDecided(RejectionReason):
    """The change is in force already."""

    def __str__(self) -> str:
        return "was decided already"


@dataclass(frozen=True, slots=True)
class BaseRevisionTooNew(RejectionReason):
    """The change was made on a revision after that of the state."""

    base_revision: int
    revision: int

    def __str__(self) -> str:
        return f"{self.base_revision} is after {self.revision}"


@dataclass(frozen=True, slots=True)
class BaseRevisionTooOld(RejectionReason):
    """The change was made on a revision whose change ids are forgotten: it may have been decided."""

    base_revision: int
    revision: int

    def __str__(self) -> str:
        return f"{self.base_revision} is too long before {self.revision}"


@dataclass(frozen=True, slots=True)
class ResourceMissing(RejectionReason):
    """The operation replaces or deletes a resource that is not there."""

    base_version: int

    def __str__(self) -> str:
        return f"was made on version {self.base_version}, and there is no such resource"


@dataclass(frozen=True, slots=True)
class ResourceExists(RejectionReason):
    """The operation creates a resource that is there."""

    version: int

    def __str__(self) -> str:
        return f"was made to create it, and version {self.version} is there"


@dataclass(frozen=True, slots=True)
class VersionConflict(RejectionReason):
    """The operation was made on another version of the resource."""

    base_version: int
    version: int

    def __str__(self) -> str:
        return f"was made on version {self.base_version}, and {self.version} is there"


# The batch of the change


@dataclass(frozen=True, slots=True)
class CannotBeServed(RejectionReason):
    """A node cannot serve the change, and gave no reason."""

    def __str__(self) -> str:
        return "a node cannot serve it"


@dataclass(frozen=True, slots=True)
class DroppedByOperator(RejectionReason):
    """An operator dropped the batch of the change."""

    def __str__(self) -> str:
        return "given up by an operator"
