"""The command line: run a node, check an operator file, ask which route a request takes, see a demo."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

if TYPE_CHECKING:
    from hollybay.balancing.interface import Settings
    from hollybay.routing.compiled_policy import CompiledPolicy

    from .demo import Report

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """hollybay: a reverse-proxy node that spreads requests over servers of several speeds."""


@main.command()
@click.option("--operator", type=click.Path(dir_okay=False), help="The operator file (HOLLYBAY_OPERATOR).")
@click.option("--config", type=click.Path(dir_okay=False), help="The node's configuration (BALANCER_CONFIG).")
def run(operator: str | None, config: str | None) -> None:
    """Run a node until SIGTERM; SIGHUP reads both files again."""
    from hollybay.proxy.__main__ import main as node

    if operator is not None:
        os.environ["HOLLYBAY_OPERATOR"] = operator
    if config is not None:
        os.environ["BALANCER_CONFIG"] = config
    sys.exit(node())


def _settings(config: str | None) -> Settings | None:
    """The settings of a node's configuration, where one is named."""
    from hollybay.proxy.config import ConfigError, settings_from_json

    path = config or os.environ.get("BALANCER_CONFIG")
    if not path:
        return None
    try:
        data = json.loads(Path(path).read_text())
        return settings_from_json(data.get("settings") if isinstance(data, dict) else None)
    except (OSError, ValueError, ConfigError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def _plan(file: str, settings: Settings | None) -> CompiledPolicy:
    """The compiled file; what does not hold is printed, and ends the command with 2."""
    from hollybay.routing.policy_compiler import compile_file
    from hollybay.routing.problems import OperatorError

    try:
        data = Path(file).read_bytes()
    except OSError as error:
        raise click.ClickException(str(error)) from None
    try:
        return compile_file(data, settings, file)
    except OperatorError as error:
        for problem in error.problems:
            click.echo(f"{file}: {problem}", err=True)
        many = len(error.problems)
        click.echo(f"{file}: {many} problem{'s' if many > 1 else ''}; it would not take effect", err=True)
        sys.exit(2)


_CONFIG = click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="The node's configuration, for its settings (BALANCER_CONFIG).",
)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@_CONFIG
def check(file: str, config: str | None) -> None:
    """Check an operator FILE: its form, its routes, its limits against the four rules.

    Without a configuration a class is what the file declares, and unsafe where it declares nothing. Exit
    status 2 if it does not hold.
    """
    settings = _settings(config)
    plan = _plan(file, settings)
    against = "the settings" if settings is not None else "what it declares of its classes"
    click.echo(
        f"{file}: holds against {against}: {len(plan.routes)} routes, {len(plan.class_limits)} classes"
    )


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("method")
@click.argument("path")
@click.option(
    "-H", "--header", "headers", multiple=True, metavar="NAME:VALUE", help="A header of the request."
)
@_CONFIG
def routes(file: str, method: str, path: str, headers: tuple[str, ...], config: str | None) -> None:
    """Which route of FILE takes a request, and under which limits, each with where it comes from.

    Exit status 1 if the request would be turned away.
    """
    from hollybay.routing.explain import explain_request

    given = {}
    for header in headers:
        name, sep, value = header.partition(":")
        if not sep or not name.strip():
            raise click.BadParameter(f"{header!r} is no NAME:VALUE", param_hint="-H")
        given[name.strip().lower().encode("latin-1", "replace")] = value.strip().encode("latin-1", "replace")
    found = explain_request(
        _plan(file, _settings(config)),
        method.encode("latin-1", "replace"),
        path.encode("latin-1", "replace"),
        given,
    )
    if found.rejection is not None:
        click.echo(f"turned away with {found.rejection.status}: {found.rejection.reason}")
        sys.exit(1)
    click.echo(f"route: {found.route or 'none'}")
    click.echo(f"class: {found.class_name}")
    for key, value in found.variables.items():
        click.echo(f"variable {key} = {value}")
    table = Table("limit", "value", "from")
    for line in found.limits:
        table.add_row(line.name, line.value, line.source)
    Console().print(table)


