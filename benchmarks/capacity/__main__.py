"""The command line of the capacity benchmark: prints a table; optionally writes JSON and a plot."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from . import page, report, runner
from .measurement import Measurement, NotCarried
from .registry import MEASUREMENTS

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> int:
    """Exit status: 0 if every run has a figure, 1 if the rig failed or was late, 2 for bad arguments."""
    parser = _parser()
    words = parser.parse_args(arguments)
    if words.one:
        name, size = words.one
        runner.limit_memory()
        print(runner.encode(runner.run_here(name, int(size))))
        return 0
    if words.page:
        outcomes = page.read_outcomes(words.page)
        print(page.slope_table(outcomes), page.budget_table(outcomes), sep="\n\n")
        if words.plot:
            report.plot(outcomes, words.plot)
        return 0
    unknown = [name for name in words.names if name not in MEASUREMENTS]
    if unknown:
        parser.error(f"unknown measurements: {', '.join(unknown)}; expected any of {', '.join(MEASUREMENTS)}")
    chosen = [MEASUREMENTS[name] for name in words.names or MEASUREMENTS]
    plan = [(one, _sizes(one, words)) for one in chosen]
    found = runner.run_all(plan, lambda outcome: print(report.outcome_line(outcome), flush=True))
    print("\n" + report.as_table(found))
    if words.json:
        words.json.write_bytes(report.as_json(found) + b"\n")
    if words.plot:
        report.plot(found, words.plot)
    return int(any(isinstance(one, NotCarried) for one in found))


def _sizes(measurement: Measurement, words: argparse.Namespace) -> tuple[int, ...]:
    if words.sizes:
        return tuple(words.sizes)
    return measurement.quick if words.quick else measurement.sizes


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.capacity",
        description="Measures the cost of the control plane by the size of its state.",
        epilog="Measurements: "
        + "; ".join(f"{one.name} ({one.title}; {one.counted})" for one in MEASUREMENTS.values()),
    )
    parser.add_argument("names", nargs="*", help="measurements to run; all by default")
    parser.add_argument("--sizes", type=_numbers, help="comma-separated sizes, in place of the defaults")
    parser.add_argument("--quick", action="store_true", help="run the small sizes that the tests use")
    parser.add_argument("--json", type=Path, help="also write outcomes and fits to this file")
    parser.add_argument("--plot", type=Path, help="also plot them to this file")
    parser.add_argument(
        "--page", type=Path, nargs="+", help="print the tables of docs/CAPACITY.md from these JSON files"
    )
    parser.add_argument("--one", nargs=2, metavar=("NAME", "SIZE"), help="measure one size in this process")
    return parser


def _numbers(text: str) -> list[int]:
    return [int(part.replace("_", "")) for part in text.split(",")]


if __name__ == "__main__":
    sys.exit(main())
