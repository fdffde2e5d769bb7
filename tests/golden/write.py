"""Regenerates the golden files from the current code: python -m tests.golden.write.

Use it only after an intended change of the published formats; see README.md.
"""

from __future__ import annotations

import shutil

from . import bench
from .build import FILES, disk
from .files import FOLDER


def main() -> None:
    """Write all generated golden files; files written by hand stay unchanged."""
    recorded = FOLDER / "bench_input.bin"
    if not recorded.exists():  # the input is recorded only once; later runs rewrite the output for it
        recorded.write_bytes(bench.record())
    for name, build in FILES.items():
        path = FOLDER / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(build())
    shutil.rmtree(FOLDER / "disk", ignore_errors=True)
    for name, data in disk().items():
        path = FOLDER / "disk" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)


if __name__ == "__main__":
    main()
