"""The commands of `hollybay policy` that change the policy: found, propose, change, drop and back."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import click

from hollybay.consensus.change_tracker import ChangeRequest, ChangeTracker, PolicyProposal
from hollybay.consensus.cluster_view import ClusterView
from hollybay.consensus.requests import CallFailedError
from hollybay.consensus.verdict import ExitStatus, InvalidInputError, Verdict

from .policy_options import (
    ADDRESSES,
    AUTHOR,
    JSON,
    LIMIT,
    REASON,
    exit_with,
    no_voter_answered,
    read_file,
    tracker,
    unknown,
    user_name,
)
from .policy_output import Progress

__all__ = ["back", "change", "drop", "found", "propose"]

# The policy of version 1 has no parent.
FIRST_VERSION_WITH_PARENT = 2


@dataclass(frozen=True, slots=True)
class _Origin:
    """The reason and the author of a change, and how long (s) the change is tracked."""

    reason: str
    author: str
    limit: float


@click.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@ADDRESSES
def found(file: str | None, addresses: tuple[str, ...]) -> None:
    """Begin an accord, once, with FILE or with no routes and limits: all keepers must be there."""
    data = read_file(file) if file is not None else b""
    click.echo(asyncio.run(_bootstrap(tracker(addresses), data)))


async def _bootstrap(cluster: ChangeTracker, data: bytes) -> str:
    """Bootstrap the cluster at the first voter that accepts. click.ClickException: no voter accepted."""
    await cluster.refresh()
    reason = "no voter answered"
    for address, node in cluster.view.statuses.items():
        if node.voter is None and node.voter_waits is None:
            continue
        try:
            reply = json.loads(await cluster.bootstrap(address, data))
        except CallFailedError as error:
            reason = str(error)
            continue
        return f"founded: policy {reply['policy']}, voters {', '.join(reply['keepers'])}"
    raise click.ClickException(reason)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@REASON
@AUTHOR
@click.option("--out", multiple=True, metavar="SERVER", help="Take a server out as well.")
@click.option("--in", "back_in", multiple=True, metavar="SERVER", help="Put a server back.")
@click.option("--keeper", "keepers", multiple=True, metavar="HOST:PORT", help="All keepers from then on.")
@click.option("--parent", default="", help="The policy that it was made on; refused if another is in force.")
@LIMIT
@JSON
@ADDRESSES
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
    request = ChangeRequest(read_file(file) if file is not None else None, drain=out, undrain=back_in)
    origin = _Origin(reason, author if author is not None else user_name(), limit)

    async def submit() -> Verdict:
        cluster = tracker(addresses, Progress(as_json))
        if parent or keepers:
            return await _propose_alone(cluster, request, list(keepers) or None, parent, origin)
        return await _build_and_submit(cluster, request, origin)

    exit_with(asyncio.run(submit()), as_json)


async def _propose_alone(
    cluster: ChangeTracker, request: ChangeRequest, voters: list[str] | None, parent: str, origin: _Origin
) -> Verdict:
    """Propose a change that is not batched with others, and track it.

    Parameters
    ----------
    cluster
        Proposes and tracks the change.
    request
        The operator file, and the servers to drain or to undrain.
    voters
        The new set of voters; None: no change.
    parent
        The policy that the change is based on; "": the one in force.
    origin
        The reason, the author, and how long the change is tracked.
    """
    drained = None
    if request.drain or request.undrain:
        await cluster.refresh()
        latest = cluster.view.latest
        if latest is None:
            return no_voter_answered()
        drained = sorted((set(latest.drained_servers) | set(request.drain)) - set(request.undrain))
    proposal = PolicyProposal(origin.reason, origin.author, request.file, drained, voters, parent)
    return await cluster.propose(proposal, origin.limit)


async def _build_and_submit(cluster: ChangeTracker, request: ChangeRequest, origin: _Origin) -> Verdict:
    """Have a voter build a change, submit it and wait for its outcome."""
    try:
        draft, built = await cluster.build_change(origin.reason, origin.author, request)
    except InvalidInputError as error:
        return error.verdict()
    except CallFailedError as error:
        return unknown(str(error))
    if built is None:
        return Verdict(ExitStatus.NOT_IN_FORCE, text=f"says the same as {draft.policy}, which is in force")
    return await cluster.submit(built, origin.limit)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@click.option(
    "--delete", multiple=True, metavar="KIND/NAME", help="Delete a resource: route/halls, class/view."
)
@REASON
@AUTHOR
@LIMIT
@JSON
@ADDRESSES
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
    data = read_file(file) if file is not None else None
    request = ChangeRequest(data, partial=True, delete=delete)

    async def submit() -> Verdict:
        cluster = tracker(addresses, Progress(as_json))
        origin = _Origin(reason, author if author is not None else user_name(), limit)
        return await _build_and_submit(cluster, request, origin)

    exit_with(asyncio.run(submit()), as_json)


@click.command()
@click.argument("change", required=False)
@LIMIT
@JSON
@ADDRESSES
def drop(change: str | None, limit: float, as_json: bool, addresses: tuple[str, ...]) -> None:
    """Give up CHANGE, or the one that is under way: exit status 1 once it is nowhere."""

    async def submit() -> Verdict:
        return await _drop(tracker(addresses, Progress(as_json)), change, limit)

    exit_with(asyncio.run(submit()), as_json)


async def _drop(cluster: ChangeTracker, change_name: str | None, limit: float) -> Verdict:
    """Drop a change, or the one under way, and track it for up to limit seconds."""
    view = await cluster.refresh()
    latest = view.latest
    if latest is None:
        return no_voter_answered()
    name = change_name or latest.new or _pending_change(view)
    if not name:
        return Verdict(ExitStatus.BAD_INPUT, text="no change is under way")
    first_epoch = _first_epoch(view, name)
    reason = await cluster.drop(name)
    if reason:
        return Verdict(ExitStatus.BAD_INPUT, name, text=reason)
    return await cluster.track(name, latest.epoch + 1 if first_epoch is None else first_epoch, limit)


def _pending_change(view: ClusterView) -> str:
    """The change that a voter is about to propose, or ""."""
    return next((voter.pending for voter in view.voters.values() if voter.pending), "")


def _first_epoch(view: ClusterView, change_name: str) -> int | None:
    """The latest known epoch in which a change began; None if there is none."""
    epochs = (
        epoch
        for epoch, record in view.epochs.items()
        if record.stage == "PREPARE" and record.new == change_name
    )
    return max(epochs, default=None)


@click.command()
@REASON
@LIMIT
@JSON
@ADDRESSES
def back(reason: str, limit: float, as_json: bool, addresses: tuple[str, ...]) -> None:
    """Propose what was in force before, as a change of its own."""

    async def submit() -> Verdict:
        return await _roll_back(tracker(addresses, Progress(as_json)), reason, limit)

    exit_with(asyncio.run(submit()), as_json)


async def _roll_back(cluster: ChangeTracker, reason: str, limit: float) -> Verdict:
    """Propose the policy before the one in force, and track the change for up to limit seconds."""
    await cluster.refresh()
    latest = cluster.view.latest
    if latest is None:
        return no_voter_answered()
    current = await cluster.fetch_policy(latest.policy)
    if current is None or current.version < FIRST_VERSION_WITH_PARENT:
        return Verdict(ExitStatus.BAD_INPUT, text="there is no earlier policy")
    before = await cluster.fetch_policy(current.parent_name)
    if before is None:
        return unknown(f"no voter has the earlier policy {current.parent_name}")
    origin = _Origin(reason, user_name(), limit)
    if before.voters == current.voters:
        return await _build_and_submit(cluster, ChangeRequest(like_policy=before.name), origin)
    proposal = PolicyProposal(reason, origin.author, voters=list(before.voters), like_policy=before.name)
    return await cluster.propose(proposal, limit)
