"""Access to the golden files. This module uses no names of the project."""

from __future__ import annotations

from pathlib import Path

__all__ = ["FOLDER", "joined", "lines", "read", "tree"]

FOLDER = Path(__file__).resolve().parent


def read(name: str) -> bytes:
    """Read a golden file."""
    return (FOLDER / name).read_bytes()


def lines(name: str) -> dict[str, bytes]:
    """Read a golden file with one sample per line: its name, a space, and its bytes."""
    pairs = (line.partition(b" ") for line in read(name).split(b"\n") if line)
    return {key.decode(): data for key, _, data in pairs}


def joined(samples: dict[str, bytes]) -> bytes:
    """Encode samples as a file with one sample per line. ValueError: a sample contains a line break."""
    for key, data in samples.items():
        if b"\n" in data or " " in key:
            raise ValueError(f"{key}: not on one line")
    return b"".join(key.encode() + b" " + data + b"\n" for key, data in samples.items())


def tree(folder: Path) -> dict[str, bytes]:
    """Read all files below a folder; keys are their relative paths."""
    return {
        path.relative_to(folder).as_posix(): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }
