"""The files of the replicated log: one record per file, NAME for an entry and NAME.snapshot for a snapshot.

Each file is verified on its own when it is read; `log.PolicyLog` checks whether an entry follows another one.
A file without a valid record is quarantined, see `record_folder`.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from hollybay.resources.state import ResourceState
from hollybay.resources.wire import MAX_SNAPSHOT_BYTES

from .errors import RejectedError
from .log_entry import Snapshot, age_order, is_policy_name
from .policy import MAX_ENTRY_BYTES, PolicyVersion, decode_policy
from .record import RecordIntegrity
from .record_folder import RecordFolder

__all__ = ["LogFiles"]

_SNAPSHOT_SUFFIX = ".snapshot"
# Suffix of a quarantined entry whose parent is missing.
_ORPHAN_SUFFIX = "orphan"


class LogFiles:
    """Entries and snapshots in a folder, by the names of their policies.

    Parameters
    ----------
    folder, before_step
        As in `record_folder.RecordFolder`.
    """

    def __init__(self, folder: Path, before_step: Callable[[str], None]) -> None:
        self._records = RecordFolder(folder, before_step)

    @property
    def quarantined(self) -> dict[str, str]:
        """Files that were quarantined, with the reason."""
        return self._records.quarantined

    def list_all(self) -> tuple[list[str], list[str]]:
        """The names of all snapshots and of all entries, oldest first. OSError: the folder is unreadable."""
        files = self._records.files()
        snapshots = [file.removesuffix(_SNAPSHOT_SUFFIX) for file in sorted(files) if _is_snapshot(file)]
        return snapshots, sorted(filter(is_policy_name, files), key=age_order)

    # Reading

    def read_snapshot(self, name: str) -> tuple[PolicyVersion, ResourceState, int] | None:
        """Read a snapshot and its size in bytes; None if it was quarantined. OSError: it is unreadable."""
        file = _snapshot_file(name)
        data = self._records.read(file, MAX_SNAPSHOT_BYTES)
        if data is None:
            return None
        try:
            policy, state = Snapshot.decode(data)
        except RejectedError as error:
            self._records.quarantine(file, RecordIntegrity.TORN.value, str(error))
            return None
        if policy.name != name:
            self._records.quarantine(file, RecordIntegrity.FOREIGN.value, f"the file holds {policy.name}")
            return None
        return policy, state, len(data)

    def read_entry(self, name: str) -> tuple[PolicyVersion, int] | None:
        """Read an entry and its size in bytes; None if it was quarantined. OSError: it is unreadable."""
        data = self._records.read(name, MAX_ENTRY_BYTES)
        if data is None:
            return None
        try:
            policy = decode_policy(data)
            if policy.name != name:
                raise RejectedError(f"the file holds {policy.name}")
        except RejectedError as error:
            self._records.quarantine(name, RecordIntegrity.TORN.value, str(error))
            return None
        return policy, len(data)

    def find_entry(self, name: str) -> PolicyVersion | None:
        """Read an entry; None if there is no valid file of this name."""
        data = self.entry_bytes(name)
        try:
            policy = decode_policy(data) if data is not None else None
        except RejectedError:
            return None
        return policy if policy is not None and policy.name == name else None

    def entry_bytes(self, name: str) -> bytes | None:
        """The bytes of an entry, or None if it cannot be read."""
        return self._read_or_none(name, MAX_ENTRY_BYTES)

    def snapshot_bytes(self, name: str) -> bytes | None:
        """The bytes of a snapshot, or None if it cannot be read."""
        return self._read_or_none(_snapshot_file(name), MAX_SNAPSHOT_BYTES)

    def _read_or_none(self, file: str, max_bytes: int) -> bytes | None:
        try:
            return self._records.read(file, max_bytes)
        except OSError:
            return None

    # Writing

    def write_entry(self, policy: PolicyVersion) -> int:
        """Write an entry; returns its size in bytes. StoreError: it may not be on disk."""
        data = msgspec.msgpack.encode(policy)
        self._records.write(policy.name, data, MAX_ENTRY_BYTES)
        return len(data)

    def write_snapshot(self, name: str, data: bytes) -> None:
        """Write an encoded snapshot. StoreError: it may not be on disk."""
        self._records.write(_snapshot_file(name), data, MAX_SNAPSHOT_BYTES)

    def quarantine_orphan(self, name: str, reason: str) -> None:
        """Quarantine an entry whose parent is missing; it is fetched again if it is needed."""
        self._records.quarantine(name, _ORPHAN_SUFFIX, reason)

    def remove(self, name: str) -> None:
        """Remove the snapshot and the entry of this name, if they exist."""
        self._records.remove(_snapshot_file(name))
        self._records.remove(name)


def _snapshot_file(name: str) -> str:
    return f"{name}{_SNAPSHOT_SUFFIX}"


def _is_snapshot(file: str) -> bool:
    return file.endswith(_SNAPSHOT_SUFFIX) and is_policy_name(file.removesuffix(_SNAPSHOT_SUFFIX))
