"""Rewrites the golden files from the code as it stands: python -m tests.golden.write.

To be used only where the form of these bytes is meant to change; see README.md.
"""

from __future__ import annotations

import shutil

from . import bench
from .build import FILES, disk
from .files import FOLDER


def main() -> None:
    """Write all golden files that are built; those written by hand stay."""
    recorded = FOLDER / "bench_input.bin"
    if not recorded.exists():  # what comes in is recorded once; only the answer is rewritten
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
