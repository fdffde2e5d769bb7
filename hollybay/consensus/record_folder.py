"""A folder of files that hold one checksummed record each.

After a crash each file is complete or absent, see `durable_file`. A file without an intact record is
quarantined: it is renamed, with its integrity as suffix, and treated as absent.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from .durable_file import WriteStep, replace_file
from .record import RECORD_OVERHEAD_BYTES, RecordIntegrity, decode_record, encode_record
from .store import StoreError

__all__ = ["RecordFolder"]

# The names under which steps of a write are reported to `before_step`; other steps are not reported.
_STEP_NAMES = {WriteStep.WRITE: "write policy", WriteStep.FLUSH: "flush policy"}


class RecordFolder:
    """Records, addressed by their file names.

    Parameters
    ----------
    path
        The folder; it is created with the first record.
    before_step
        Called before the disk operations in _STEP_NAMES, with their names.

    Attributes
    ----------
    quarantined
        Names of quarantined files, with the reasons.
    """

    def __init__(self, path: Path, before_step: Callable[[str], None]) -> None:
        self.path = path
        self.before_step = before_step
        self.quarantined: dict[str, str] = {}

    def files(self) -> list[str]:
        """The names of all files in the folder. OSError: the folder cannot be read."""
        return [path.name for path in self.path.iterdir()] if self.path.exists() else []

    def read(self, file: str, max_bytes: int) -> bytes | None:
        """Read a record; None if it is not intact, in which case it is quarantined. OSError: read error."""
        with (self.path / file).open("rb") as handle:
            record = decode_record(handle.read(max_bytes + RECORD_OVERHEAD_BYTES))
        if record.integrity is RecordIntegrity.INTACT:
            return record.data
        self.quarantine(file, record.integrity.value, f"the record is {record.integrity.value}")
        return None

    def quarantine(self, file: str, suffix: str, reason: str) -> None:
        """Rename a file, so that it is treated as absent. OSError: it cannot be renamed."""
        os.replace(self.path / file, self.path / f"{file}.{suffix}")
        self.quarantined[file] = reason

    def write(self, file: str, data: bytes, max_bytes: int) -> None:
        """Write a record; once this returns, it is on disk.

        Raises
        ------
        StoreError
            The record may not be on disk.
        """
        new_file = self.path / f"{file}.new"
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            encoded = encode_record(0, data, max_bytes)
            replace_file(self.path / file, new_file, encoded, self._report_step)
        except (OSError, ValueError) as error:
            raise StoreError(f"{new_file}: {error}") from None

    def _report_step(self, step: WriteStep) -> None:
        name = _STEP_NAMES.get(step)
        if name is not None:
            self.before_step(name)

    def remove(self, file: str) -> None:
        """Remove a file if it exists. Errors are ignored: a file that stays is superfluous but harmless."""
        with suppress(OSError):
            (self.path / file).unlink(missing_ok=True)
