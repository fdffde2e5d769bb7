"""Text and JSON output of `hollybay policy`: progress, verdicts and tables."""

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
    ExitStatus.NOT_IN_FORCE: "in force at no node",
    ExitStatus.BAD_INPUT: "bad input",
    ExitStatus.UNKNOWN: "not known yet",
}


class Progress:
    """Prints the progress of a change to standard error whenever it has changed."""

    def __init__(self, is_quiet: bool) -> None:
        self.is_quiet = is_quiet
        self.last_text = ""

    def __call__(self, view: ClusterView) -> None:
        """Print the state of the latest change, unless it is the same as last time."""
        latest = view.latest
        if self.is_quiet or latest is None:
            return
        text = "\n".join([_stage_line(latest), *_lease_lines(view), *_lagging_lines(view, latest)])
        if text != self.last_text:
            self.last_text = text
            click.echo(text, err=True)


def _stage_line(latest: VoterStatus) -> str:
    """Describe the latest epoch: its stage and its policies."""
    line = f"epoch {latest.epoch} {latest.stage.lower()}: {latest.policy}"
    return f"{line}, then {latest.new}" if latest.new else line


def _lease_lines(view: ClusterView) -> list[str]:
    """Describe the leases that delay a change, by node."""
    leases: dict[str, OlderLease] = {}
    for voter in view.voters.values():
        for lease in (*voter.blocking_leases, *voter.older_leases):
            leases[lease.name] = lease
    lines = []
    for name, lease in sorted(leases.items(), key=lambda item: item[0]):
        state = "cannot serve it" if lease.cannot_serve else "under an earlier epoch"
        lines.append(f"  {state}: {name}, lease ends in {lease.left_ns / SECOND:.0f} s")
    return lines


def _lagging_lines(view: ClusterView, latest: VoterStatus) -> list[str]:
    """Describe the nodes that still serve under an earlier epoch."""
    members = [member for voter in view.voters.values() for member in voter.members]
    lagging = sorted({member.name for member in members if member.epoch < latest.epoch and member.left_s})
    if not lagging:
        return []
    names = ", ".join(lagging[:MAX_NAMES_SHOWN]) + (", ..." if len(lagging) > MAX_NAMES_SHOWN else "")
    return [f"  nodes under an earlier epoch: {len(lagging)} ({names})"]


def verdict_lines(verdict: Verdict) -> list[str]:
    """The outcome of a change, with the reasons of the nodes that cannot serve it."""
    name = verdict.change or "the change"
    lines = [f"{name}: {TEXTS[verdict.status]}: {verdict.text}"]
    for node, reasons in sorted(verdict.reasons.items()):
        lines += [f"  {node}: {reason}" for reason in reasons]
    if not verdict.is_final:
        lines.append("  `hollybay policy status` shows its progress, `hollybay policy drop` drops it")
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
    """The nodes that answered when none of them is a voter."""
    lines = ["no voter answered" if view.statuses else "no node answered"]
    for address, status in view.statuses.items():
        policies = ", ".join(status.serves) or "nothing"
        lines.append(f"  {address}: {status.name} serves {policies}; {status.voter_waits or ''}")
    return lines


def _latest_members(view: ClusterView) -> dict[str, MemberStatus]:
    """The nodes by name, each as reported by the voter with the most recent contact."""
    members: dict[str, MemberStatus] = {}
    for voter in view.voters.values():
        for member in voter.members:
            known = members.setdefault(member.name, member)
            if member.last_contact_s < known.last_contact_s:
                members[member.name] = member
    return members


def member_table(view: ClusterView, latest: VoterStatus) -> Table:
    """Table of all nodes that have been in contact with a voter."""
    table = Table("node", "epoch", "lease left s", "last contact s", "can serve", "voter")
    for name, member in sorted(_latest_members(view).items(), key=lambda item: item[0]):
        table.add_row(
            name + (" (duplicate)" if member.is_duplicate else ""),
            str(member.epoch),
            f"{member.left_s:.1f}",
            f"{member.last_contact_s:.1f}",
            "yes" if member.is_able else "no",
            "yes" if member.address in latest.voters else "",
        )
    return table


def history_table(entries: list[dict[str, Any]]) -> Table:
    """Table of the epochs in the history of the voters, from their JSON."""
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
