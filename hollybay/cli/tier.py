"""Cluster runs for `hollybay tier`: play a plan with many processes, and print the report."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from hollybay.cluster.harness import HarnessError, Outcome, Tick, run_plan
from hollybay.cluster.plan import Plan, compile_plan, machine_limit_exceeded
from hollybay.cluster.report import Report, plot, report_of, tables
from hollybay.routing.problems import OperatorError
from hollybay.units import SECOND

__all__ = ["RunRequest", "run"]

EXIT_INVALID_PLAN = 2
EXIT_UNTRUSTED = 3
MAX_FAULTS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A cluster run as requested on the command line.

    Attributes
    ----------
    file
        Path of the plan.
    seed
        Seed of all random choices.
    nodes, load
        Number of nodes and load as a share of all capacity; 0 for the values of the plan.
    json_path, plot_path
        Where to write the figures and the plot; None to write none.
    keep
        A new folder for logs and journals; None to discard them.
    defect
        The defect to plant in every node, or "".
    """

    file: Path
    seed: int
    nodes: int
    load: float
    json_path: Path | None = None
    plot_path: Path | None = None
    keep: Path | None = None
    defect: str = ""


class _InvalidPlanError(Exception):
    """The plan cannot be played; `lines` gives the reasons."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def run(request: RunRequest) -> int:
    """Play a plan and print its report.

    Returns
    -------
    int
        Exit status: 0 all rules and bounds held, 1 one was broken, 2 invalid plan, 3 untrustworthy run.
    """
    console = Console()
    try:
        plan = _read_plan(request)
    except _InvalidPlanError as error:
        _write_lines(console, error.lines)
        return EXIT_INVALID_PLAN
    try:
        outcome = _play(plan, request, console)
    except HarnessError:
        return EXIT_UNTRUSTED
    report = report_of(outcome)
    if request.json_path is not None:
        request.json_path.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    _print_report(console, report)
    if request.plot_path is not None and report.trusted:
        plot(report, request.plot_path)
    return report.exit_status


def _read_plan(request: RunRequest) -> Plan:
    """Read and compile the plan. _InvalidPlanError: it is invalid, or too large for this machine."""
    file = request.file
    try:
        plan = compile_plan(file.read_bytes(), str(file), request.seed, request.nodes, request.load)
    except OSError as error:
        raise _InvalidPlanError([str(error)]) from None
    except OperatorError as error:
        raise _InvalidPlanError([f"{file}: {problem}" for problem in error.problems]) from None
    reason = machine_limit_exceeded(plan)
    if reason is not None:
        raise _InvalidPlanError([f"{file}: [run]: {reason}"])
    return plan


def _play(plan: Plan, request: RunRequest, console: Console) -> Outcome:
    """Play a plan with a progress bar. RigFailed: the rig could not carry the run; its reason was printed."""
    bar = Progress(
        TextColumn("[bold]{task.description:<32}"),
        BarColumn(),
        TextColumn("{task.fields[up]} nodes"),
        console=console,
    )

    def show(tick: Tick) -> None:
        elapsed = min(tick.elapsed, tick.seconds)
        bar.update(job, completed=elapsed, description=tick.phase, up=tick.nodes_up)

    with bar:
        job = bar.add_task("starting", total=plan.run.seconds / SECOND, up=0)
        try:
            return asyncio.run(run_plan(plan, show, request.defect, request.keep))
        except HarnessError as error:
            _write_lines(console, [f"run not trustworthy: {error}"])
            raise


def _write_lines(console: Console, lines: list[str]) -> None:
    """Write lines verbatim: no markup, no highlighting, no wrapping."""
    for line in lines:
        console.print(line, markup=False, highlight=False, soft_wrap=True)


def _print_report(console: Console, report: Report) -> None:
    """Print the tables and figures of a run, or why the run is not trustworthy."""
    if not report.trusted:
        _write_lines(console, [f"run not trustworthy: {reason}" for reason in report.reasons])
        return
    for table in tables(report):
        console.print(table)
    _write_lines(console, [*_summary_lines(report), *_finding_lines(report)])


def _summary_lines(report: Report) -> Iterator[str]:
    """Resources that the run used, broken rules, excused requests, and calls to the admin endpoints."""
    yield (
        f"{report.nodes} nodes up in {report.up_seconds:.1f} s; a node takes {100 * report.node_cpu:.2f} % "
        f"of a core and {report.node_memory_mb:.1f} MiB of its own, the rig {report.rig_cpu:.2f} cores"
    )
    yield "rules: " + ", ".join(f"{rule} {count}" for rule, count in report.rules.items())
    if report.excused:
        yield "excused: " + ", ".join(f"{why} {count}" for why, count in sorted(report.excused.items()))
    if report.door:
        calls = ", ".join(f"{status} {count}" for status, count in report.door.items())
        yield f"admin calls by status (0: no response): {calls}"


def _finding_lines(report: Report) -> Iterator[str]:
    """Broken rules, changes of the policy, and bounds that were exceeded."""
    yield from report.faults[:MAX_FAULTS_SHOWN]
    for code, name, text, seconds in report.changes:
        yield f"change {name or '(none)'}: {code} after {seconds:.2f} s: {text}"
    if report.under:
        policies = ", ".join(f"{names}: {count}" for names, count in report.under.items())
        yield f"requests by policy in force when they began: {policies}"
    for fault in report.torn[:MAX_FAULTS_SHOWN]:
        yield f"policy: {fault}"
    for bound in report.broken:
        yield f"broken: {bound}"
