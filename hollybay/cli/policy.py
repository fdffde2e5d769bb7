"""`hollybay policy`: change the policy of all nodes at once, and see how far that is."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NoReturn

import click
from rich.console import Console

from hollybay.consensus.change_tracker import ChangeRequest, ChangeTracker
from hollybay.consensus.cluster_view import ClusterView
from hollybay.consensus.requests import UnreachableError
from hollybay.consensus.verdict import ExitStatus, InvalidInputError, Verdict

from .policy_output import (
    Progress,
    history_table,
    lines_without_voters,
    member_table,
    verdict_document,
    verdict_lines,
)

__all__ = ["policy"]

CALL_LIMIT_S = 2.0
ADDRESSES_VARIABLE = "HOLLYBAY_DOORS"
MAX_PORT = 65535


def _all_addresses(addresses: Iterable[str]) -> list[str]:
    """The addresses of the options and of the environment. click.UsageError: none, or a malformed one."""
    given = [*addresses, *os.environ.get(ADDRESSES_VARIABLE, "").replace(",", " ").split()]
    if not given:
        raise click.UsageError("no --door, and HOLLYBAY_DOORS is not set: where is any node called?")
    for address in given:
        host, separator, port = address.rpartition(":")
        if not separator or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise click.BadParameter(f"{address!r} is no HOST:PORT", param_hint="--door")
    return given


async def _call(address: str, path: str, body: bytes | None) -> bytes:
    from hollybay.proxy.admin_client import call_policy

    return await call_policy(address, path, body, CALL_LIMIT_S)


def _tracker(
    addresses: Iterable[str], on_update: Callable[[ClusterView], None] = lambda _view: None
) -> ChangeTracker:
    return ChangeTracker(_call, _all_addresses(addresses), on_update)


_ADDRESSES = click.option(
    "--door",
    "addresses",
    multiple=True,
    metavar="HOST:PORT",
    help="A node's door for operators (HOLLYBAY_DOORS).",
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Say it as JSON.")
_LIMIT = click.option(
    "--limit",
    type=click.FloatRange(0.0, 3600.0),
    default=120.0,
    show_default=True,
    help="Seconds to follow it.",
)


@click.group()
def policy() -> None:
    """The policy of all nodes: a change takes hold at every node or at none.

    Exit status: 0 in force everywhere, 1 refused or dropped (nowhere), 2 bad input, 3 not known yet.
    """


def _exit_with(verdict: Verdict, as_json: bool) -> NoReturn:
    """Print what became of a change, and exit with its status."""
    if as_json:
        click.echo(json.dumps(verdict_document(verdict)))
        sys.exit(verdict.code)
    for line in verdict_lines(verdict):
        click.echo(line)
    sys.exit(verdict.code)


def _unknown(text: str) -> Verdict:
    return Verdict(ExitStatus.UNKNOWN, text=text)


@policy.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@_ADDRESSES
def found(file: str | None, addresses: tuple[str, ...]) -> None:
    """Begin an accord, once, with FILE or with no routes and limits: all keepers must be there."""
    data = _read_file(file) if file is not None else b""

    async def work() -> str:
        tracker = _tracker(addresses)
        await tracker.refresh()
        reason = "no keeper answers"
        for address, status in tracker.view.statuses.items():
            if status.voter is None and status.voter_waits is None:
                continue
            try:
                reply = json.loads(await tracker.bootstrap(address, data))
            except UnreachableError as error:
                reason = str(error)
                continue
            return f"founded: {reply['policy']}, keepers {', '.join(reply['keepers'])}"
        raise click.ClickException(reason)

    click.echo(asyncio.run(work()))


def _read_file(file: str) -> bytes:
    try:
        return Path(file).read_bytes()
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(2)


@policy.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@click.option("--reason", required=True, help="Why; it stands in the history.")
@click.option("--author", default=None, help="Who; your user name if not given.")
@click.option("--out", multiple=True, metavar="SERVER", help="Take a server out as well.")
@click.option("--in", "back_in", multiple=True, metavar="SERVER", help="Put a server back.")
@click.option("--keeper", "keepers", multiple=True, metavar="HOST:PORT", help="All keepers from then on.")
@click.option("--parent", default="", help="The policy that it was made on; refused if another is in force.")
@_LIMIT
@_JSON
@_ADDRESSES
def propose(
    file: str | None,
    reason: str,
    author: str | None,
    out: tuple[str, ...],
    back_in: tuple[str, ...],
    keepers: tuple[str, ...],
    parent: str,
    limit: float,
    as_json: bool,
    addresses: tuple[str, ...],
) -> None:
    """Propose a change: FILE as the operator file, servers out or back, other keepers.

    Only what differs is changed, together with what others change meanwhile; with --parent, or other
    keepers, it is a change by itself and refused if there is another one.
    """
    if file is None and not out and not back_in and not keepers:
        raise click.UsageError("nothing to propose: no FILE, --out, --in or --keeper")
    data = _read_file(file) if file is not None else None
    name = author if author is not None else _user_name()

    async def work() -> Verdict:
        tracker = _tracker(addresses, Progress(as_json))
        if not parent and not keepers:
            request = ChangeRequest(data, drain=out, undrain=back_in)
            return await _build_and_submit(tracker, limit, reason, name, request)
        servers = None
        if out or back_in:
            await tracker.refresh()
            latest = tracker.view.latest
            if latest is None:
                return _unknown("no keeper answers")
            servers = sorted((set(latest.drained_servers) | set(out)) - set(back_in))
        return await tracker.propose(data, servers, list(keepers) or None, reason, name, limit, parent)

    _exit_with(asyncio.run(work()), as_json)


async def _build_and_submit(
    tracker: ChangeTracker, limit: float, reason: str, author: str, request: ChangeRequest
) -> Verdict:
    """Have a change built, submit it and wait for its outcome."""
    try:
        draft, change = await tracker.build_change(reason, author, request)
    except InvalidInputError as error:
        return error.verdict()
    except UnreachableError as error:
        return _unknown(str(error))
    if change is None:
        return Verdict(ExitStatus.NOWHERE, text=f"says the same as {draft.policy}, which is in force")
    return await tracker.submit(change, limit)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


@policy.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@click.option(
    "--delete", multiple=True, metavar="KIND/NAME", help="Delete a resource: route/halls, class/view."
)
@click.option("--reason", required=True, help="Why; it stands in the history.")
@click.option("--author", default=None, help="Who; your user name if not given.")
@_LIMIT
@_JSON
@_ADDRESSES
def change(
    file: str | None,
    delete: tuple[str, ...],
    reason: str,
    author: str | None,
    limit: float,
    as_json: bool,
    addresses: tuple[str, ...],
) -> None:
    """Write or replace the routes, classes, tenants and defaults that FILE holds; the others stay."""
    if file is None and not delete:
        raise click.UsageError("nothing to change: no FILE and no --delete")
    data = _read_file(file) if file is not None else None
    request = ChangeRequest(data, partial=True, delete=delete)

    async def work() -> Verdict:
        tracker = _tracker(addresses, Progress(as_json))
        name = author if author is not None else _user_name()
        return await _build_and_submit(tracker, limit, reason, name, request)

    _exit_with(asyncio.run(work()), as_json)


@policy.command()
@_JSON
@_ADDRESSES
def status(as_json: bool, addresses: tuple[str, ...]) -> None:
    """What is in force, where a change is, and every node. Exit status 3 if no keeper answers."""
    tracker = _tracker(addresses)
    view = asyncio.run(tracker.refresh())
    latest = view.latest
    if as_json:
        click.echo(json.dumps({"statuses": view.documents}))
        sys.exit(ExitStatus.IN_FORCE if latest is not None else ExitStatus.UNKNOWN)
    if latest is None:
        for line in lines_without_voters(view):
            click.echo(line)
        sys.exit(ExitStatus.UNKNOWN)
    Progress(False)(view)
    Console().print(member_table(view, latest))
    for address in latest.voters:
        if address not in view.voters:
            click.echo(f"keeper {address} does not answer as one")


@policy.command()
@_JSON
@_ADDRESSES
def history(as_json: bool, addresses: tuple[str, ...]) -> None:
    """All epochs that keepers remember, the newest last."""
    tracker = _tracker(addresses)

    async def work() -> list[dict[str, Any]]:
        await tracker.refresh()
        by_epoch: dict[int, dict[str, Any]] = {}
        for address in tracker.view.voters:
            try:
                for entry in json.loads(await _call(address, "history", None)):
                    by_epoch.setdefault(entry["epoch"], entry)
            except (UnreachableError, ValueError):
                continue
        return [by_epoch[epoch] for epoch in sorted(by_epoch)]

    entries = asyncio.run(work())
    if as_json:
        click.echo(json.dumps(entries))
        return
    Console().print(history_table(entries))


@policy.command()
@click.argument("one")
@click.argument("other", required=False)
@_ADDRESSES
def diff(one: str, other: str | None, addresses: tuple[str, ...]) -> None:
    """What differs between two policies, by their names; or what a FILE would change."""
    tracker = _tracker(addresses)

    async def work() -> list[str]:
        await tracker.refresh()
        if other is not None:
            return await tracker.diff(one, other)
        draft, _ = await tracker.build_change("a difference", "", ChangeRequest(_read_file(one)))
        return draft.lines

    try:
        lines = asyncio.run(work())
    except InvalidInputError as error:
        click.echo("\n".join(error.problems or [str(error)]), err=True)
        sys.exit(2)
    except UnreachableError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    for line in lines:
        click.echo(line)


@policy.command()
@click.argument("change", required=False)
@_LIMIT
@_JSON
@_ADDRESSES
def drop(change: str | None, limit: float, as_json: bool, addresses: tuple[str, ...]) -> None:
    """Give up CHANGE, or the one that is under way: exit status 1 once it is nowhere."""

    async def work() -> Verdict:
        tracker = _tracker(addresses, Progress(as_json))
        view = await tracker.refresh()
        latest = view.latest
        if latest is None:
            return _unknown("no keeper answers")
        name = change or latest.new or _pending_change(view)
        if not name:
            return Verdict(ExitStatus.BAD_INPUT, text="no change is under way")
        first_epoch = _first_epoch(view, name)
        reason = await tracker.drop(name)
        if reason:
            return Verdict(ExitStatus.BAD_INPUT, name, text=reason)
        return await tracker.track(name, latest.epoch + 1 if first_epoch is None else first_epoch, limit)

    _exit_with(asyncio.run(work()), as_json)


def _pending_change(view: ClusterView) -> str:
    """The change that a voter is about to propose, or ""."""
    return next((voter.pending for voter in view.voters.values() if voter.pending), "")


def _first_epoch(view: ClusterView, change: str) -> int | None:
    """The last epoch that a change began with; None: it has not begun, as far as is known."""
    epochs = (
        epoch for epoch, record in view.epochs.items() if record.stage == "PREPARE" and record.new == change
    )
    return max(epochs, default=None)


@policy.command()
@click.option("--reason", required=True, help="Why; it stands in the history.")
@_LIMIT
@_JSON
@_ADDRESSES
def back(reason: str, limit: float, as_json: bool, addresses: tuple[str, ...]) -> None:
    """Propose what was in force before, as a change of its own."""

    async def work() -> Verdict:
        tracker = _tracker(addresses, Progress(as_json))
        await tracker.refresh()
        latest = tracker.view.latest
        if latest is None:
            return _unknown("no keeper answers")
        current = await tracker.fetch_policy(latest.policy)
        if current is None or current.version < 2:
            return Verdict(ExitStatus.BAD_INPUT, text="nothing was in force before")
        before = await tracker.fetch_policy(current.parent_name)
        if before is None:
            return _unknown("no keeper has what was in force before")
        if before.voters == current.voters:
            request = ChangeRequest(like_policy=before.name)
            return await _build_and_submit(tracker, limit, reason, _user_name(), request)
        return await tracker.propose(
            None, None, list(before.voters), reason, _user_name(), limit, like_policy=before.name
        )

    _exit_with(asyncio.run(work()), as_json)