@main.command()
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
    import uvloop

    from . import demo as scene

    console = Console()
    bar = Progress(
        TextColumn("[bold]{task.description:<18}"),
        BarColumn(),
        TextColumn("{task.fields[counts]}"),
        TimeRemainingColumn(),
        console=console,
    )

    def show(at: scene.Progress) -> None:
        counts = f"served {at.served}  refused {at.refused}  failed {at.failed}  servers up {at.up}"
        bar.update(job, completed=min(at.elapsed, seconds), description=at.phase, counts=counts)

    with bar:
        job = bar.add_task("starting", total=seconds, counts="")
        report = uvloop.run(scene.play(seconds, rate, servers, seed, show))
    console.print(_class_table(report))
    console.print(_kind_table(report))
    console.print(
        f"worth in time {report.worth:.3f}, node {report.cpu_ms_a_request:.2f} ms CPU a request, "
        f"{report.node_memory_mb:.0f} MiB"
    )
    if target is not None:
        target.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    for fault in report.verdict.faults[:20]:
        console.print(f"{fault.rule}: {fault.subject}: {fault.reason}", markup=False)
    console.print(str(report.verdict), markup=False, highlight=False)
    sys.exit(0 if report.verdict else 1)


@main.command()
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
    from . import simulate as player

    try:
        choice = player.Choice.of(seed, seeds, plan, faults)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    if (target is not None or trace is not None) and choice.many:
        raise click.UsageError("--shrink and --trace go with one --seed or --plan")
    console = Console()

    def say(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    if target is not None:
        sys.exit(player.shrunk(choice, target, say))
    if trace is not None:
        sys.exit(player.traced(choice, trace, say))
    with Progress(console=console) as bar:
        job = bar.add_task("seeds", total=len(choice))
        code = player.play_all(choice, jobs, say, lambda: bar.advance(job))
    sys.exit(code)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 2000), help="In place of the plan's own number.")
@click.option("--load", type=click.FloatRange(0.01, 5.0), help="In place of the plan's own, of all capacity.")
@click.option(
    "--json", "target", type=click.Path(dir_okay=False, path_type=Path), help="Write all figures here."
)
@click.option(
    "--plot", "picture", type=click.Path(dir_okay=False, path_type=Path), help="Draw the run here, as a PNG."
)
@click.option(
    "--keep", type=click.Path(path_type=Path, exists=False), help="A new folder for logs and journals."
)
@click.option("--defect", default="", help="Plant a defect of balance in every node (tier/planted.py).")
def tier(
    file: Path,
    seed: int,
    nodes: int | None,
    load: float | None,
    target: Path | None,
    picture: Path | None,
    keep: Path | None,
    defect: str,
) -> None:
    """Play a plan: many real nodes between servers, clients and discovery, with faults between them.

    Exit status 0 if all held, 1 if a rule or a bound was broken, 2 for a bad plan, 3 if the rig was too late
    or starved for the run to say anything.
    """
    try:
        from hollybay.cluster.planted import DEFECTS

        from . import tier as tiers
    except ModuleNotFoundError as error:
        raise click.ClickException(f"needs {error.name}, see the extra `tier`") from None
    if defect and defect not in DEFECTS:
        raise click.BadParameter(f"none of {', '.join(DEFECTS)}", param_hint="--defect")
    sys.exit(tiers.run(file, seed, nodes or 0, load or 0.0, target, picture, keep, defect))


try:
    from .policy import policy as _policy
except ModuleNotFoundError as _missing:  # without the extra `accord`
    _absent = _missing.name

    @main.command("policy")
    def _policy_is_absent() -> None:
        """The policy of all nodes (needs the extra `accord`)."""
        raise click.ClickException(f"needs {_absent}, see the extra `accord`")
else:
    main.add_command(_policy)


def _class_table(report: Report) -> Table:
    table = Table(title="Requests")
    for column in ("class", "asked", "served", "refused", "failed", "p50 ms", "p99 ms", "worth in time"):
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
            f"{row.worth:.3f}",
        )
    return table


def _kind_table(report: Report) -> Table:
    table = Table(title="Servers")
    for column in ("speed", "servers", "share of work", "share of capacity", "answers"):
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


if __name__ == "__main__":
    main()
