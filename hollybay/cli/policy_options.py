"""Shared parts of the `hollybay policy` commands: options, addresses of nodes, output and exit status."""

from __future__ import annotations

import getpass
import json
import os
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NoReturn

import click

from hollybay.consensus.change_tracker import ChangeTracker
from hollybay.consensus.cluster_view import ClusterView
from hollybay.consensus.verdict import ExitStatus, Verdict

from .policy_output import verdict_document, verdict_lines

__all__ = [
    "ADDRESSES",
    "AUTHOR",
    "JSON",
    "LIMIT",
    "REASON",
    "call_node",
    "exit_with",
    "no_voter_answered",
    "read_file",
    "tracker",
    "unknown",
    "user_name",
]

CALL_LIMIT_S = 2.0
ADDRESSES_VARIABLE = "HOLLYBAY_DOORS"
MAX_PORT = 65535

ADDRESSES = click.option(
    "--door",
    "addresses",
    multiple=True,
    metavar="HOST:PORT",
    help="A node's door for operators (HOLLYBAY_DOORS).",
)
AUTHOR = click.option("--author", default=None, help="Who; your user name if not given.")
JSON = click.option("--json", "as_json", is_flag=True, help="Say it as JSON.")
LIMIT = click.option(
    "--limit",
    type=click.FloatRange(0.0, 3600.0),
    default=120.0,
    show_default=True,
    help="Seconds to follow it.",
)
REASON = click.option("--reason", required=True, help="Why; it stands in the history.")


def tracker(
    addresses: Iterable[str], on_update: Callable[[ClusterView], None] = lambda _view: None
) -> ChangeTracker:
    """Make a tracker of changes that calls nodes at these addresses.

    Parameters
    ----------
    addresses
        Addresses from the options; those in HOLLYBAY_DOORS are added.
    on_update
        Called with each new view of the cluster.

    Raises
    ------
    click.UsageError
        There is no address, or one is malformed.
    """
    return ChangeTracker(call_node, _all_addresses(addresses), on_update)


def _all_addresses(addresses: Iterable[str]) -> list[str]:
    """The addresses from options and environment. click.UsageError: there is none, or one is malformed."""
    given = [*addresses, *os.environ.get(ADDRESSES_VARIABLE, "").replace(",", " ").split()]
    if not given:
        raise click.UsageError("no --door, and HOLLYBAY_DOORS is not set: where is any node called?")
    for address in given:
        host, separator, port = address.rpartition(":")
        if not separator or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise click.BadParameter(f"{address!r}: expected HOST:PORT", param_hint="--door")
    return given


async def call_node(address: str, path: str, body: bytes | None) -> bytes:
    """Call the admin endpoint of a node; returns the body of its response."""
    from hollybay.proxy.admin_client import call_policy

    return await call_policy(address, path, body, CALL_LIMIT_S)


def exit_with(verdict: Verdict, as_json: bool) -> NoReturn:
    """Print the outcome of a change, and exit with its status."""
    if as_json:
        click.echo(json.dumps(verdict_document(verdict)))
        sys.exit(verdict.code)
    for line in verdict_lines(verdict):
        click.echo(line)
    sys.exit(verdict.code)


def unknown(text: str) -> Verdict:
    """The verdict on a change whose outcome is not known."""
    return Verdict(ExitStatus.UNKNOWN, text=text)


def no_voter_answered() -> Verdict:
    """The verdict on a change where no voter can be reached."""
    return unknown("no voter answered")


def read_file(file: str) -> bytes:
    """Read a file; if that fails, print the reason and exit with 2."""
    try:
        return Path(file).read_bytes()
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(ExitStatus.BAD_INPUT)


def user_name() -> str:
    """The name of the user who runs the command; "" if the system has no name for the user."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
