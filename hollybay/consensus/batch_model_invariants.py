"""The invariants of group commit, checked on states of its model."""

from __future__ import annotations

from hollybay.resources.model import Change, ChangeRejectedError

from .batch_model import CANNOT_SERVE, ModelState, Proposer, Voter, number_of
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
    """Raise InvariantError with a text if an invariant does not hold."""
    if not holds:
        raise InvariantError(text)


def check_state(model: ModelState) -> None:
    """Check the invariants that hold at any time."""
    for holder, state in model.all_states():
        require(
            state.revision < len(model.states), f"{holder} is at {state.revision}, which was never decided"
        )
        is_decided_state = state.digest == model.states[state.revision].digest
        require(is_decided_state, f"{holder} has a state that was not decided at {state.revision}")
    for proposer in model.proposers:
        check_verdict(model, proposer)
    for voter in model.voters:
        _check_queue(model, voter)


def check_verdict(model: ModelState, proposer: Proposer) -> None:
    """Check that the outcome reported to a proposer is true, and that of its own change."""
    change_id, verdict = proposer.change.id, proposer.verdict
    name = f"change {number_of(change_id)}"
    if isinstance(verdict, InForce):
        is_decided = change_id in model.decided_ids
        require(is_decided, f"{name} is reported as in force but was not decided")
        is_of_revision = change_id in model.ids_at(verdict.revision)
        require(is_of_revision, f"{name} is wrongly reported as part of revision {verdict.revision}")
    elif isinstance(verdict, Rejected):
        is_decided = change_id in model.decided_ids
        require(not is_decided, f"{name} is reported as rejected but is in force")
        if verdict.problems == CANNOT_SERVE:
            require(proposer.is_unserviceable, f"{name} is rejected although nodes can serve it")


def check_queue_rejection(voter: Voter, change: Change) -> None:
    """Check that a change that was rejected when a batch was formed does not apply to the decided state."""
    try:
        voter.state.check(change)
    except ChangeRejectedError:
        return
    require(False, f"change {number_of(change.id)} is rejected although it applies to the decided state")


def _check_queue(model: ModelState, voter: Voter) -> None:
    """Check that a queue keeps its bound, loses no change and rejects none because of another one."""
    max_changes = model.bounds.settings.max_changes
    require(len(voter.queue) <= max_changes, f"the queue of voter {voter.number} is too long")
    if voter.alive:
        for change_id in voter.accepted:
            is_known = not isinstance(voter.queue.outcome(change_id, model.now), Unknown)
            require(is_known, f"voter {voter.number} forgot change {number_of(change_id)}")
    for proposer in model.proposers:
        outcome = voter.queue.outcome(proposer.change.id, model.now)
        if isinstance(outcome, Rejected) and outcome.problems == CANNOT_SERVE:
            require(
                proposer.is_unserviceable,
                f"change {number_of(proposer.change.id)} is rejected because of another one",
            )


def check_complete(model: ModelState) -> None:
    """Check that at the end all voters and nodes have the last state."""
    check_state(model)
    for holder, state in model.all_states():
        require(state.revision == len(model.states) - 1, f"{holder} ends at {state.revision}")
