"""In-memory entries of the replicated log, and the encoding of snapshots. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

import msgspec

from hollybay.resources.model import Key, Kind
from hollybay.resources.state import ResourceState
from hollybay.resources.wire import WireError, decode_snapshot, encode_snapshot

from .errors import MalformedDataError
from .policy import PolicyVersion, changed_keys, decode_policy, version_of

__all__ = ["Entry", "Snapshot", "age_order", "is_policy_name"]

# If an entry changes more resources than this, their keys are not kept in memory.
MAX_CHANGED_KEYS = 4096
_NAME = re.compile(r"[0-9]{1,12}-[0-9a-f]{12}")


def is_policy_name(text: str) -> bool:
    """Whether a text has the form of a policy name."""
    return _NAME.fullmatch(text) is not None


def age_order(name: str) -> tuple[int, str]:
    """Sort key that orders policy names by version, oldest first."""
    return version_of(name), name


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the log without its changes.

    Parameters
    ----------
    state
        The resources after the entry; None if they are no longer in memory.
    changed_keys
        The keys of the resources that it changed; None if there are too many or if they are not known.
    size_bytes
        Size of the encoded entry; 0 if it came with a snapshot.
    drained_servers
        The servers that operators have taken out of service.
    """

    policy: PolicyVersion
    state: ResourceState | None
    changed_keys: frozenset[Key] | None
    size_bytes: int
    drained_servers: frozenset[str] = frozenset()

    @classmethod
    def from_snapshot(cls, policy: PolicyVersion, state: ResourceState) -> Entry:
        """The entry of a snapshot: the last one that the snapshot covers."""
        drained = frozenset(resource.name for resource in state.of_kind(Kind.DRAINED_SERVER))
        return cls(policy, state, None, 0, drained)

    @classmethod
    def after(
        cls, parent: Entry | None, policy: PolicyVersion, state: ResourceState, size_bytes: int
    ) -> Entry:
        """The entry of a policy with its changes; parent: the previous entry, None for the first one."""
        drained = parent.drained_servers if parent is not None else frozenset()
        keys = changed_keys(policy.changes or ())
        touched = {key.name for key in keys if key.kind is Kind.DRAINED_SERVER}
        if touched:
            present = {name for name in touched if state.get(Kind.DRAINED_SERVER, name) is not None}
            drained = (drained - touched) | present
        return cls(policy.without_changes(), state, _few_keys(keys), size_bytes, drained)

    def with_changes_of(self, policy: PolicyVersion, size_bytes: int) -> Entry:
        """The entry of a snapshot, completed with the changes of its encoded entry."""
        return replace(
            self, changed_keys=_few_keys(changed_keys(policy.changes or ())), size_bytes=size_bytes
        )

    def without_state(self) -> Entry:
        """The entry without the resources after it."""
        return replace(self, state=None, changed_keys=None)


def _few_keys(keys: frozenset[Key]) -> frozenset[Key] | None:
    return keys if len(keys) <= MAX_CHANGED_KEYS else None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A policy without its changes, and the resources after it as `resources.wire` encodes them."""

    policy: PolicyVersion
    resources: bytes

    @classmethod
    def encode(cls, policy: PolicyVersion, state: ResourceState) -> bytes:
        """Encode a snapshot. policy: without its changes; state: the resources after it."""
        return msgspec.msgpack.encode(cls(policy, encode_snapshot(state)))

    @classmethod
    def decode(cls, data: bytes) -> tuple[PolicyVersion, ResourceState]:
        """Decode a snapshot into its policy and resources.

        Raises
        ------
        RejectedError
            The bytes are not a snapshot, or the resources do not match the policy's digest or version.
        """
        try:
            snapshot: Snapshot = msgspec.msgpack.decode(data, type=cls)
            policy = snapshot.policy
            decode_policy(msgspec.msgpack.encode(policy))  # checks the bounds of its fields
            state = decode_snapshot(snapshot.resources, policy.after)
        except (msgspec.DecodeError, RecursionError, WireError) as error:
            raise MalformedDataError(f"not a snapshot: {error}") from None
        if state.revision != policy.version:
            raise MalformedDataError(f"not a snapshot: revision {state.revision}, expected {policy.version}")
        return policy.without_changes(), state
