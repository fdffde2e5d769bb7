"""Invariants of group commit, checked on a state of its model."""

from __future__ import annotations

from hollybay.resources.model import Change, ChangeRejectedError

from .batch_model import CANNOT, ModelState, Proposer, Voter, number_of
from .proposal_outcomes import InForce, Rejected, Unknown

__all__ = [
    "InvariantError",
    "check_complete",
    "check_queue_rejection",
    "check_state",
    "check_verdict",
    "require",
]


class InvariantError(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, text: str) -> None:
    """Raise InvariantError with a text unless an invariant holds."""
    if not holds:
        raise InvariantError(text)


def check_state(model: ModelState) -> None:
    """Check all invariants that hold at any moment."""
    for holder, state in model.all_states():
        require(state.revision < len(model.states), f"{holder} is at {state.revision}, which nobody decided")
        is_same = state.digest == model.states[state.revision].digest
        require(is_same, f"{holder} has another state at {state.revision}")
    for proposer in model.proposers:
        check_verdict(model, proposer)
    for voter in model.voters:
        _check_queue(model, voter)


def check_verdict(model: ModelState, proposer: Proposer) -> None:
    """What a proposer was told is true, and of its own change."""
    change_id, verdict = proposer.change.id, proposer.verdict
    name = f"change {number_of(change_id)}"
    if isinstance(verdict, InForce):
        is_decided = change_id in model.decided_ids
        require(is_decided, f"{name} is told to be in force and was not decided")
        is_of_revision = change_id in model.ids_at(verdict.revision)
        require(is_of_revision, f"{name} is told to be of revision {verdict.revision}")
    elif isinstance(verdict, Rejected):
        is_decided = change_id in model.decided_ids
        require(not is_decided, f"{name} is told to be refused and is in force")
        if verdict.problems == CANNOT:
            require(proposer.bad, f"{name} is refused, and nodes can serve it")


def check_queue_rejection(voter: Voter, change: Change) -> None:
    """A change that was rejected when a batch was formed does not fit what is decided."""
    try:
        voter.state.check(change)
    except ChangeRejectedError:
        return
    require(False, f"change {number_of(change.id)} is refused, and fits what is decided")


def _check_queue(model: ModelState, voter: Voter) -> None:
    """A queue keeps its bound, forgets no change and rejects none for another one."""
    max_changes = model.bounds.settings.max_changes
    require(len(voter.queue) <= max_changes, f"keeper {voter.number}'s queue is too long")
    if voter.alive:
        for change_id in voter.accepted:
            is_known = not isinstance(voter.queue.outcome(change_id, model.now), Unknown)
            require(is_known, f"keeper {voter.number} forgot change {number_of(change_id)}")
    for proposer in model.proposers:
        outcome = voter.queue.outcome(proposer.change.id, model.now)
        if isinstance(outcome, Rejected) and outcome.problems == CANNOT:
            require(proposer.bad, f"change {number_of(proposer.change.id)} is refused with a bad one")


def check_complete(model: ModelState) -> None:
    """At the end all have the last state."""
    check_state(model)
    for holder, state in model.all_states():
        require(state.revision == len(model.states) - 1, f"{holder} stays at {state.revision}")
