"""Entry point of a node: `python -m hollybay.proxy`."""

from __future__ import annotations

import logging
import os
import sys

import uvloop

from .config import ConfigError, load
from .life_cycle import serve

__all__ = ["main"]

EXIT_OK = 0
EXIT_NETWORK_ERROR = 1
EXIT_INVALID_CONFIG = 2


def main() -> int:
    """Run a node with the configuration that the environment names.

    Returns
    -------
    int
        Exit status: 0 after a graceful shutdown, 1 if an address cannot be bound, 2 if the configuration is
        invalid.
    """
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        uvloop.run(serve(load(os.environ)))
    except ConfigError as error:
        print(f"hollybay: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    except OSError as error:
        print(f"hollybay: listen: {error}", file=sys.stderr)
        return EXIT_NETWORK_ERROR
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
