"""`hollybay demo`: run the demo with a progress bar, and print its report."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

if TYPE_CHECKING:
    from . import demo as demo_run
    from .demo_report import Report

__all__ = ["demo"]

MAX_VIOLATIONS_SHOWN = 20


@click.command()
@click.option("--seconds", type=click.FloatRange(2.0, 3600.0), default=16.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1.0, 2000.0), default=320.0, show_default=True, help="Requests/s."
)
@click.option("--servers", type=click.IntRange(5, 400), default=40, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--json", "target", type=click.Path(dir_okay=False, path_type=Path), help="Write all figures here."
)
def demo(seconds: float, rate: float, servers: int, seed: int, target: Path | None) -> None:
    """The real node between stand-in servers; a fifth of them dies half way and comes back cold.

    Exit status 1 if one of the four rules was broken.
    """
    console = Console()
    report = _play(console, seconds, rate, servers, seed)
    _print_figures(console, report)
    if target is not None:
        target.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    _print_verdict(console, report)
    sys.exit(0 if report.verdict else 1)


def _play(console: Console, seconds: float, rate: float, servers: int, seed: int) -> Report:
    """Run the demo with a progress bar."""
    import uvloop

    from . import demo as demo_run

    bar = Progress(
        TextColumn("[bold]{task.description:<18}"),
        BarColumn(),
        TextColumn("{task.fields[counts]}"),
        TimeRemainingColumn(),
        console=console,
    )

    def show(progress: demo_run.Progress) -> None:
        elapsed = min(progress.elapsed, seconds)
        bar.update(job, completed=elapsed, description=progress.phase, counts=_counts(progress))

    with bar:
        job = bar.add_task("starting", total=seconds, counts="")
        return uvloop.run(demo_run.play(seconds, rate, servers, seed, show))


def _counts(progress: demo_run.Progress) -> str:
    """The counts that are shown next to the progress bar."""
    return (
        f"served {progress.served}  refused {progress.refused}  failed {progress.failed}  "
        f"servers up {progress.up}"
    )


def _print_figures(console: Console, report: Report) -> None:
    console.print(_class_table(report))
    console.print(_kind_table(report))
    console.print(
        f"on-time weight {report.on_time_weight:.3f}, node {report.cpu_ms_a_request:.2f} ms CPU per request, "
        f"{report.node_memory_mb:.0f} MiB"
    )


def _print_verdict(console: Console, report: Report) -> None:
    for violation in report.verdict.violations[:MAX_VIOLATIONS_SHOWN]:
        console.print(f"{violation.rule}: {violation.subject}: {violation.reason}", markup=False)
    console.print(str(report.verdict), markup=False, highlight=False)


def _class_table(report: Report) -> Table:
    """Outcomes and latencies of the requests, a row for each class."""
    table = Table(title="Requests")
    for column in ("class", "asked", "served", "refused", "failed", "p50 ms", "p99 ms", "on time"):
        table.add_column(column, justify="left" if column == "class" else "right")
    for row in report.classes:
        table.add_row(
            row.name,
            str(row.asked),
            str(row.served),
            str(row.refused),
            str(row.failed),
            f"{row.p50_ms:.0f}",
            f"{row.p99_ms:.0f}",
            f"{row.on_time_share:.3f}",
        )
    return table


def _kind_table(report: Report) -> Table:
    """Work and capacity of the servers, a row for each kind."""
    table = Table(title="Servers")
    for column in ("speed", "servers", "share of work", "share of capacity", "responses"):
        table.add_column(column, justify="left" if column == "speed" else "right")
    for row in report.kinds:
        table.add_row(
            row.name,
            str(row.servers),
            f"{100 * row.work_share:.0f} %",
            f"{100 * row.capacity_share:.0f} %",
            str(row.answers),
        )
    return table
