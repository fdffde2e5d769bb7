"""Run benchmarks by name; all by default."""

from __future__ import annotations

import sys

from . import flood, matcher, route_changes, routed_node, simulation

ALL = {
    "matcher": matcher.main,
    "routed_node": routed_node.main,
    "flood": flood.main,
    "simulation": simulation.main,
    "route_changes": route_changes.main,
}


def main(names: list[str]) -> int:
    """Run the named benchmarks. Exit status: 2 if a name is unknown."""
    unknown = [name for name in names if name not in ALL]
    if unknown:
        print(f"unknown benchmarks: {', '.join(unknown)}; expected any of {', '.join(ALL)}", file=sys.stderr)
        return 2
    for name in names or ALL:
        print(f"== {name}")
        ALL[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
