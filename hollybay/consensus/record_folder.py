"""A folder of files that hold one checksummed record each.

A file is written beside its place, flushed and renamed, and then the folder is flushed: after a crash each
file is complete or absent. A file that holds no sound record is quarantined: it is renamed with its fate as
suffix and counts as absent.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from .record import Fate, pack, unpack
from .store import StoreError, flush_folder

__all__ = ["RecordFolder"]

# The most bytes that a file has beside the data of its record.
RECORD_OVERHEAD_BYTES = 256


class RecordFolder:
    """Records by the names of their files.

    Parameters
    ----------
    path
        The folder; it is made with the first record.
    step
        Called before each operation on the disk, as in `store.Store`.

    Attributes
    ----------
    quarantined
        Files that were quarantined, and why.
    """

    def __init__(self, path: Path, step: Callable[[str], None]) -> None:
        self.path = path
        self.step = step
        self.quarantined: dict[str, str] = {}

    def files(self) -> list[str]:
        """The names of all files. OSError: the folder cannot be read."""
        return [path.name for path in self.path.iterdir()] if self.path.exists() else []

    def read(self, file: str, max_bytes: int) -> bytes | None:
        """The data of a record; None: the file holds none and is quarantined. OSError: it cannot be read."""
        with (self.path / file).open("rb") as handle:
            record = unpack(handle.read(max_bytes + RECORD_OVERHEAD_BYTES))
        if record.fate is Fate.SOUND:
            return record.data
        self.quarantine(file, record.fate.value, f"the record is {record.fate.value}")
        return None

    def quarantine(self, file: str, suffix: str, reason: str) -> None:
        """Rename a file, so that it counts as absent. OSError: it cannot be renamed."""
        os.replace(self.path / file, self.path / f"{file}.{suffix}")
        self.quarantined[file] = reason

    def write(self, file: str, data: bytes, max_bytes: int) -> None:
        """Write a record; once this returns it is on the disk.

        Raises
        ------
        StoreError
            It may not be.
        """
        new_file = self.path / f"{file}.new"
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self.step("write policy")
            with new_file.open("wb") as handle:
                handle.write(pack(0, data, max_bytes))
                handle.flush()
                self.step("flush policy")
                os.fsync(handle.fileno())
            os.replace(new_file, self.path / file)
            flush_folder(self.path)
        except (OSError, ValueError) as error:
            raise StoreError(f"{new_file}: {error}") from None

    def remove(self, file: str) -> None:
        """Remove a file if it is there; a failure is ignored, as the file is merely superfluous."""
        with suppress(OSError):
            (self.path / file).unlink(missing_ok=True)
