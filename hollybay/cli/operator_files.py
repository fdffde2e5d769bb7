"""`hollybay check` and `hollybay routes`: check an operator file, and explain the route of a request."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from hollybay.balancing.interface import Settings
    from hollybay.routing.compiled_policy import CompiledPolicy
    from hollybay.routing.explain import Explanation

__all__ = ["check", "routes"]

EXIT_REJECTED = 1
EXIT_INVALID_FILE = 2

_CONFIG = click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="The node's configuration, for its settings (BALANCER_CONFIG).",
)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@_CONFIG
def check(file: str, config: str | None) -> None:
    """Check an operator FILE: its form, its routes, its limits against the four rules.

    Without a configuration a class is what the file declares, and unsafe where it declares nothing. Exit
    status 2 if it does not hold.
    """
    settings = _read_settings(config)
    policy = _compile(file, settings)
    against = "the settings" if settings is not None else "what it declares of its classes"
    click.echo(
        f"{file}: holds against {against}: {len(policy.routes)} routes, {len(policy.class_limits)} classes"
    )


@click.command()
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

    parsed_headers = dict(_parse_header(header) for header in headers)
    policy = _compile(file, _read_settings(config))
    _print_explanation(explain_request(policy, _encode(method), _encode(path), parsed_headers))


def _read_settings(config: str | None) -> Settings | None:
    """Read the settings of a node's configuration.

    Parameters
    ----------
    config
        Path of the configuration; None: the path in BALANCER_CONFIG.

    Returns
    -------
    Settings or None
        None if neither names a configuration.

    Raises
    ------
    click.ClickException
        The file cannot be read, or its settings are invalid.
    """
    from hollybay.proxy.config import ConfigError, settings_from_json

    path = config or os.environ.get("BALANCER_CONFIG")
    if not path:
        return None
    try:
        data = json.loads(Path(path).read_text())
        return settings_from_json(data.get("settings") if isinstance(data, dict) else None)
    except (OSError, ValueError, ConfigError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def _compile(file: str, settings: Settings | None) -> CompiledPolicy:
    """Compile an operator file; if it has problems, print them and exit with 2."""
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
        count = len(error.problems)
        click.echo(f"{file}: {count} problem{'s' if count > 1 else ''}; it would not take effect", err=True)
        sys.exit(EXIT_INVALID_FILE)


def _encode(text: str) -> bytes:
    """An argument as bytes, encoded as in the head of a request."""
    return text.encode("latin-1", "replace")


def _parse_header(header: str) -> tuple[bytes, bytes]:
    """Parse NAME:VALUE of an option into the name in lower case and the value."""
    name, separator, value = header.partition(":")
    if not separator or not name.strip():
        raise click.BadParameter(f"{header!r} is no NAME:VALUE", param_hint="-H")
    return _encode(name.strip().lower()), _encode(value.strip())


def _print_explanation(explanation: Explanation) -> None:
    """Print the route and the limits of a request; exit with 1 if it would be rejected."""
    rejection = explanation.rejection
    if rejection is not None:
        click.echo(f"turned away with {rejection.status}: {rejection.reason}")
        sys.exit(EXIT_REJECTED)
    click.echo(f"route: {explanation.route or 'none'}")
    click.echo(f"class: {explanation.class_name}")
    for key, value in explanation.variables.items():
        click.echo(f"variable {key} = {value}")
    table = Table("limit", "value", "from")
    for limit in explanation.limits:
        table.add_row(limit.name, limit.value, limit.source)
    Console().print(table)
