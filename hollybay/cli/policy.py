"""`hollybay policy`: change the policy of all nodes at once, and see how far that is."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Callable, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from hollybay.consensus.change_tracker import (
    ChangeRequest,
    ChangeTracker,
    ClusterView,
    InvalidInputError,
    Verdict,
)
from hollybay.consensus.requests import UnreachableError

__all__ = ["policy"]

CALL_LIMIT = 2.0  # seconds
TEXTS = {0: "in force everywhere", 1: "nowhere", 2: "bad input", 3: "not known yet"}


def _doors(doors: Iterable[str]) -> list[str]:
    found = [*doors, *os.environ.get("HOLLYBAY_DOORS", "").replace(",", " ").split()]
    if not found:
        raise click.UsageError("no --door, and HOLLYBAY_DOORS is not set: where is any node called?")
    for door in found:
        host, sep, port = door.rpartition(":")
        if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise click.BadParameter(f"{door!r} is no HOST:PORT", param_hint="--door")
    return found


async def _call(door: str, path: str, body: bytes | None) -> bytes:
    from hollybay.proxy.consensus_member import call

    return await call(door, path, body, CALL_LIMIT)


def _follow(doors: Iterable[str], show: Callable[[ClusterView], None] = lambda known: None) -> ChangeTracker:
    return ChangeTracker(_call, _doors(doors), show)


_DOOR = click.option(
    "--door",
    "doors",
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


class _Shown:
    """Progress, a line for each thing that is new."""

    def __init__(self, quiet: bool) -> None:
        self.quiet = quiet
        self.last = ""

    def __call__(self, known: ClusterView) -> None:
        latest = known.latest
        if self.quiet or latest is None:
            return
        stage = f"epoch {latest['epoch']} {latest['stage'].lower()}: {latest['policy']}"
        if latest["new"]:
            stage += f", then {latest['new']}"
        waits = {
            one["name"]: one
            for keeper in known.keepers.values()
            for one in [*keeper["waits"], *keeper["older"]]
        }
        lines = []
        for name, one in sorted(waits.items()):
            what = "cannot serve it" if one["no"] else "silent"
            lines.append(f"  {what}: {name}, lease ends in {one['left'] / 1e9:.0f} s")
        members = [member for keeper in known.keepers.values() for member in keeper["members"]]
        behind = sorted({m["name"] for m in members if m["epoch"] < latest["epoch"] and m["left_s"]})
        if behind:
            some = ", ".join(behind[:6]) + (", ..." if len(behind) > 6 else "")
            lines.append(f"  not there yet: {len(behind)} ({some})")
        text = "\n".join([stage, *lines])
        if text != self.last:
            self.last = text
            click.echo(text, err=True)


def _end(verdict: Verdict, as_json: bool) -> None:
    """Say what became of a change, and end with its status."""
    if as_json:
        click.echo(json.dumps(asdict(verdict)))
        sys.exit(verdict.code)
    name = verdict.change or "the change"
    click.echo(f"{name}: {TEXTS[verdict.code]}: {verdict.text}")
    for node, reasons in sorted(verdict.reasons.items()):
        for reason in reasons:
            click.echo(f"  {node}: {reason}")
    if verdict.code == 3:
        click.echo("  `hollybay policy status` tells how far it is, `hollybay policy drop` gives it up")
    sys.exit(verdict.code)


@policy.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@_DOOR
def found(file: str | None, doors: tuple[str, ...]) -> None:
    """Begin an accord, once, with FILE or with no routes and limits: all keepers must be there."""
    data = _read(file) if file is not None else b""

    async def work() -> str:
        follow = _follow(doors)
        await follow.look()
        why = "no keeper answers"
        for door, status in follow.known.statuses.items():
            if "keeper_waits" not in status and status.get("keeper") is None:
                continue
            try:
                told = json.loads(await follow.found(door, data))
                return f"founded: {told['policy']}, keepers {', '.join(told['keepers'])}"
            except UnreachableError as error:
                why = str(error)
        raise click.ClickException(why)

    click.echo(asyncio.run(work()))


def _read(file: str) -> bytes:
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
@_DOOR
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
    doors: tuple[str, ...],
) -> None:
    """Propose a change: FILE as the operator file, servers out or back, other keepers.

    Only what differs is changed, together with what others change meanwhile; with --parent, or other
    keepers, it is a change by itself and refused if there is another one.
    """
    if file is None and not out and not back_in and not keepers:
        raise click.UsageError("nothing to propose: no FILE, --out, --in or --keeper")
    data = _read(file) if file is not None else None
    name = author if author is not None else _user()

    async def work() -> Verdict:
        follow = _follow(doors, _Shown(as_json))
        if not parent and not keepers:
            return await _applied(follow, limit, reason, name, ChangeRequest(data, out=out, back_in=back_in))
        servers = None
        if out or back_in:
            await follow.look()
            latest = follow.known.latest
            if latest is None:
                return Verdict(3, text="no keeper answers")
            servers = sorted((set(latest["out"]) | set(out)) - set(back_in))
        return await follow.propose(data, servers, list(keepers) or None, reason, name, limit, parent)

    _end(asyncio.run(work()), as_json)


async def _applied(
    follow: ChangeTracker, limit: float, reason: str, author: str, wish: ChangeRequest
) -> Verdict:
    """Have the change made that makes the resources so, propose it and follow it."""
    try:
        drafted, change = await follow.draft(reason, author, wish)
    except InvalidInputError as error:
        return error.verdict()
    except UnreachableError as error:
        return Verdict(3, text=str(error))
    if change is None:
        return Verdict(1, text=f"says the same as {drafted.policy}, which is in force")
    return await follow.change(change, limit)


def _user() -> str:
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
@_DOOR
def change(
    file: str | None,
    delete: tuple[str, ...],
    reason: str,
    author: str | None,
    limit: float,
    as_json: bool,
    doors: tuple[str, ...],
) -> None:
    """Write or replace the routes, classes, tenants and defaults that FILE holds; the others stay."""
    if file is None and not delete:
        raise click.UsageError("nothing to change: no FILE and no --delete")
    wish = ChangeRequest(_read(file) if file is not None else None, partial=True, delete=delete)

    async def work() -> Verdict:
        follow = _follow(doors, _Shown(as_json))
        return await _applied(follow, limit, reason, author if author is not None else _user(), wish)

    _end(asyncio.run(work()), as_json)


@policy.command()
@_JSON
@_DOOR
def status(as_json: bool, doors: tuple[str, ...]) -> None:
    """What is in force, where a change is, and every node. Exit status 3 if no keeper answers."""
    follow = _follow(doors)
    known = asyncio.run(follow.look())
    latest = known.latest
    if as_json:
        click.echo(json.dumps({"statuses": known.statuses}))
        sys.exit(0 if latest is not None else 3)
    if latest is None:
        click.echo("no keeper answers" if known.statuses else "nobody answers")
        for door, one in known.statuses.items():
            serves = ", ".join(one["serves"]) or "nothing"
            click.echo(f"  {door}: {one['name']} serves {serves}; {one.get('keeper_waits', '')}")
        sys.exit(3)
    _Shown(False)(known)
    members: dict[str, dict[str, Any]] = {}
    for keeper in known.keepers.values():
        for one in keeper["members"]:
            seen = members.setdefault(one["name"], one)
            if one["heard_s"] < seen["heard_s"]:
                members[one["name"]] = one
    table = Table("node", "epoch", "lease left s", "heard s ago", "can serve", "keeper")
    for name, one in sorted(members.items()):
        twice = " (twice)" if one["twice"] else ""
        table.add_row(
            name + twice,
            str(one["epoch"]),
            f"{one['left_s']:.1f}",
            f"{one['heard_s']:.1f}",
            "yes" if one["able"] else "no",
            "yes" if one["door"] in latest["board"] else "",
        )
    Console().print(table)
    for door in latest["board"]:
        if door not in known.keepers:
            click.echo(f"keeper {door} does not answer as one")


@policy.command()
@_JSON
@_DOOR
def history(as_json: bool, doors: tuple[str, ...]) -> None:
    """All epochs that keepers remember, the newest last."""
    follow = _follow(doors)

    async def work() -> list[dict[str, Any]]:
        await follow.look()
        found: dict[int, dict[str, Any]] = {}
        for door in follow.known.keepers:
            try:
                for one in json.loads(await _call(door, "history", None)):
                    found.setdefault(one["epoch"], one)
            except (UnreachableError, ValueError):
                continue
        return [found[epoch] for epoch in sorted(found)]

    entries = asyncio.run(work())
    if as_json:
        click.echo(json.dumps(entries))
        return
    table = Table("epoch", "stage", "policy", "new", "reason", "author")
    for one in entries:
        table.add_row(
            str(one["epoch"]),
            one["stage"].lower(),
            one["policy"],
            one["new"],
            one.get("reason", ""),
            one.get("author", ""),
        )
    Console().print(table)


@policy.command()
@click.argument("one")
@click.argument("other", required=False)
@_DOOR
def diff(one: str, other: str | None, doors: tuple[str, ...]) -> None:
    """What differs between two policies, by their names; or what a FILE would change."""
    follow = _follow(doors)

    async def work() -> list[str]:
        await follow.look()
        if other is not None:
            return await follow.difference(one, other)
        drafted, _ = await follow.draft("a difference", "", ChangeRequest(_read(one)))
        return drafted.lines

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
@_DOOR
def drop(change: str | None, limit: float, as_json: bool, doors: tuple[str, ...]) -> None:
    """Give up CHANGE, or the one that is under way: exit status 1 once it is nowhere."""

    async def work() -> Verdict:
        follow = _follow(doors, _Shown(as_json))
        known = await follow.look()
        latest = known.latest
        if latest is None:
            return Verdict(3, text="no keeper answers")
        name = (
            change
            or latest["new"]
            or next((k["pending"] for k in known.keepers.values() if k["pending"]), "")
        )
        if not name:
            return Verdict(2, text="no change is under way")
        begun = [epoch for epoch, found in known.epochs.items() if found[0] == "PREPARE" and found[2] == name]
        why = await follow.drop(name)
        if why:
            return Verdict(2, name, text=why)
        return await follow.follow(name, max(begun, default=int(latest["epoch"]) + 1), limit)

    _end(asyncio.run(work()), as_json)


@policy.command()
@click.option("--reason", required=True, help="Why; it stands in the history.")
@_LIMIT
@_JSON
@_DOOR
def back(reason: str, limit: float, as_json: bool, doors: tuple[str, ...]) -> None:
    """Propose what was in force before, as a change of its own."""

    async def work() -> Verdict:
        follow = _follow(doors, _Shown(as_json))
        await follow.look()
        latest = follow.known.latest
        if latest is None:
            return Verdict(3, text="no keeper answers")
        now = await follow.policy(latest["policy"])
        if now is None or now.version < 2:
            return Verdict(2, text="nothing was in force before")
        before = await follow.policy(now.parent_name)
        if before is None:
            return Verdict(3, text="no keeper has what was in force before")
        if before.keepers == now.keepers:
            return await _applied(follow, limit, reason, _user(), ChangeRequest(like=before.name))
        return await follow.propose(
            None, None, list(before.keepers), reason, _user(), limit, like=before.name
        )

    _end(asyncio.run(work()), as_json)
