"""The replicated log on disk: entries one after another, and a snapshot of the resources every so often.

Each entry is a file of one record under its name, and so is each snapshot (NAME.snapshot): written beside,
flushed, renamed, then the folder is flushed, so that after a crash each is whole or not there. What is no
whole record of this name is set aside with its reason and counts as absent; it is fetched anew from others.

Entries form chains by their parents' digests: the one that was decided, and beside it proposals that were
dropped. An entry is taken in only where the resources that it was made on are here and it makes the digest
that it states. A snapshot stands for all entries up to its own; these are let go when a snapshot is worth its
bytes.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from threading import RLock

import msgspec

from hollybay.resources.batch import BatchMismatch, follow
from hollybay.resources.model import Key, Kind
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import MAX_SNAPSHOT_BYTES, WireError, decode_snapshot, encode_snapshot

from .policy import MAX_ENTRY_BYTES, Policy, RejectedError, changed_keys, parse, version_of
from .record import Fate, pack, unpack
from .store import StoreError, flush_folder

__all__ = [
    "KEPT_STATES",
    "MAX_LOG_ENTRIES",
    "SNAPSHOT_FLOOR_BYTES",
    "Entry",
    "NotReached",
    "PolicyLog",
    "Snapshot",
    "is_name",
]

KEPT_STATES = 32  # so many of the newest entries are kept with the resources after them
# Entries that are let go at once, when their bytes exceed those of a snapshot, and this; or are so many.
SNAPSHOT_FLOOR_BYTES = 64 << 10
MAX_LOG_ENTRIES = 1024
# For an entry that touches more resources, which these are is not kept in memory.
MAX_CHANGED_KEYS = 4096
_NAME = re.compile(r"[0-9]{1,12}-[0-9a-f]{12}")
_SNAPSHOT = ".snapshot"
_RECORD_OVERHEAD = 256


def is_name(text: str) -> bool:
    """Whether this is the name of a policy."""
    return _NAME.fullmatch(text) is not None


def _by_age(name: str) -> tuple[int, str]:
    return version_of(name), name


class NotReached(Exception):
    """The entries, or the snapshot, that were asked for are not here."""


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry as it is kept in memory: without its changes.

    state: the resources after it; None: of an older entry, they are let go. changed: the resources that it
    touched; None: not known, or too many. size: bytes of the entry as encoded; 0: it came as a snapshot. out:
    the servers that are out by hand.
    """

    policy: Policy
    state: ResourceState | None
    changed: frozenset[Key] | None
    size: int
    out: frozenset[str] = frozenset()


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A policy without its changes, and the resources after it as resources.wire encodes them."""

    policy: Policy
    resources: bytes

    @classmethod
    def parse(cls, data: bytes) -> tuple[Policy, ResourceState]:
        """The policy and the resources. RejectedError: it is none, or the resources are not those of the
        policy.
        """
        try:
            found: Snapshot = msgspec.msgpack.decode(data, type=cls)
            parse(msgspec.msgpack.encode(found.policy))  # within its bounds
            state = decode_snapshot(found.resources, found.policy.after)
        except (msgspec.DecodeError, RecursionError, WireError) as error:
            raise RejectedError(f"no snapshot: {error}") from None
        if state.revision != found.policy.version:
            raise RejectedError(f"no snapshot: revision {state.revision} of version {found.policy.version}")
        return found.policy.without_changes(), state


class PolicyLog:
    """A folder of entries and snapshots. step: as in store.Store."""

    def __init__(
        self,
        folder: Path,
        step: Callable[[str], None] = lambda word: None,
        kept_states: int = KEPT_STATES,
        snapshot_floor: int = SNAPSHOT_FLOOR_BYTES,
    ) -> None:
        self.folder = folder
        self.step = step
        self.kept_states = kept_states
        self.snapshot_floor = snapshot_floor
        self.aside: dict[str, str] = {}  # files that were set aside, and why
        self._entries: dict[str, Entry] = {}
        self._snapshots: dict[str, int] = {}  # names, and their bytes
        # A process is node and keeper, and both may bring the same entry here, each in a thread.
        self._lock = RLock()

    # A start

    def open(self) -> None:
        """Take up what is on disk: snapshots, then the entries that follow them. StoreError: it cannot be
        read.
        """
        with self._lock:
            try:
                found = [path.name for path in self.folder.iterdir()] if self.folder.exists() else []
                for name in sorted(found):
                    if name.endswith(_SNAPSHOT) and is_name(name.removesuffix(_SNAPSHOT)):
                        self._open_snapshot(name.removesuffix(_SNAPSHOT))
                for name in sorted((name for name in found if is_name(name)), key=_by_age):
                    self._open_entry(name)
            except OSError as error:
                raise StoreError(f"{self.folder}: {error}") from None

    def _open_snapshot(self, name: str) -> None:
        data = self._record(f"{name}{_SNAPSHOT}", MAX_SNAPSHOT_BYTES)
        if data is None:
            return
        try:
            policy, state = Snapshot.parse(data)
        except RejectedError as error:
            self._set_aside(f"{name}{_SNAPSHOT}", Fate.TORN.value, str(error))
            return
        if policy.name != name:
            self._set_aside(f"{name}{_SNAPSHOT}", Fate.FOREIGN.value, f"it is {policy.name}")
            return
        self._snapshots[name] = len(data)
        self._entries[name] = Entry(policy, state, None, 0, _servers_out(state))

    def _open_entry(self, name: str) -> None:
        data = self._record(name, MAX_ENTRY_BYTES)
        if data is None:
            return
        try:
            policy = parse(data)
            if policy.name != name:
                raise RejectedError(f"it is {policy.name}")
        except RejectedError as error:
            self._set_aside(name, Fate.TORN.value, str(error))
            return
        known = self._entries.get(name)
        if known is not None:  # there is a snapshot of it
            self._entries[name] = Entry(known.policy, known.state, _keys(policy), len(data), known.out)
            return
        try:
            state = self._follow(policy)
        except RejectedError as error:
            # What it follows is not here: it is of no use, and fetched anew if it is wanted.
            self._set_aside(name, "orphan", str(error))
            return
        self._entries[name] = self._made(policy, state, len(data))

    def _record(self, file: str, most: int) -> bytes | None:
        """The data of a file's record; None: it is none, and is set aside."""
        with (self.folder / file).open("rb") as handle:
            found = unpack(handle.read(most + _RECORD_OVERHEAD))
        if found.fate is Fate.SOUND:
            return found.data
        self._set_aside(file, found.fate.value, f"the record is {found.fate.value}")
        return None

    def _set_aside(self, file: str, what: str, reason: str) -> None:
        os.replace(self.folder / file, self.folder / f"{file}.{what}")
        self.aside[file] = reason

    # What is here

    def names(self) -> list[str]:
        """The entries that are here, the oldest first."""
        return sorted(list(self._entries), key=_by_age)

    def get(self, name: str) -> Policy | None:
        """A policy, without its changes; None: it is not here."""
        entry = self._entries.get(name)
        return entry.policy if entry is not None else None

    def entry(self, name: str) -> Entry | None:
        """An entry; None: it is not here."""
        return self._entries.get(name)

    def state(self, name: str) -> ResourceState | None:
        """The resources after an entry; None: they are not here."""
        entry = self._entries.get(name)
        return entry.state if entry is not None else None

    def read(self, name: str) -> Policy | None:
        """A policy with its changes, from the disk; None: they are not there. Reads a file."""
        if not is_name(name):
            return None
        try:
            data = self._record(name, MAX_ENTRY_BYTES)
            policy = parse(data) if data is not None else None
        except (OSError, RejectedError):
            return None
        return policy if policy is not None and policy.name == name else None

    # What comes

    def put(self, policy: Policy) -> Entry:
        """Take an entry in, on disk first; once this returns it may be relied on.

        StoreError: it may not. RejectedError: what it follows is not here (a gap), or it does not make what
        it states; nothing was changed.
        """
        with self._lock:
            known = self._entries.get(policy.name)
            if known is not None:
                return known
            state = self._follow(policy)
            data = msgspec.msgpack.encode(policy)
            self._write(policy.name, data, MAX_ENTRY_BYTES)
            entry = self._made(policy, state, len(data))
            self._entries[policy.name] = entry
            return entry

    def install(self, data: bytes, parsed: tuple[Policy, ResourceState] | None = None) -> Entry:
        """Take a snapshot in, on disk first; parsed: what Snapshot.parse made of it. StoreError,
        RejectedError: as for put."""
        policy, state = parsed if parsed is not None else Snapshot.parse(data)
        with self._lock:
            known = self._entries.get(policy.name)
            if known is not None and known.state is not None:
                return known
            self._write(f"{policy.name}{_SNAPSHOT}", data, MAX_SNAPSHOT_BYTES)
            self._snapshots[policy.name] = len(data)
            entry = Entry(policy, state, None, 0, _servers_out(state))
            self._entries[policy.name] = entry
            return entry

    def _made(self, policy: Policy, state: ResourceState, size: int) -> Entry:
        """An entry that follows one that is here."""
        parent = self._entries.get(policy.parent_name)
        out = parent.out if parent is not None else frozenset()
        touched = {key.name for key in changed_keys(policy.changes or ()) if key.kind is Kind.SERVER_OUT}
        if touched:
            there = {name for name in touched if state.get(Kind.SERVER_OUT, name) is not None}
            out = (out - touched) | there
        return Entry(policy.without_changes(), state, _keys(policy), size, out)

    def _follow(self, policy: Policy) -> ResourceState:
        """The resources after an entry. RejectedError: it does not follow what is here, or makes something
        else.
        """
        if policy.version == 1:
            before: ResourceState | None = EMPTY
        else:
            parent = self._entries.get(policy.parent_name)
            if parent is None or parent.policy.digest != policy.parent:
                raise RejectedError(f"a gap: {policy.parent_name}, which {policy.name} follows, is not here")
            before = parent.state
        if before is None:
            raise RejectedError(f"a gap: the resources of {policy.parent_name} are not kept any more")
        try:
            return follow(before, policy.batch)
        except BatchMismatch as error:
            raise RejectedError(f"{policy.name}: {error}") from None

    def _write(self, file: str, data: bytes, most: int) -> None:
        fresh = self.folder / f"{file}.new"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.step("write policy")
            with fresh.open("wb") as handle:
                handle.write(pack(0, data, most))
                handle.flush()
                self.step("flush policy")
                os.fsync(handle.fileno())
            os.replace(fresh, self.folder / file)
            flush_folder(self.folder)
        except (OSError, ValueError) as error:
            raise StoreError(f"{fresh}: {error}") from None

    # What others lack

    def since(self, version: int, name: str) -> bytes:
        """The entries after a version up to one of this name, each as encoded, one after another. Reads
        files.

        NotReached: they are not all here. As entries are let go once they are worth more than a snapshot,
        what is here is not much longer than one.
        """
        chain: list[Entry] = []
        entry = self._entries.get(name)
        while entry is not None and entry.policy.version > version:
            if not entry.size:
                entry = None
                break
            chain.append(entry)
            if entry.policy.version == version + 1:
                break
            entry = self._entries.get(entry.policy.parent_name)
        if entry is None:
            raise NotReached(f"the log does not reach from version {version} to {name} here")
        pieces = []
        for one in reversed(chain):
            try:
                data = self._record(one.policy.name, MAX_ENTRY_BYTES)
            except OSError:
                data = None
            if data is None:
                raise NotReached(f"{one.policy.name} cannot be read here")
            pieces.append(msgspec.Raw(data))
        return msgspec.msgpack.encode(pieces)

    def snapshot(self, name: str) -> tuple[str, bytes]:
        """The name and bytes of the newest snapshot at or before an entry. Reads a file. NotReached: none."""
        entry = self._entries.get(name)
        while entry is not None:
            at = entry.policy.name
            if at in self._snapshots:
                try:
                    data = self._record(f"{at}{_SNAPSHOT}", MAX_SNAPSHOT_BYTES)
                except OSError:
                    data = None
                if data is not None:
                    return at, data
            entry = self._entries.get(entry.policy.parent_name)
        raise NotReached(f"no snapshot at or before {name} here")

    # What is let go

    def prune(self, needed: Iterable[str]) -> None:
        """Let go of what is neither needed nor among the newest. Writes and removes files.

        The resources after older entries leave the memory; where entries are worth more bytes than a
        snapshot, one is written and they leave the disk. StoreError: it could not be written; nothing is
        lost.
        """
        with self._lock:
            wanted = {name for name in needed if name in self._entries}
            names = self.names()
            newest = version_of(names[-1]) if names else 0
            for name in names:
                entry = self._entries[name]
                old = version_of(name) <= newest - self.kept_states and name not in wanted
                if old and entry.state is not None:
                    self._entries[name] = Entry(entry.policy, None, None, entry.size, entry.out)
            if wanted:
                self._compact(min(wanted, key=_by_age))

    def _compact(self, name: str) -> None:
        """Write a snapshot at the oldest ancestor of an entry that has its resources, if that is worth it."""
        base = self._entries[name]
        while True:
            before = self._entries.get(base.policy.parent_name)
            if before is None or before.state is None:
                break
            base = before
        at = base.policy.name
        if base.state is None:
            return
        older = [one for one in self.names() if version_of(one) < base.policy.version]
        freed = sum(self._entries[one].size for one in older)
        last = max((self._snapshots[one] for one in older if one in self._snapshots), default=0)
        if at not in self._snapshots:
            if freed <= max(last, self.snapshot_floor) and len(older) <= MAX_LOG_ENTRIES:
                return
            data = msgspec.msgpack.encode(Snapshot(base.policy, encode_snapshot(base.state)))
            self._write(f"{at}{_SNAPSHOT}", data, MAX_SNAPSHOT_BYTES)
            self._snapshots[at] = len(data)
        for one in older:
            del self._entries[one]
            self._snapshots.pop(one, None)
            for file in (f"{one}{_SNAPSHOT}", one):
                with suppress(OSError):
                    (self.folder / file).unlink(missing_ok=True)


def _keys(policy: Policy) -> frozenset[Key] | None:
    changed = changed_keys(policy.changes or ())
    return changed if len(changed) <= MAX_CHANGED_KEYS else None


def _servers_out(state: ResourceState) -> frozenset[str]:
    return frozenset(one.name for one in state.of_kind(Kind.SERVER_OUT))
