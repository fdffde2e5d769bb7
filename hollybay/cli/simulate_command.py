"""`hollybay simulate`: play, shrink or trace simulated runs."""

from __future__ import annotations

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.progress import Progress

__all__ = ["simulate"]


@click.command()
@click.option("--seed", type=int, help="Play this one.")
@click.option("--seeds", metavar="A..B", help="Play these, both ends included.")
@click.option("--plan", type=click.Path(dir_okay=False, path_type=Path), help="Play a plan written before.")
@click.option("--jobs", type=click.IntRange(1, 64), default=1, show_default=True)
@click.option("--faults", help="Comma-separated kinds that may happen; all if not given.")
@click.option(
    "--shrink",
    "target",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Cut what fails down to what it takes, and write that plan here.",
)
@click.option(
    "--trace", type=click.Path(dir_okay=False, path_type=Path), help="Write every step of one run here."
)
def simulate(
    seed: int | None,
    seeds: str | None,
    plan: Path | None,
    jobs: int,
    faults: str | None,
    target: Path | None,
    trace: Path | None,
) -> None:
    """Play whole nodes on a virtual clock under faults drawn from seeds.

    Exit status 1 if a rule was broken or an oracle found something; each such seed is printed with the
    command that plays it again.
    """
    from . import simulate as runs

    try:
        selection = runs.RunSelection.parse(seed, seeds, plan, faults)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    if (target is not None or trace is not None) and selection.has_many:
        raise click.UsageError(f"--shrink and --trace take one --seed or --plan, not {len(selection)} seeds")
    console = Console()

    def write_line(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    if target is not None:
        sys.exit(runs.shrink_run(selection, target, write_line))
    if trace is not None:
        sys.exit(runs.trace_run(selection, trace, write_line))
    with Progress(console=console) as bar:
        job = bar.add_task("seeds", total=len(selection))
        exit_status = runs.play_all(selection, jobs, write_line, lambda: bar.advance(job))
    sys.exit(exit_status)
