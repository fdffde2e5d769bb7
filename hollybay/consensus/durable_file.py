"""Writing a file so that after a crash it is complete or as it was before.

The bytes are written to a new file beside it and flushed to the disk; that file is renamed over the old one,
and the folder is flushed.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from enum import Enum
from pathlib import Path

__all__ = ["WriteStep", "flush_folder", "no_step", "replace_file"]


class WriteStep(Enum):
    """A step of a write. The values are the words of scenarios that end a process at a step."""

    WRITE = "write"
    FLUSH = "flush"
    RENAME = "rename"
    FLUSH_FOLDER = "flush folder"


def no_step(_step: str) -> None:
    """Do nothing before a step on the disk."""


def flush_folder(path: Path) -> None:
    """Flush the names in a folder to the disk.

    Raises
    ------
    OSError
        They may not be on the disk.
    """
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def replace_file(path: Path, new_path: Path, data: bytes, before_step: Callable[[WriteStep], None]) -> None:
    """Write a file; once this returns it is on the disk.

    Parameters
    ----------
    path
        The file.
    new_path
        Where it is written first, in the same folder.
    before_step
        Called before each step; a test fails or ends the process there.

    Raises
    ------
    OSError
        It may not be on the disk.
    """
    before_step(WriteStep.WRITE)
    with new_path.open("wb") as file:
        file.write(data)
        file.flush()
        before_step(WriteStep.FLUSH)
        os.fsync(file.fileno())
    before_step(WriteStep.RENAME)
    os.replace(new_path, path)
    before_step(WriteStep.FLUSH_FOLDER)
    flush_folder(path.parent)
