"""Durable storage for the latest record of a process, kept in two files (generations).

Each write replaces the older of the two files (see `durable_file`), so one complete record is on disk at any
time; after a crash the newer intact record is used. A file without an intact record is quarantined: it is
renamed, with its integrity as suffix, and is never read as data.
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
    """A record could not be written, or is damaged or of a newer build; no message may rely on it."""


class Store:
    """The latest record of a process, in the files NAME.0 and NAME.1 of a folder.

    Parameters
    ----------
    folder
        The folder; it is created when the store is opened.
    name
        The common prefix of the file names.
    before_step
        Called before each disk operation with the value of a `durable_file.WriteStep`.

    Attributes
    ----------
    paths
        The files of the two generations.
    sequence
        The sequence number of the latest record; 0 if there is none.
    data
        The data of the latest record.
    current_generation
        The index of the file that holds the latest record; the other file is written next.
    quarantined
        The new paths of quarantined files.
    may_be_stale
        Whether one of the files was damaged. A crash cannot damage a file, only a disk fault can. The lost
        file may have held the latest record, so a voter must recover from the others first.
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
        """Read the latest intact record; None if no record was ever written.

        Raises
        ------
        StoreError
            The folder cannot be read, a record is of a newer build, or no file holds an intact record
            although one was written. In the last case it is unknown which messages relied on the lost
            records, and the process must recover from the others before it sends any.
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
        """Read one generation. StoreError: a newer build wrote it."""
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
        """Write a record; once this returns, messages may rely on it.

        Raises
        ------
        StoreError
            The record may not be on disk.
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
