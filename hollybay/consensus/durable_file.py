"""Atomic replacement of a file: after a crash it holds either the new content or the old.

The data is written to a new file in the same folder and flushed to disk. The new file is renamed over the old
one, and the folder is flushed.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from enum import Enum
from pathlib import Path

__all__ = ["WriteStep", "flush_folder", "no_step", "replace_file"]


class WriteStep(Enum):
    """A step of a write. Scenarios that end a process at a step refer to it by its value."""

    WRITE = "write"
    FLUSH = "flush"
    RENAME = "rename"
    FLUSH_FOLDER = "flush folder"


def no_step(_step: str) -> None:
    """Do nothing before a disk operation (the default `before_step`)."""


def flush_folder(path: Path) -> None:
    """Flush the directory entries of a folder to disk.

    Raises
    ------
    OSError
        The entries may not be on disk.
    """
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def replace_file(path: Path, new_path: Path, data: bytes, before_step: Callable[[WriteStep], None]) -> None:
    """Replace a file; once this returns, the new content is on disk.

    Parameters
    ----------
    path
        The file.
    new_path
        Temporary file for the new content, in the same folder.
    before_step
        Called before each step; tests use it to raise errors or to end the process.

    Raises
    ------
    OSError
        The new content may not be on disk.
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
