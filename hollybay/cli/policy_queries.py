"""The read-only commands of `hollybay policy`: `status`, `history` and `diff`."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import click
from rich.console import Console

from hollybay.consensus.change_tracker import ChangeRequest, ChangeTracker
from hollybay.consensus.requests import CallFailedError
from hollybay.consensus.verdict import ExitStatus, InvalidInputError

from .policy_options import ADDRESSES, JSON, call_node, read_file, tracker
from .policy_output import Progress, history_table, lines_without_voters, member_table

__all__ = ["diff", "history", "status"]


@click.command()
@JSON
@ADDRESSES
def status(as_json: bool, addresses: tuple[str, ...]) -> None:
    """What is in force, where a change is, and every node. Exit status 3 if no keeper answers."""
    view = asyncio.run(tracker(addresses).refresh())
    latest = view.latest
    if as_json:
        click.echo(json.dumps({"statuses": view.documents}))
        sys.exit(ExitStatus.IN_FORCE if latest is not None else ExitStatus.UNKNOWN)
    if latest is None:
        for line in lines_without_voters(view):
            click.echo(line)
        sys.exit(ExitStatus.UNKNOWN)
    Progress(is_quiet=False)(view)
    Console().print(member_table(view, latest))
    for address in latest.voters:
        if address not in view.voters:
            click.echo(f"{address} did not answer as a voter")


@click.command()
@JSON
@ADDRESSES
def history(as_json: bool, addresses: tuple[str, ...]) -> None:
    """All epochs that keepers remember, the newest last."""
    entries = asyncio.run(_fetch_history(tracker(addresses)))
    if as_json:
        click.echo(json.dumps(entries))
        return
    Console().print(history_table(entries))


async def _fetch_history(cluster: ChangeTracker) -> list[dict[str, Any]]:
    """The history of all voters as JSON objects, one for each epoch, the oldest first."""
    await cluster.refresh()
    by_epoch: dict[int, dict[str, Any]] = {}
    for address in cluster.view.voters:
        try:
            for entry in json.loads(await call_node(address, "history", None)):
                by_epoch.setdefault(entry["epoch"], entry)
        except (CallFailedError, ValueError):
            continue
    return [by_epoch[epoch] for epoch in sorted(by_epoch)]


@click.command()
@click.argument("one")
@click.argument("other", required=False)
@ADDRESSES
def diff(one: str, other: str | None, addresses: tuple[str, ...]) -> None:
    """What differs between two policies, by their names; or what a FILE would change."""
    try:
        lines = asyncio.run(_fetch_difference(tracker(addresses), one, other))
    except InvalidInputError as error:
        click.echo("\n".join(error.problems or [str(error)]), err=True)
        sys.exit(ExitStatus.BAD_INPUT)
    except CallFailedError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitStatus.BAD_INPUT)
    for line in lines:
        click.echo(line)


async def _fetch_difference(cluster: ChangeTracker, one: str, other: str | None) -> list[str]:
    """The difference between two policies, or between the one in force and a file, as lines."""
    await cluster.refresh()
    if other is not None:
        return await cluster.diff(one, other)
    draft, _ = await cluster.build_change("a difference", "", ChangeRequest(read_file(one)))
    return draft.lines
