"""Where golden files are and how their lines are read; names nothing of the project."""

from __future__ import annotations

from pathlib import Path

__all__ = ["FOLDER", "joined", "lines", "read", "tree"]

FOLDER = Path(__file__).resolve().parent


def read(name: str) -> bytes:
    """A golden file."""
    return (FOLDER / name).read_bytes()


def lines(name: str) -> dict[str, bytes]:
    """A golden file of one sample a line: its name, a space, its bytes."""
    pairs = (line.partition(b" ") for line in read(name).split(b"\n") if line)
    return {key.decode(): data for key, _, data in pairs}


def joined(samples: dict[str, bytes]) -> bytes:
    """The bytes of such a file. ValueError: a sample does not fit on one line."""
    for key, data in samples.items():
        if b"\n" in data or " " in key:
            raise ValueError(f"{key}: not on one line")
    return b"".join(key.encode() + b" " + data + b"\n" for key, data in samples.items())


def tree(folder: Path) -> dict[str, bytes]:
    """All files under a folder, by their paths in it."""
    return {
        path.relative_to(folder).as_posix(): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }
