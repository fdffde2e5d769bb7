"""The outcome of a change, judged from the epochs and leases that voters report. Pure.

Only decided epochs and leases count, so that two operators never get contradictory verdicts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from .cluster_view import ClusterView
from .core import Stage
from .message_codec import stage_label
from .reasons import ReportedReason

__all__ = ["ExitStatus", "InvalidInputError", "Verdict", "judge", "judge_settled"]

NOT_BEGUN = "not begun"
_SETTLED = stage_label(Stage.SETTLED)
_JOINT = stage_label(Stage.JOINT)


class ExitStatus(IntEnum):
    """The outcome of a change as the exit status of the command."""

    IN_FORCE = 0  # at every node
    NOT_IN_FORCE = 1  # rejected or dropped: in force at no node
    BAD_INPUT = 2
    UNKNOWN = 3  # not decided yet, or the outcome is not known


@dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of a change.

    Parameters
    ----------
    status
        Whether the change is in force.
    change
        The name of its policy, or its id.
    epoch
        The epoch in which it began; 0 if not known.
    text
        Details for the operator.
    reasons
        Why nodes cannot serve it, by the name of the node.
    """

    status: ExitStatus
    change: str = ""
    epoch: int = 0
    text: str = ""
    reasons: dict[str, list[ReportedReason]] = field(default_factory=dict)

    @property
    def code(self) -> int:
        """The exit status as a number."""
        return int(self.status)

    @property
    def is_final(self) -> bool:
        """Whether the verdict cannot change any more."""
        return self.status is not ExitStatus.UNKNOWN


class InvalidInputError(Exception):
    """A voter rejected an operator's input.

    Parameters
    ----------
    status
        The exit status of the command.
    reason
        The reason as readable text.
    problems
        The problems of the input, one text each.
    """

    def __init__(self, status: ExitStatus, reason: str, problems: Iterable[str] = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.problems = list(problems)

    def verdict(self) -> Verdict:
        """The verdict on a change that was never proposed."""
        reported = [ReportedReason(problem) for problem in self.problems]
        reasons = {"the keeper": reported} if reported else {}
        return Verdict(self.status, text=str(self), reasons=reasons)


def judge(view: ClusterView, change: str, epoch: int) -> Verdict:
    """The verdict on a change that was to begin in this epoch, as far as it is decided."""
    latest = view.latest
    if latest is None:
        return Verdict(ExitStatus.UNKNOWN, change, epoch, "no voter answered")
    first = view.epochs.get(epoch)
    if first is not None and first.new != change:
        return Verdict(ExitStatus.NOT_IN_FORCE, change, epoch, f"another change came first: {first.new}")
    if latest.epoch < epoch:
        return Verdict(ExitStatus.UNKNOWN, change, epoch, NOT_BEGUN)
    settled_policy = _settled_policy(view, epoch)
    if settled_policy is None:
        return Verdict(ExitStatus.UNKNOWN, change, epoch, "under way", view.reasons(change))
    if settled_policy != change:
        return Verdict(ExitStatus.NOT_IN_FORCE, change, epoch, "dropped", view.reasons(change))
    return judge_settled(view, change, epoch, epoch + 2)


def _settled_policy(view: ClusterView, epoch: int) -> str | None:
    """The policy in force after the change that began in this epoch, or None if it is not known yet."""
    for following in (epoch + 1, epoch + 2):
        record = view.epochs.get(following)
        if record is None or (record.stage == _JOINT and following == epoch + 1):
            continue
        return record.policy
    return None


def judge_settled(view: ClusterView, change: str, epoch: int, settled: int) -> Verdict:
    """The verdict on a settled change: whether it is in force at every node.

    Parameters
    ----------
    epoch
        The epoch in which it began.
    settled
        The epoch that settled it.
    """
    latest = view.latest
    # Voters vote for the epoch after `settled` only once the leases on earlier epochs have ended. Nodes may
    # still be serving in their grace period then.
    has_grace = any(voter.grace_s for voter in view.voters.values())
    if latest is not None and latest.epoch > settled and not has_grace:
        text = "was in force everywhere; a later change is under way or in force"
        return Verdict(ExitStatus.IN_FORCE, change, epoch, text)
    voters = view.voters_by_policy.get(change, [])
    # Voters that know the epoch `settled` and so grant no lease on an earlier one, whose wait after a restart
    # is over, and whose leases on earlier epochs have ended.
    confirming = [
        address
        for address, voter in view.voters.items()
        if address in voters
        and voter.epoch >= settled
        and not voter.quiet_s
        and not any(lease.epoch < settled for lease in voter.older_leases)
    ]
    if 2 * len(confirming) <= len(voters) or not voters:
        text = "in force, but some nodes may still serve under the previous policy"
        return Verdict(ExitStatus.UNKNOWN, change, epoch, text)
    return Verdict(ExitStatus.IN_FORCE, change, epoch, "in force everywhere")
