"""Output of `hollybay policy` for people: progress, verdicts and tables."""

from __future__ import annotations

from typing import Any

import click
from rich.table import Table

from hollybay.consensus.cluster_view import ClusterView, MemberStatus, OlderLease, VoterStatus
from hollybay.consensus.verdict import ExitStatus, Verdict
from hollybay.units import SECOND

__all__ = [
    "Progress",
    "history_table",
    "lines_without_voters",
    "member_table",
    "verdict_document",
    "verdict_lines",
]

MAX_NAMES_SHOWN = 6
TEXTS = {
    ExitStatus.IN_FORCE: "in force everywhere",
    ExitStatus.NOT_IN_FORCE: "nowhere",
    ExitStatus.BAD_INPUT: "bad input",
    ExitStatus.UNKNOWN: "not known yet",
}


class Progress:
    """Prints the progress of a change on standard error, whenever it differs from what was printed last."""

    def __init__(self, is_quiet: bool) -> None:
        self.is_quiet = is_quiet
        self.last_text = ""

    def __call__(self, view: ClusterView) -> None:
        """Print where the latest change stands, unless that was printed last."""
        latest = view.latest
        if self.is_quiet or latest is None:
            return
        text = "\n".join([_stage_line(latest), *_lease_lines(view), *_lagging_lines(view, latest)])
        if text != self.last_text:
            self.last_text = text
            click.echo(text, err=True)


def _stage_line(latest: VoterStatus) -> str:
    """The latest epoch: its stage and its policies."""
    line = f"epoch {latest.epoch} {latest.stage.lower()}: {latest.policy}"
    return f"{line}, then {latest.new}" if latest.new else line


def _lease_lines(view: ClusterView) -> list[str]:
    """The leases that a change waits for, by node."""
    leases: dict[str, OlderLease] = {}
    for voter in view.voters.values():
        for lease in (*voter.blocking_leases, *voter.older_leases):
            leases[lease.name] = lease
    lines = []
    for name, lease in sorted(leases.items(), key=lambda item: item[0]):
        state = "cannot serve it" if lease.cannot_serve else "silent"
        lines.append(f"  {state}: {name}, lease ends in {lease.left_ns / SECOND:.0f} s")
    return lines


def _lagging_lines(view: ClusterView, latest: VoterStatus) -> list[str]:
    """The nodes that serve under an earlier epoch."""
    members = [member for voter in view.voters.values() for member in voter.members]
    lagging = sorted({member.name for member in members if member.epoch < latest.epoch and member.left_s})
    if not lagging:
        return []
    names = ", ".join(lagging[:MAX_NAMES_SHOWN]) + (", ..." if len(lagging) > MAX_NAMES_SHOWN else "")
    return [f"  not there yet: {len(lagging)} ({names})"]


def verdict_lines(verdict: Verdict) -> list[str]:
    """What became of a change."""
    name = verdict.change or "the change"
    lines = [f"{name}: {TEXTS[verdict.status]}: {verdict.text}"]
    for node, reasons in sorted(verdict.reasons.items()):
        lines += [f"  {node}: {reason}" for reason in reasons]
    if not verdict.is_final:
        lines.append("  `hollybay policy status` tells how far it is, `hollybay policy drop` gives it up")
    return lines


def verdict_document(verdict: Verdict) -> dict[str, object]:
    """A verdict as it is printed with --json."""
    return {
        "code": verdict.code,
        "change": verdict.change,
        "epoch": verdict.epoch,
        "text": verdict.text,
        "reasons": verdict.reasons,
    }


def lines_without_voters(view: ClusterView) -> list[str]:
    """The processes that answer, where none of them knows the cluster."""
    lines = ["no keeper answers" if view.statuses else "nobody answers"]
    for address, status in view.statuses.items():
        policies = ", ".join(status.serves) or "nothing"
        lines.append(f"  {address}: {status.name} serves {policies}; {status.voter_waits or ''}")
    return lines


def _latest_members(view: ClusterView) -> dict[str, MemberStatus]:
    """Each node by its name, as the voter knows it that heard from it last."""
    members: dict[str, MemberStatus] = {}
    for voter in view.voters.values():
        for member in voter.members:
            known = members.setdefault(member.name, member)
            if member.last_contact_s < known.last_contact_s:
                members[member.name] = member
    return members


def member_table(view: ClusterView, latest: VoterStatus) -> Table:
    """All nodes that voters heard from."""
    table = Table("node", "epoch", "lease left s", "heard s ago", "can serve", "keeper")
    for name, member in sorted(_latest_members(view).items(), key=lambda item: item[0]):
        table.add_row(
            name + (" (twice)" if member.is_duplicate else ""),
            str(member.epoch),
            f"{member.left_s:.1f}",
            f"{member.last_contact_s:.1f}",
            "yes" if member.is_able else "no",
            "yes" if member.address in latest.voters else "",
        )
    return table


def history_table(entries: list[dict[str, Any]]) -> Table:
    """All epochs that voters remember, from their JSON."""
    table = Table("epoch", "stage", "policy", "new", "reason", "author")
    for entry in entries:
        table.add_row(
            str(entry["epoch"]),
            entry["stage"].lower(),
            entry["policy"],
            entry["new"],
            entry.get("reason", ""),
            entry.get("author", ""),
        )
    return table
