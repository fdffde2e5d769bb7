"""The last record of one process on disk, in two generations: whatever the process sends is on disk first.

Each record replaces the older of two files (see `durable_file`). So at any time one complete record is on the
disk, and after a crash the newer of the intact ones counts. A file that holds no record is quarantined: it is
renamed with its integrity as suffix, and is never read as data.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from .durable_file import no_step, replace_file
from .record import (
    MAX_RECORD_BYTES,
    RECORD_OVERHEAD_BYTES,
    DecodedRecord,
    RecordIntegrity,
    decode_record,
    encode_record,
)

__all__ = ["Store", "StoreError"]

_GENERATIONS = 2


class StoreError(Exception):
    """A record is not on disk, or is damaged or of a newer build; nothing may be sent on it."""


class Store:
    """The records of one process under NAME.0 and NAME.1 in a folder.

    Parameters
    ----------
    folder
        It is made when the store is opened.
    name
        The beginning of the names of its files.
    before_step
        Called before each step on the disk, with the value of a `durable_file.WriteStep`.

    Attributes
    ----------
    paths
        The files of the generations.
    sequence
        The sequence number of the last record; 0: there is none.
    data
        The last record.
    current_generation
        The index of the file that holds it; the other one is written next.
    quarantined
        Files that were quarantined, under their new names.
    may_be_stale
        Whether a generation was damaged. No crash damages one, only a disk: the last record may be lost with
        it, and a voter must first recover from the others.
    """

    def __init__(self, folder: Path, name: str, before_step: Callable[[str], None] = no_step) -> None:
        self.folder = folder
        self.paths = [folder / f"{name}.{generation}" for generation in range(_GENERATIONS)]
        self.sequence = 0
        self.data = b""
        self.current_generation = 1
        self.quarantined: list[Path] = []
        self.may_be_stale = False
        self._new_path = folder / f"{name}.new"
        self.before_step = before_step

    def open(self) -> bytes | None:
        """Read the last intact record; None: there never was one.

        Raises
        ------
        StoreError
            The folder cannot be read, a record is of a newer build, or both generations are damaged: then it
            is not known what this process sent, and it must recover before it sends more.
        """
        intact: list[tuple[int, int, bytes]] = []  # sequence, generation, data
        is_damaged = False
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            for generation, path in enumerate(self.paths):
                if not path.exists():
                    continue
                record = self._read(path)
                if record.integrity is RecordIntegrity.INTACT:
                    intact.append((record.sequence, generation, record.data))
                else:
                    is_damaged = True
                    self._quarantine(path, record.integrity)
        except OSError as error:
            raise StoreError(f"{self.folder}: {error}") from None
        self.may_be_stale = is_damaged
        if not intact:
            if is_damaged:
                raise StoreError(f"{self.paths[0]}: nothing whole is left of what was said")
            return None
        self.sequence, self.current_generation, self.data = max(intact)
        return self.data

    def _read(self, path: Path) -> DecodedRecord:
        """Read one generation. StoreError: it is of a newer build."""
        with path.open("rb") as file:
            record = decode_record(file.read(MAX_RECORD_BYTES + RECORD_OVERHEAD_BYTES))
        if record.integrity is RecordIntegrity.NEWER:
            raise StoreError(f"{path}: of a newer build than this one")
        return record

    def _quarantine(self, path: Path, integrity: RecordIntegrity) -> None:
        quarantined = path.with_name(f"{path.name}.{integrity.value}")
        os.replace(path, quarantined)
        self.quarantined.append(quarantined)

    def put(self, data: bytes) -> None:
        """Write a record; once this returns it may be sent.

        Raises
        ------
        StoreError
            It may not be.
        """
        encoded = encode_record(self.sequence + 1, data)
        older_generation = 1 - self.current_generation
        path = self.paths[older_generation]
        try:
            replace_file(path, self._new_path, encoded, lambda step: self.before_step(step.value))
        except OSError as error:
            raise StoreError(f"{path}: {error}") from None
        self.sequence += 1
        self.current_generation = older_generation
        self.data = data
