"""python -m hollybay.hollow: runs a process of hollow nodes."""

from __future__ import annotations

import sys

from .process import main

if __name__ == "__main__":
    sys.exit(main())
