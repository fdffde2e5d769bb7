"""Differences between resources as operations, and changes made of them. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from hashlib import blake2b

import msgspec

from hollybay.resources.model import (
    CHANGE_ID_BYTES,
    Change,
    ChangeRefused,
    Delete,
    Kind,
    Operation,
    Problem,
    Upsert,
)
from hollybay.resources.state import ResourceState

__all__ = [
    "MAX_SHOWN",
    "deletions",
    "founding_change",
    "operations_like",
    "proposed_change",
    "server_operations",
    "servers_out",
    "shown_operations",
]

KINDS = frozenset(kind.value for kind in Kind)
MAX_SHOWN = 2000  # lines of differences that are shown


def servers_out(state: ResourceState) -> list[str]:
    """The servers that are out by hand, in order."""
    return sorted(one.name for one in state.of_kind(Kind.SERVER_OUT))


def server_operations(state: ResourceState, out: Iterable[str]) -> tuple[Operation, ...]:
    """What makes these servers, and no others, be out."""
    wanted, present = set(out), set(servers_out(state))
    found: list[Operation] = [Upsert(Kind.SERVER_OUT, name, 0, b"") for name in sorted(wanted - present)]
    for name in sorted(present - wanted):
        there = state.get(Kind.SERVER_OUT, name)
        assert there is not None
        found.append(Delete(Kind.SERVER_OUT, name, there.version))
    return tuple(found)


def deletions(state: ResourceState, names: Iterable[str]) -> tuple[Operation, ...]:
    """What deletes resources that are named KIND/NAME. ChangeRefused: there is no such one."""
    found: list[Operation] = []
    problems: list[Problem] = []
    for text in dict.fromkeys(names):
        kind, _, name = text.partition("/")
        there = state.get(Kind(kind), name) if kind in KINDS else None
        if there is None:
            known = "" if kind in KINDS else f"; kinds are {', '.join(sorted(KINDS))}"
            problems.append(Problem(text[:80], "", f"there is no such resource{known}"))
        else:
            found.append(Delete(there.kind, there.name, there.version))
    if problems:
        raise ChangeRefused(tuple(problems))
    return tuple(found)


def operations_like(state: ResourceState, wanted: ResourceState) -> tuple[Operation, ...]:
    """What makes the resources of one state those of another; looks at every resource of both."""
    found: list[Operation] = []
    for key, there in state.resources.items():
        new = wanted.resources.get(key)
        if new is None:
            found.append(Delete(key.kind, key.name, there.version))
        elif new.body != there.body:
            found.append(Upsert(key.kind, key.name, there.version, new.body))
    for key, new in wanted.resources.items():
        if key not in state.resources:
            found.append(Upsert(key.kind, key.name, 0, new.body))
    return tuple(sorted(found, key=lambda one: one.key))


def shown_operations(state: ResourceState, operations: Sequence[Operation]) -> list[str]:
    """Operations on a state as lines for people: resources that go, come, or change with their bodies."""
    lines: list[str] = []
    for operation in sorted(operations, key=lambda one: one.key)[:MAX_SHOWN]:
        there = state.resources.get(operation.key)
        if there is not None:
            lines.append(f"-{operation.key}{_body(there.body)}")
        if isinstance(operation, Upsert):
            lines.append(f"+{operation.key}{_body(operation.body)}")
    if len(operations) > MAX_SHOWN:
        lines.append(f"and {len(operations) - MAX_SHOWN} more resources")
    return lines


def _body(body: bytes) -> str:
    if not body:
        return ""
    try:
        return " " + msgspec.json.encode(msgspec.msgpack.decode(body)).decode()
    except (msgspec.MsgspecError, RecursionError, TypeError, ValueError, UnicodeError):
        return f" ({len(body)} bytes)"


def _id_of(*parts: bytes) -> bytes:
    whole = blake2b(digest_size=CHANGE_ID_BYTES, person=b"hollybay.draft")
    for part in parts:
        whole.update(len(part).to_bytes(8, "big"))
        whole.update(part)
    return whole.digest()


def founding_change(operations: tuple[Operation, ...]) -> Change:
    """The change that a tier begins with."""
    return Change(_id_of(msgspec.msgpack.encode(operations)), 0, "first", "", operations)


def proposed_change(
    state: ResourceState, operations: tuple[Operation, ...], reason: str, author: str, parent: bytes
) -> Change:
    """A change on a state, known by its content and the policy that it was made on: asked for again, by one
    who does not know what came of it, it is the same change."""
    words = (
        msgspec.msgpack.encode(operations),
        reason.encode("utf-8", "replace"),
        author.encode("utf-8", "replace"),
    )
    return Change(_id_of(parent, *words), state.revision, reason, author, operations)
