"""Results of a proposal queue: the reply to an offered change, and the outcome of a queued one.

A rejection holds for the queue of one voter. If a proposer got no reply and offered the same change to
another voter as well, the change is rejected only once all of these voters have rejected it: see
`combined_outcome`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hollybay.resources.model import ChangeProblem

__all__ = [
    "AlreadyDecided",
    "AlreadyQueued",
    "Busy",
    "InForce",
    "OfferRejected",
    "OfferReply",
    "Outcome",
    "Pending",
    "Queued",
    "Rejected",
    "UnderWay",
    "Unknown",
    "combined_outcome",
]


# Replies to an offer


@dataclass(frozen=True, slots=True)
class Queued:
    """The change was queued and will get exactly one final outcome.

    Parameters
    ----------
    position
        As in `Pending`.
    wait_ns
        Estimated time until the change is decided.
    """

    position: int
    wait_ns: int


@dataclass(frozen=True, slots=True)
class AlreadyQueued:
    """The change was offered before and has no final outcome yet."""


@dataclass(frozen=True, slots=True)
class AlreadyDecided:
    """The change was offered before and was decided as part of `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class OfferRejected:
    """The change does not apply, or was rejected before; nothing was queued."""

    problems: tuple[ChangeProblem, ...]


@dataclass(frozen=True, slots=True)
class Busy:
    """The queue is full or the estimated wait too long; nothing was queued.

    Parameters
    ----------
    retry_after_ns
        Time after which the proposer may offer the change again.
    """

    retry_after_ns: int


OfferReply = Queued | AlreadyQueued | AlreadyDecided | OfferRejected | Busy


# Outcomes of a queued change


@dataclass(frozen=True, slots=True)
class Pending:
    """The change is queued for a later batch.

    Parameters
    ----------
    position
        An upper bound of the number of changes ahead of it.
    wait_ns
        Estimated time until the change is decided.
    """

    position: int
    wait_ns: int


@dataclass(frozen=True, slots=True)
class UnderWay:
    """The change is part of the batch in progress, which becomes `revision` if it is decided."""

    revision: int


@dataclass(frozen=True, slots=True)
class InForce:
    """Final: the change was decided as part of `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The change was not applied, and this voter will not propose it. Final for this voter's queue only."""

    problems: tuple[ChangeProblem, ...]


@dataclass(frozen=True, slots=True)
class Unknown:
    """The change was not accepted here, or its outcome has expired."""


Outcome = Pending | UnderWay | InForce | Rejected | Unknown


def combined_outcome(outcomes: Iterable[Outcome]) -> Outcome:
    """Combine the outcomes of one change at all voters to which it was ever offered.

    For each voter only its reply after the last offer counts: a rejected change may apply again (after a
    conflicting resource was deleted), and an offer whose reply was lost may have been accepted.

    `InForce` at one voter is final. `Rejected` is final only if all voters rejected the change: a voter that
    accepted it may still propose it, and one that restarted has lost its queue (`Unknown`) although its last
    batch may still be decided. A proposer that gets `Unknown` offers the change again under the same id.
    """
    known = list(outcomes)
    for kind in (InForce, UnderWay, Pending, Unknown):
        for outcome in known:
            if isinstance(outcome, kind):
                return outcome
    problems: list[ChangeProblem] = []
    for outcome in known:
        if isinstance(outcome, Rejected):
            problems += [problem for problem in outcome.problems if problem not in problems]
    return Rejected(tuple(problems)) if known else Unknown()
