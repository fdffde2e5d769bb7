"""`hollybay run`: run a node in the foreground."""

from __future__ import annotations

import os
import sys

import click

__all__ = ["run"]


@click.command()
@click.option("--operator", type=click.Path(dir_okay=False), help="The operator file (HOLLYBAY_OPERATOR).")
@click.option("--config", type=click.Path(dir_okay=False), help="The node's configuration (BALANCER_CONFIG).")
def run(operator: str | None, config: str | None) -> None:
    """Run a node until SIGTERM; SIGHUP reads both files again."""
    from hollybay.proxy.__main__ import main as run_node

    if operator is not None:
        os.environ["HOLLYBAY_OPERATOR"] = operator
    if config is not None:
        os.environ["BALANCER_CONFIG"] = config
    sys.exit(run_node())
