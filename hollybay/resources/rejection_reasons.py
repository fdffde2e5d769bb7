"""Why a change is rejected: a class for each reason, and its published text, `str(reason)`.

A `model.ChangeProblem` names the resource and field that a reason concerns, and carries its text as it is
sent. Problems in the body of a resource are reported by `hollybay.routing`, which decodes the tables.
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
    """A reason; `str` returns its published text."""

    __slots__ = ()

    @abstractmethod
    def __str__(self) -> str: ...


# Reasons that concern the change alone


@dataclass(frozen=True, slots=True)
class Duplicate(RejectionReason):
    """Two operations of the change are on the same resource."""

    def __str__(self) -> str:
        return "stands twice in one change"


@dataclass(frozen=True, slots=True)
class Missing(RejectionReason):
    """The field is empty."""

    def __str__(self) -> str:
        return "is missing"


@dataclass(frozen=True, slots=True)
class MustBeEmpty(RejectionReason):
    """The field is not empty, but must be for a resource of this kind."""

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


# Conflicts with the state that the change is applied to


@dataclass(frozen=True, slots=True)
class AlreadyDecided(RejectionReason):
    """The change has already been decided."""

    def __str__(self) -> str:
        return "was decided already"


@dataclass(frozen=True, slots=True)
class BaseRevisionTooNew(RejectionReason):
    """The change is based on a later revision than that of the state."""

    base_revision: int
    revision: int

    def __str__(self) -> str:
        return f"{self.base_revision} is after {self.revision}"


@dataclass(frozen=True, slots=True)
class BaseRevisionTooOld(RejectionReason):
    """The change is based on a revision whose change ids are no longer kept: it may have been decided."""

    base_revision: int
    revision: int

    def __str__(self) -> str:
        return f"{self.base_revision} is too long before {self.revision}"


@dataclass(frozen=True, slots=True)
class ResourceMissing(RejectionReason):
    """The operation replaces or deletes a resource that does not exist."""

    base_version: int

    def __str__(self) -> str:
        return f"was made on version {self.base_version}, and there is no such resource"


@dataclass(frozen=True, slots=True)
class ResourceExists(RejectionReason):
    """The operation creates a resource that already exists."""

    version: int

    def __str__(self) -> str:
        return f"was made to create it, and version {self.version} is there"


@dataclass(frozen=True, slots=True)
class VersionConflict(RejectionReason):
    """The operation is based on another version of the resource than the present one."""

    base_version: int
    version: int

    def __str__(self) -> str:
        return f"was made on version {self.base_version}, and {self.version} is there"


# Reasons that concern the batch of the change


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
