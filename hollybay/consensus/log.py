"""The replicated log on disk: one entry after another, and from time to time a snapshot of the resources.

The files are those of `log_files`. Quarantined files count as absent and are fetched again from other
processes.

Entries form chains by the digests of their parents: the chain of decided entries, and beside it proposals
that were dropped. An entry is appended only if the resources before it are here and its changes lead to the
digest that it states. A snapshot stands for all entries up to its own; these are removed once they take more
bytes than the snapshot.
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
from .log_entry import Entry, Snapshot, age_order, is_name
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

# How many of the newest entries are kept in memory with the resources after them.
MAX_STATES_IN_MEMORY = 32
# Old entries are removed at once when they take more bytes than a snapshot, and than this, or are so many.
SNAPSHOT_FLOOR_BYTES = 64 << 10
MAX_LOG_ENTRIES = 1024


class LogTruncatedError(Exception):
    """The entries or the snapshot that were asked for are not in this log."""


class PolicyLog:
    """The log of one process, in a folder of entries and snapshots.

    Methods that change the log may be called from several threads: a process is leaseholder and voter, and
    both may fetch the same entry.

    Parameters
    ----------
    folder
        Where the files are.
    before_step
        Called before each announced step on the disk, as in `record_folder.RecordFolder`.
    max_states_in_memory
        How many of the newest entries are kept with the resources after them.
    snapshot_floor_bytes
        Entries of fewer bytes are never replaced by a snapshot.
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
        """Files that held no usable record, and why."""
        return self._files.quarantined

    # Opening

    def open(self) -> None:
        """Load what is on disk: snapshots, then the entries that follow them.

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
        found = self._files.read_snapshot(name)
        if found is not None:
            self._add_snapshot(*found)

    def _open_entry(self, name: str) -> None:
        found = self._files.read_entry(name)
        if found is None:
            return
        policy, size_bytes = found
        with_snapshot = self._entries.get(name)
        if with_snapshot is not None:
            self._entries[name] = with_snapshot.with_changes_of(policy, size_bytes)
            return
        try:
            state = self._state_after(policy)
        except RejectedError as error:
            self._files.quarantine_orphan(name, str(error))
            return
        self._add_entry(policy, state, size_bytes)

    # Reading

    def names(self) -> list[str]:
        """The names of the entries that are here, the oldest first."""
        return sorted(list(self._entries), key=age_order)

    def policy(self, name: str) -> PolicyVersion | None:
        """A policy without its changes; None: it is not here."""
        entry = self._entries.get(name)
        return entry.policy if entry is not None else None

    def entry(self, name: str) -> Entry | None:
        """An entry; None: it is not here."""
        return self._entries.get(name)

    def state(self, name: str) -> ResourceState | None:
        """The resources after an entry; None: they are not here."""
        entry = self._entries.get(name)
        return entry.state if entry is not None else None

    def read_entry(self, name: str) -> PolicyVersion | None:
        """A policy with its changes, from the disk; None: it is not there. Reads a file."""
        return self._files.find_entry(name) if is_name(name) else None

    # Appending

    def append(self, policy: PolicyVersion) -> Entry:
        """Add an entry, on disk first; once this returns it is durable.

        Raises
        ------
        StoreError
            It could not be written.
        RejectedError
            Its parent is not here (a gap), or its changes do not lead to the digest that it states. The log
            is unchanged.
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
        """Add a snapshot, on disk first.

        Parameters
        ----------
        data
            The encoded snapshot.
        parsed
            The result of `Snapshot.decode`, where it is known already.

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
        """The resources after an entry. RejectedError: as for `append`."""
        state: ResourceState | None = EMPTY
        if policy.version > 1:
            parent = self._entries.get(policy.parent_name)
            if parent is None or parent.policy.digest != policy.parent:
                raise LogGapError(f"a gap: {policy.parent_name}, which {policy.name} follows, is not here")
            state = parent.state
        if state is None:
            raise LogGapError(f"a gap: the resources of {policy.parent_name} are not kept any more")
        try:
            return apply_batch(state, policy.batch)
        except BatchMismatchError as error:
            raise RejectedError(f"{policy.name}: {error}") from None

    # Serving other processes

    def encoded_delta(self, version: int, name: str) -> bytes:
        """The encoded entries after a version up to the one of this name. Reads files.

        As entries are removed once they take more bytes than a snapshot, a delta is not much longer than one.

        Raises
        ------
        LogTruncatedError
            They are not all here.
        """
        encoded = []
        for entry in self._chain_since(version, name):
            data = self._files.entry_bytes(entry.policy.name)
            if data is None:
                raise LogTruncatedError(f"{entry.policy.name} cannot be read here")
            encoded.append(msgspec.Raw(data))
        return msgspec.msgpack.encode(encoded)

    def _chain_since(self, version: int, name: str) -> list[Entry]:
        """The entries after a version up to the one of this name, the oldest first."""
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
        """The name and bytes of the newest snapshot at or before an entry. Reads a file.

        Raises
        ------
        LogTruncatedError
            There is none.
        """
        entry = self._entries.get(name)
        while entry is not None:
            at = entry.policy.name
            if at in self._snapshot_sizes:
                data = self._files.snapshot_bytes(at)
                if data is not None:
                    return at, data
            entry = self._entries.get(entry.policy.parent_name)
        raise LogTruncatedError(f"no snapshot at or before {name} here")

    # Compaction

    def prune(self, needed: Iterable[str]) -> None:
        """Remove what is neither needed nor among the newest. Writes and removes files.

        The resources after older entries leave the memory. Where entries take more bytes than a snapshot, one
        is written and they leave the disk.

        Raises
        ------
        StoreError
            The snapshot could not be written; nothing is lost.
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
        """Replace entries by a snapshot at the oldest ancestor of an entry that has resources.

        Nothing happens where a snapshot is not worth it.
        """
        base = self._oldest_with_state(self._entries[name])
        if base.state is None:
            return
        at = base.policy.name
        older = [other for other in self.names() if version_of(other) < base.policy.version]
        if at not in self._snapshot_sizes:
            if not self._is_snapshot_worth_it(older):
                return
            data = Snapshot.encode(base.policy, base.state)
            self._files.write_snapshot(at, data)
            self._snapshot_sizes[at] = len(data)
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

    def _is_snapshot_worth_it(self, older: list[str]) -> bool:
        """Whether the entries that a snapshot would replace are too many or take more bytes than one."""
        freed_bytes = sum(self._entries[name].size_bytes for name in older)
        sizes = (self._snapshot_sizes[name] for name in older if name in self._snapshot_sizes)
        largest_snapshot_bytes = max(sizes, default=0)
        return (
            freed_bytes > max(largest_snapshot_bytes, self.snapshot_floor_bytes)
            or len(older) > MAX_LOG_ENTRIES
        )
