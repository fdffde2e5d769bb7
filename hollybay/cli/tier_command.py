"""`hollybay tier`: play a cluster run."""

from __future__ import annotations

import sys
from pathlib import Path

import click

__all__ = ["tier"]


@click.command()
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

        from . import tier as cluster_run
    except ModuleNotFoundError as error:
        raise click.ClickException(f"needs {error.name}, see the extra `tier`") from None
    if defect and defect not in DEFECTS:
        raise click.BadParameter(f"{defect!r}: expected one of {', '.join(DEFECTS)}", param_hint="--defect")
    request = cluster_run.RunRequest(
        file, seed, nodes or 0, load or 0.0, json_path=target, plot_path=picture, keep=keep, defect=defect
    )
    sys.exit(cluster_run.run(request))
