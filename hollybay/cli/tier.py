"""`hollybay tier`: play a plan of many processes, and say what came of it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from hollybay.cluster.plan import Plan, compile_plan, refuse_too_large
from hollybay.cluster.report import Report, plot, report_of, tables
from hollybay.cluster.rig import RigFailed, Tick, play
from hollybay.routing.problems import OperatorError

__all__ = ["run"]


def _read(file: Path, seed: int, nodes: int, load: float, say: Callable[[str], None]) -> Plan | None:
    """The plan, or None after all that does not hold has been said."""
    try:
        plan = compile_plan(file.read_bytes(), str(file), seed, nodes, load)
    except OSError as error:
        say(str(error))
        return None
    except OperatorError as error:
        for problem in error.problems:
            say(f"{file}: {problem}")
        return None
    reason = refuse_too_large(plan)
    if reason is not None:
        say(f"{file}: [run]: {reason}")
        return None
    return plan


def run(
    file: Path,
    seed: int,
    nodes: int,
    load: float,
    target: Path | None,
    picture: Path | None,
    keep: Path | None,
    defect: str,
) -> int:
    """Play it; the exit status: 0 held, 1 a rule or bound broken, 2 a bad plan, 3 not to be trusted."""
    console = Console()

    def say(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    plan = _read(file, seed, nodes, load, say)
    if plan is None:
        return 2
    bar = Progress(
        TextColumn("[bold]{task.description:<32}"),
        BarColumn(),
        TextColumn("{task.fields[up]} nodes"),
        console=console,
    )
    with bar:
        job = bar.add_task("starting", total=plan.run.seconds / 1e9, up=0)

        def show(tick: Tick) -> None:
            bar.update(
                job, completed=min(tick.elapsed, tick.seconds), description=tick.phase, up=tick.nodes_up
            )

        try:
            outcome = asyncio.run(play(plan, show, defect, keep))
        except RigFailed as error:
            say(f"not to be trusted: {error}")
            return 3
    report = report_of(outcome)
    if target is not None:
        target.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    _tell(report, console, say)
    if picture is not None and report.trusted:
        plot(report, picture)
    return report.exit_status


def _tell(report: Report, console: Console, say: Callable[[str], None]) -> None:
    if not report.trusted:
        for reason in report.reasons:
            say(f"not to be trusted: {reason}")
        return
    for table in tables(report):
        console.print(table)
    say(
        f"{report.nodes} nodes up in {report.up_seconds:.1f} s; a node takes {100 * report.node_cpu:.2f} % "
        f"of a core and {report.node_memory_mb:.1f} MiB of its own, the rig {report.rig_cpu:.2f} cores"
    )
    say("rules: " + ", ".join(f"{rule} {count}" for rule, count in report.rules.items()))
    if report.excused:
        say("excused: " + ", ".join(f"{why} {count}" for why, count in sorted(report.excused.items())))
    if report.door:
        calls = ", ".join(f"{status} {count}" for status, count in report.door.items())
        say(f"operators' calls by status (0: none): {calls}")
    for fault in report.faults[:20]:
        say(fault)
    for code, name, text, seconds in report.changes:
        say(f"change {name or '(none)'}: {code} after {seconds:.2f} s: {text}")
    if report.under:
        say("requests began under " + ", ".join(f"{names}: {count}" for names, count in report.under.items()))
    for fault in report.torn[:20]:
        say(f"policy: {fault}")
    for bound in report.broken:
        say(f"broken: {bound}")
