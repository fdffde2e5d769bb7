"""The replicated log of one process: entries on disk, and snapshots that replace the oldest of them.

`log_files` reads and writes the files. Quarantined files count as absent; their entries are fetched again
from other processes.

Each entry holds the digest of its parent. Besides the chain of decided entries the log may hold proposals
that were dropped. An entry is appended only if the resources of its parent are in memory and its changes
produce the digest that it states. A snapshot holds the resources after one entry; older entries are removed
once they take more bytes than the snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from threading import RLock

import msgspec

from hollybay.resources.batch import BatchMismatchError, apply_batch
from hollybay.resources.state import EMPTY, ResourceState

from .durable_file import no_step
from .errors import LogGapError, RejectedError
from .log_entry import Entry, Snapshot, age_order, is_policy_name
from .log_files import LogFiles
from .policy import PolicyVersion, version_of
from .store import StoreError

__all__ = [
    "MAX_LOG_ENTRIES",
    "MAX_STATES_IN_MEMORY",
    "SNAPSHOT_FLOOR_BYTES",
    "LogTruncatedError",
    "PolicyLog",
]

# Number of the newest entries that are kept in memory with the resources after them.
MAX_STATES_IN_MEMORY = 32
# Old entries are replaced by a snapshot once they take more bytes than both the largest snapshot and
# SNAPSHOT_FLOOR_BYTES, or once there are more than MAX_LOG_ENTRIES of them.
SNAPSHOT_FLOOR_BYTES = 64 << 10
MAX_LOG_ENTRIES = 1024


class LogTruncatedError(Exception):
    """The requested entries or snapshot are no longer in this log."""


class PolicyLog:
    """The log of one process, in a folder of entries and snapshots.

    Methods that change the log may be called from several threads: a process can be both leaseholder and
    voter, and both roles may fetch the same entry.

    Parameters
    ----------
    folder
        The folder of the files.
    before_step
        Called before each write and flush, as in `record_folder.RecordFolder`; tests inject faults with it.
    max_states_in_memory
        Number of the newest entries that are kept in memory with the resources after them.
    snapshot_floor_bytes
        Entries that take fewer bytes in total are not replaced by a snapshot.
    """

    def __init__(
        self,
        folder: Path,
        before_step: Callable[[str], None] = no_step,
        max_states_in_memory: int = MAX_STATES_IN_MEMORY,
        snapshot_floor_bytes: int = SNAPSHOT_FLOOR_BYTES,
    ) -> None:
        self.folder = folder
        self.max_states_in_memory = max_states_in_memory
        self.snapshot_floor_bytes = snapshot_floor_bytes
        self._files = LogFiles(folder, before_step)
        self._entries: dict[str, Entry] = {}
        self._snapshot_sizes: dict[str, int] = {}  # bytes, by name
        self._lock = RLock()

    @property
    def quarantined(self) -> dict[str, str]:
        """Files that were quarantined, with the reason."""
        return self._files.quarantined

    # Loading from disk

    def open(self) -> None:
        """Load the snapshots and then the entries on disk.

        Raises
        ------
        StoreError
            The folder cannot be read.
        """
        with self._lock:
            try:
                snapshots, entries = self._files.list_all()
                for name in snapshots:
                    self._open_snapshot(name)
                for name in entries:
                    self._open_entry(name)
            except OSError as error:
                raise StoreError(f"{self.folder}: {error}") from None

    def _open_snapshot(self, name: str) -> None:
        loaded = self._files.read_snapshot(name)
        if loaded is not None:
            self._add_snapshot(*loaded)

    def _open_entry(self, name: str) -> None:
        loaded = self._files.read_entry(name)
        if loaded is None:
            return
        policy, size_bytes = loaded
        snapshot_entry = self._entries.get(name)
        if snapshot_entry is not None:
            self._entries[name] = snapshot_entry.with_changes_of(policy, size_bytes)
            return
        try:
            state = self._state_after(policy)
        except RejectedError as error:
            self._files.quarantine_orphan(name, str(error))
            return
        self._add_entry(policy, state, size_bytes)

    # Reading

    def names(self) -> list[str]:
        """The names of all entries in the log, oldest first."""
        return sorted(list(self._entries), key=age_order)

    def policy(self, name: str) -> PolicyVersion | None:
        """The policy of an entry without its changes, or None if the log does not hold it."""
        entry = self._entries.get(name)
        return entry.policy if entry is not None else None

    def entry(self, name: str) -> Entry | None:
        """An entry, or None if the log does not hold it."""
        return self._entries.get(name)

    def state(self, name: str) -> ResourceState | None:
        """The resources after an entry, or None if they are not in memory."""
        entry = self._entries.get(name)
        return entry.state if entry is not None else None

    def read_entry(self, name: str) -> PolicyVersion | None:
        """Read a policy with its changes from disk; None if there is no usable file."""
        return self._files.find_entry(name) if is_policy_name(name) else None

    # Appending

    def append(self, policy: PolicyVersion) -> Entry:
        """Add an entry: write it to disk, then to memory. It is durable once this returns.

        Raises
        ------
        StoreError
            The entry could not be written.
        RejectedError
            The log lacks its parent (a gap), or its changes do not produce the digest that it states. The
            log is unchanged.
        """
        with self._lock:
            present = self._entries.get(policy.name)
            if present is not None:
                return present
            state = self._state_after(policy)
            return self._add_entry(policy, state, self._files.write_entry(policy))

    def install_snapshot(
        self, data: bytes, parsed: tuple[PolicyVersion, ResourceState] | None = None
    ) -> Entry:
        """Add a snapshot: write it to disk, then to memory.

        Parameters
        ----------
        data
            The encoded snapshot.
        parsed
            The result of `Snapshot.decode`, if the caller has decoded it already.

        Raises
        ------
        StoreError, RejectedError
            As for `append`.
        """
        policy, state = parsed if parsed is not None else Snapshot.decode(data)
        with self._lock:
            present = self._entries.get(policy.name)
            if present is not None and present.state is not None:
                return present
            self._files.write_snapshot(policy.name, data)
            return self._add_snapshot(policy, state, len(data))

    def _add_entry(self, policy: PolicyVersion, state: ResourceState, size_bytes: int) -> Entry:
        entry = Entry.after(self._entries.get(policy.parent_name), policy, state, size_bytes)
        self._entries[policy.name] = entry
        return entry

    def _add_snapshot(self, policy: PolicyVersion, state: ResourceState, size_bytes: int) -> Entry:
        entry = Entry.from_snapshot(policy, state)
        self._snapshot_sizes[policy.name] = size_bytes
        self._entries[policy.name] = entry
        return entry

    def _state_after(self, policy: PolicyVersion) -> ResourceState:
        """The resources after a policy is applied to its parent's. RejectedError: as for `append`."""
        state: ResourceState | None = EMPTY
        if policy.version > 1:
            parent = self._entries.get(policy.parent_name)
            if parent is None or parent.policy.digest != policy.parent:
                raise LogGapError(f"a gap: {policy.parent_name}, which {policy.name} follows, is not here")
            state = parent.state
        if state is None:
            raise LogGapError(f"a gap: the resources after {policy.parent_name} are no longer in memory")
        try:
            return apply_batch(state, policy.batch)
        except BatchMismatchError as error:
            raise RejectedError(f"{policy.name}: {error}") from None

    # Serving other processes

    def encoded_delta(self, version: int, name: str) -> bytes:
        """Read and encode the entries after a version, up to and including the named one.

        A delta is not much longer than a snapshot, since entries that take more bytes than one are removed.

        Raises
        ------
        LogTruncatedError
            The log no longer holds all of them.
        """
        encoded = []
        for entry in self._chain_since(version, name):
            data = self._files.entry_bytes(entry.policy.name)
            if data is None:
                raise LogTruncatedError(f"the entry {entry.policy.name} cannot be read from disk")
            encoded.append(msgspec.Raw(data))
        return msgspec.msgpack.encode(encoded)

    def _chain_since(self, version: int, name: str) -> list[Entry]:
        """The entries after a version, up to and including the named one, oldest first."""
        chain: list[Entry] = []
        entry = self._entries.get(name)
        while entry is not None and entry.size_bytes and entry.policy.version > version:
            chain.append(entry)
            if entry.policy.version == version + 1:
                break
            entry = self._entries.get(entry.policy.parent_name)
        if entry is None or (entry.policy.version > version and not entry.size_bytes):
            raise LogTruncatedError(f"the log does not reach from version {version} to {name} here")
        return chain[::-1]

    def newest_snapshot(self, name: str) -> tuple[str, bytes]:
        """Read the newest snapshot at or before an entry; returns its name and its bytes.

        Raises
        ------
        LogTruncatedError
            The log holds no such snapshot.
        """
        entry = self._entries.get(name)
        while entry is not None:
            ancestor = entry.policy.name
            if ancestor in self._snapshot_sizes:
                data = self._files.snapshot_bytes(ancestor)
                if data is not None:
                    return ancestor, data
            entry = self._entries.get(entry.policy.parent_name)
        raise LogTruncatedError(f"no snapshot at or before {name} here")

    # Compaction

    def prune(self, needed: Iterable[str]) -> None:
        """Free memory and disk space of entries that are neither needed nor among the newest.

        The resources after such entries are dropped from memory. Once older entries take more bytes than a
        snapshot, a snapshot is written and the entries before it are removed from disk.

        Raises
        ------
        StoreError
            The snapshot could not be written; no entry was removed.
        """
        with self._lock:
            needed_names = {name for name in needed if name in self._entries}
            names = self.names()
            newest = version_of(names[-1]) if names else 0
            for name in names:
                entry = self._entries[name]
                is_old = version_of(name) <= newest - self.max_states_in_memory and name not in needed_names
                if is_old and entry.state is not None:
                    self._entries[name] = entry.without_state()
            if needed_names:
                self._compact(min(needed_names, key=age_order))

    def _compact(self, name: str) -> None:
        """Replace old entries by a snapshot at the oldest ancestor of an entry with resources in memory.

        Does nothing if the entries that it would replace are few and small.
        """
        base = self._oldest_with_state(self._entries[name])
        if base.state is None:
            return
        base_name = base.policy.name
        older = [other for other in self.names() if version_of(other) < base.policy.version]
        if base_name not in self._snapshot_sizes:
            if not self._is_snapshot_worthwhile(older):
                return
            data = Snapshot.encode(base.policy, base.state)
            self._files.write_snapshot(base_name, data)
            self._snapshot_sizes[base_name] = len(data)
        for other in older:
            del self._entries[other]
            self._snapshot_sizes.pop(other, None)
            self._files.remove(other)

    def _oldest_with_state(self, entry: Entry) -> Entry:
        while True:
            parent = self._entries.get(entry.policy.parent_name)
            if parent is None or parent.state is None:
                return entry
            entry = parent

    def _is_snapshot_worthwhile(self, older: list[str]) -> bool:
        """Whether the entries that a snapshot would replace exceed the bound in bytes or in number."""
        freed_bytes = sum(self._entries[name].size_bytes for name in older)
        sizes = (self._snapshot_sizes[name] for name in older if name in self._snapshot_sizes)
        largest_snapshot_bytes = max(sizes, default=0)
        return (
            freed_bytes > max(largest_snapshot_bytes, self.snapshot_floor_bytes)
            or len(older) > MAX_LOG_ENTRIES
        )
