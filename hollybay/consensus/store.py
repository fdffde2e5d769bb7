"""A file of records on disk, in two generations: whatever a process sends is on disk first.

A record is written beside, flushed to the disk, and renamed over the older of two names; then the folder is
flushed. So at any moment one whole record stands, and after a crash the newer of what is whole counts. What
is no record is set aside under another name and never read as data.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from .record import MOST, Fate, pack, unpack

__all__ = ["Store", "StoreError", "flush_folder"]


class StoreError(Exception):
    """The record is not on disk, or is damaged or of a newer build; nothing may be sent on it."""


def flush_folder(path: Path) -> None:
    """Flush the names in a folder to the disk. Raises OSError where that failed."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class Store:
    """The records of one process under NAME.0 and NAME.1 in a folder.

    step: called with a word before each step that touches the disk; a test fails or ends the process there.
    """

    def __init__(self, folder: Path, name: str, step: Callable[[str], None] = lambda word: None) -> None:
        self.folder = folder
        self.paths = [folder / f"{name}.{n}" for n in range(2)]
        self.fresh = folder / f"{name}.new"
        self.step = step
        self.count = 0
        self.data = b""
        self.newest = 1  # the generation that holds the last record; the other is written next
        self.aside: list[Path] = []
        # No crash damages a generation in place, only the disk: the last record may be gone with it, and a
        # voter must first recover from the others.
        self.doubtful = False

    def open(self) -> bytes | None:
        """The last whole record, None where there never was one.

        StoreError: the folder cannot be read, a record is of a newer build, or what was there is damaged in
        both generations: then what this process sent is not known, and it must recover before it sends more.
        """
        found: list[tuple[int, int, bytes]] = []
        damaged = False
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            for n, path in enumerate(self.paths):
                if not path.exists():
                    continue
                with path.open("rb") as file:
                    one = unpack(file.read(MOST + 256))
                if one.fate is Fate.NEWER:
                    raise StoreError(f"{path}: of a newer build than this one")
                if one.fate is Fate.SOUND:
                    found.append((one.count, n, one.data))
                else:
                    damaged = True
                    self._set_aside(path, one.fate)
        except OSError as error:
            raise StoreError(f"{self.folder}: {error}") from None
        self.doubtful = damaged
        if not found:
            if damaged:
                raise StoreError(f"{self.paths[0]}: nothing whole is left of what was said")
            return None
        self.count, self.newest, self.data = max(found)
        return self.data

    def _set_aside(self, path: Path, fate: Fate) -> None:
        target = path.with_name(f"{path.name}.{fate.value}")
        os.replace(path, target)
        self.aside.append(target)

    def put(self, data: bytes) -> None:
        """Write a record; once this returns it may be sent. Raises StoreError: it may not."""
        packed = pack(self.count + 1, data)
        older = 1 - self.newest
        try:
            self.step("write")
            with self.fresh.open("wb") as file:
                file.write(packed)
                file.flush()
                self.step("flush")
                os.fsync(file.fileno())
            self.step("rename")
            os.replace(self.fresh, self.paths[older])
            self.step("flush folder")
            flush_folder(self.folder)
        except OSError as error:
            raise StoreError(f"{self.paths[older]}: {error}") from None
        self.count += 1
        self.newest = older
        self.data = data
