"""Builds changes from the differences between resource states. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b

import msgspec

from hollybay.resources.model import (
    CHANGE_ID_BYTES,
    Change,
    ChangeProblem,
    ChangeRejectedError,
    Delete,
    Kind,
    Operation,
    Upsert,
)
from hollybay.resources.state import ResourceState

__all__ = [
    "MAX_SHOWN",
    "bootstrap_change",
    "delete_operations",
    "drain_operations",
    "drained_servers",
    "format_operations",
    "operations_to_match",
    "proposed_change",
]

KINDS = frozenset(kind.value for kind in Kind)
# Number of operations of which the difference is shown.
MAX_SHOWN = 2000
# Names of unknown resources are quoted in problems up to this length, in characters.
MAX_QUOTED_NAME_LENGTH = 80


def drained_servers(state: ResourceState) -> list[str]:
    """The servers that operators have taken out of service, in order."""
    return sorted(resource.name for resource in state.of_kind(Kind.DRAINED_SERVER))


def drain_operations(state: ResourceState, servers: Iterable[str]) -> tuple[Operation, ...]:
    """The operations that make exactly these servers the drained ones."""
    wanted, present = set(servers), set(drained_servers(state))
    operations: list[Operation] = [
        Upsert(Kind.DRAINED_SERVER, name, 0, b"") for name in sorted(wanted - present)
    ]
    for name in sorted(present - wanted):
        resource = state.get(Kind.DRAINED_SERVER, name)
        assert resource is not None
        operations.append(Delete(Kind.DRAINED_SERVER, name, resource.version))
    return tuple(operations)


def delete_operations(state: ResourceState, names: Iterable[str]) -> tuple[Operation, ...]:
    """The operations that delete resources.

    Parameters
    ----------
    names
        The resources, each as KIND/NAME.

    Raises
    ------
    ChangeRejectedError
        At least one of them does not exist.
    """
    operations: list[Operation] = []
    problems: list[ChangeProblem] = []
    for text in dict.fromkeys(names):
        kind, _, name = text.partition("/")
        resource = state.get(Kind(kind), name) if kind in KINDS else None
        if resource is not None:
            operations.append(Delete(resource.kind, resource.name, resource.version))
            continue
        hint = "" if kind in KINDS else f"; kinds are {', '.join(sorted(KINDS))}"
        reason = f"there is no such resource{hint}"
        problems.append(ChangeProblem(text[:MAX_QUOTED_NAME_LENGTH], "", reason))
    if problems:
        raise ChangeRejectedError(tuple(problems))
    return tuple(operations)


def operations_to_match(state: ResourceState, target: ResourceState) -> tuple[Operation, ...]:
    """The operations that turn the resources of a state into those of another one.

    The cost is linear in the number of resources of both states.
    """
    operations: list[Operation] = []
    for key, old in state.resources.items():
        new = target.resources.get(key)
        if new is None:
            operations.append(Delete(key.kind, key.name, old.version))
        elif new.body != old.body:
            operations.append(Upsert(key.kind, key.name, old.version, new.body))
    for key, new in target.resources.items():
        if key not in state.resources:
            operations.append(Upsert(key.kind, key.name, 0, new.body))
    return tuple(sorted(operations, key=lambda operation: operation.key))


def format_operations(state: ResourceState, operations: Sequence[Operation]) -> list[str]:
    """Format operations as readable lines: removed, added and changed resources with their bodies."""
    lines: list[str] = []
    for operation in sorted(operations, key=lambda operation: operation.key)[:MAX_SHOWN]:
        old = state.resources.get(operation.key)
        if old is not None:
            lines.append(f"-{operation.key}{_format_body(old.body)}")
        if isinstance(operation, Upsert):
            lines.append(f"+{operation.key}{_format_body(operation.body)}")
    if len(operations) > MAX_SHOWN:
        lines.append(f"and {len(operations) - MAX_SHOWN} more resources")
    return lines


def _format_body(body: bytes) -> str:
    """Format a body as JSON, or as its length if it is not MessagePack."""
    if not body:
        return ""
    try:
        return " " + msgspec.json.encode(msgspec.msgpack.decode(body)).decode()
    except (msgspec.MsgspecError, RecursionError, TypeError, ValueError, UnicodeError):
        return f" ({len(body)} bytes)"


def _change_id(*parts: bytes) -> bytes:
    """A deterministic change id: a digest of the parts."""
    hasher = blake2b(digest_size=CHANGE_ID_BYTES, person=b"hollybay.draft")
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def bootstrap_change(operations: tuple[Operation, ...]) -> Change:
    """The first change of a cluster."""
    return Change(_change_id(msgspec.msgpack.encode(operations)), 0, "first", "", operations)


def proposed_change(
    state: ResourceState, operations: tuple[Operation, ...], reason: str, author: str, parent: bytes
) -> Change:
    """A change whose id is derived from its content and from the policy that it is based on.

    If an operator does not know the outcome and repeats the request, the same change results.

    Parameters
    ----------
    parent
        Digest of the policy that the state belongs to.
    """
    change_id = _change_id(
        parent,
        msgspec.msgpack.encode(operations),
        reason.encode("utf-8", "replace"),
        author.encode("utf-8", "replace"),
    )
    return Change(change_id, state.revision, reason, author, operations)
