"""Resources, operations on them, changes, and why a change is rejected."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, NamedTuple

import msgspec

from .rejection_reasons import Duplicate, Missing, MustBeEmpty, NotPlainText, RejectionReason

__all__ = [
    "CHANGE",
    "CHANGE_ID_BYTES",
    "MAX_BODY_BYTES",
    "MAX_NAME_LENGTH",
    "MAX_OPERATIONS",
    "MAX_TEXT_LENGTH",
    "Change",
    "ChangeProblem",
    "ChangeRejectedError",
    "Delete",
    "Key",
    "Kind",
    "Operation",
    "Resource",
    "Upsert",
    "check_change",
]

# The name of the change itself in problems that concern no single resource.
CHANGE = "change"
CHANGE_ID_BYTES = 16
MAX_NAME_LENGTH = 253
MAX_BODY_BYTES = 16 << 10
MAX_TEXT_LENGTH = 400
# Maximum number of operations of one change: an operator file of the largest supported size is one change.
MAX_OPERATIONS = 500_000


class Kind(str, Enum):
    """What a resource describes."""

    DEFAULTS = "defaults"  # limits for all requests; one resource with an empty name
    PATHS = "paths"  # how paths are matched; one resource with an empty name
    CLASS = "class"  # the properties and limits of a request class
    TENANT = "tenant"  # a tenant's limits over all its requests at a node
    ROUTE = "route"
    DRAINED_SERVER = "server-out"  # a server that operators have taken out of service; its body is empty


SINGLETONS = frozenset((Kind.DEFAULTS, Kind.PATHS))


class Key(NamedTuple):
    """The identity of a resource."""

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name!r}" if self.name else self.kind.value


class Resource(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One resource. version: the revision that last changed it; body: opaque bytes."""

    kind: Kind
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    version: Annotated[int, msgspec.Meta(ge=1)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]

    @property
    def key(self) -> Key:
        """The identity of the resource."""
        return Key(self.kind, self.name)


class Upsert(msgspec.Struct, frozen=True, array_like=True, tag="upsert"):
    """Create a resource (base_version 0) or replace the version `base_version` of it."""

    kind: Kind
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    base_version: Annotated[int, msgspec.Meta(ge=0)]
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]

    @property
    def key(self) -> Key:
        """The identity of the resource."""
        return Key(self.kind, self.name)


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="delete"):
    """Remove the version `base_version` of a resource."""

    kind: Kind
    name: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    base_version: Annotated[int, msgspec.Meta(ge=1)]

    @property
    def key(self) -> Key:
        """The identity of the resource."""
        return Key(self.kind, self.name)


Operation = Upsert | Delete
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An atomic set of operations.

    Encoded as an array: the order of the fields is fixed.

    Parameters
    ----------
    id
        Chosen by the proposer; a repeated proposal carries the same id and takes effect once.
    base_revision
        The revision of the state that the author based it on.
    reason, author
        Shown in the history.
    operations
        At most one for each resource.
    """

    id: Annotated[bytes, msgspec.Meta(min_length=CHANGE_ID_BYTES, max_length=CHANGE_ID_BYTES)]
    base_revision: Annotated[int, msgspec.Meta(ge=0)]
    reason: Text
    author: Text
    operations: Annotated[tuple[Operation, ...], msgspec.Meta(min_length=1, max_length=MAX_OPERATIONS)]


class ChangeProblem(msgspec.Struct, frozen=True, array_like=True):
    """Why a change is rejected, as published: the resource, its field ("": all of it), the reason."""

    resource: str
    field: str
    reason: str

    @classmethod
    def from_reason(cls, reason: RejectionReason, resource: str, field: str = "") -> ChangeProblem:
        """Create the problem of a resource, or of the change itself (`CHANGE`), from a reason."""
        return cls(resource, field, str(reason))

    def __str__(self) -> str:
        return ": ".join(part for part in (self.resource, self.field, self.reason) if part)


class ChangeRejectedError(ValueError):
    """A change was rejected, and no part of it was applied. problems: all reasons that were found."""

    def __init__(self, problems: tuple[ChangeProblem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def check_change(change: Change) -> None:
    """Check the properties of a change that do not depend on a state.

    Raises
    ------
    ChangeRejectedError
        An operation or a text is malformed, or two operations are on one resource.
    """
    problems: list[ChangeProblem] = []
    seen: set[Key] = set()
    for operation in change.operations:
        if operation.key in seen:
            problems.append(ChangeProblem.from_reason(Duplicate(), str(operation.key)))
        seen.add(operation.key)
        problems += _operation_problems(operation)
    for field, text in (("reason", change.reason), ("author", change.author)):
        if not text.isprintable():
            problems.append(ChangeProblem.from_reason(NotPlainText(), CHANGE, field))
    if not change.reason.strip():
        problems.append(ChangeProblem.from_reason(Missing(), CHANGE, "reason"))
    if problems:
        raise ChangeRejectedError(tuple(problems))


def _operation_problems(operation: Operation) -> list[ChangeProblem]:
    """Return the problems of one operation that do not depend on a state."""
    problems: list[ChangeProblem] = []
    key = operation.key
    if bool(key.name) == (key.kind in SINGLETONS):
        reason = MustBeEmpty() if key.name else Missing()
        problems.append(ChangeProblem.from_reason(reason, str(key), "name"))
    if not key.name.isprintable():
        problems.append(ChangeProblem.from_reason(NotPlainText(), key.kind.value, "name"))
    if isinstance(operation, Upsert) and key.kind is Kind.DRAINED_SERVER and operation.body:
        problems.append(ChangeProblem.from_reason(MustBeEmpty(), str(key), "body"))
    return problems
