"""The transitions (moves) of the model check.

Each move runs the production code (`core` and its roles) on a network that loses, duplicates, delays and
reorders messages: any subset of the voters receives a request, and the sender receives their replies or does
not. Voters and leaseholders may crash at any point, voters may lose their disks, policies may name other
voters, and time advances in ticks.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations
from typing import TypeVar

from .acceptor import Acceptor
from .core import (
    Accept,
    Accepted,
    Decided,
    EpochState,
    LeaseGrant,
    LeaseRequest,
    Prepare,
    Promise,
    Stage,
    effective_policies,
    has_quorum,
)
from .model_world import POLICIES, Bounds, World, decide, with_newest_alone
from .proposer import Proposer, highest_ballot_number

__all__ = ["grants_first", "moves", "replaced", "successors"]

_T = TypeVar("_T")
_VoterNumbers = tuple[int, ...]


def moves(world: World, bounds: Bounds, skips_joint: bool = False) -> Iterator[tuple[str, World]]:
    """All moves from a state, each as its name and the resulting state."""
    for name, after in _moves(world, bounds, skips_joint):
        yield name, with_newest_alone(after)


def _moves(world: World, bounds: Bounds, skips_joint: bool) -> Iterator[tuple[str, World]]:
    if world.now < bounds.ticks:
        yield "time goes on", world._replace(now=world.now + 1)
    subsets = _subsets_of(bounds.voters)
    for n in range(len(world.nodes)):
        yield from _node_moves(world, bounds, n, subsets)
    for n in range(len(world.proposers)):
        yield from _proposer_moves(world, bounds, n, subsets, skips_joint)
    for n, voter in enumerate(world.voters):
        if voter is None:
            yield from _recoveries(world, bounds, n, subsets)
        else:
            yield from _voter_moves(world, bounds, n, voter)


def _subsets_of(count: int) -> list[_VoterNumbers]:
    """The sets of voters that a request may reach: all non-empty subsets."""
    return [subset for size in range(1, count + 1) for subset in combinations(range(count), size)]


def replaced(items: tuple[_T, ...], n: int, item: _T) -> tuple[_T, ...]:
    """A copy of `items` with `item` at index n."""
    return (*items[:n], item, *items[n + 1 :])


# Moves of voters


def _voter_moves(world: World, bounds: Bounds, n: int, voter: Acceptor) -> Iterator[tuple[str, World]]:
    if world.disk_losses < bounds.disk_losses and None not in world.voters:
        without = replaced(world.voters, n, None)
        yield f"voter {n} loses its disk", world._replace(voters=without, disk_losses=world.disk_losses + 1)
    latest = max(world.decided)
    if voter.decided.epoch < latest.epoch:
        voters = replaced(world.voters, n, voter.on_decided(Decided(latest)))
        yield f"voter {n} learns epoch {latest.epoch}", world._replace(voters=voters)
    if world.crashes < bounds.crashes:
        restarted = voter.restarted(world.now, bounds.voter_lease + bounds.grace)
        voters = replaced(world.voters, n, restarted)
        yield f"voter {n} crashes and restarts", world._replace(voters=voters, crashes=world.crashes + 1)


def _recoveries(
    world: World, bounds: Bounds, n: int, subsets: list[_VoterNumbers]
) -> Iterator[tuple[str, World]]:
    """A voter that lost its disk recovers its state from a quorum of the others."""
    for subset in subsets:
        others = [voter for k in subset if k != n and (voter := world.voters[k]) is not None]
        if n in subset or len(others) < len(subset):
            continue
        if not has_quorum(bounds.voter_sets_of(max(voter.decided for voter in others)), subset):
            continue
        known = [
            (voter.decided, voter.accepted[1] if voter.accepted is not None else None) for voter in others
        ]
        kind = type(others[0])
        recovered = kind.recovered(n, world.now, bounds.voter_lease + bounds.grace, known)
        voters = replaced(world.voters, n, recovered)
        yield f"voter {n} learns all from {subset}", world._replace(voters=voters)


# Moves of nodes


def _node_moves(
    world: World, bounds: Bounds, n: int, subsets: list[_VoterNumbers]
) -> Iterator[tuple[str, World]]:
    node = world.nodes[n]
    request = world.requests[n]
    if node.round_number < bounds.rounds:
        begun, new_request = node.begin_round(world.now)
        nodes = replaced(world.nodes, n, begun)
        requests = replaced(world.requests, n, new_request)
        yield f"node {n} asks", world._replace(nodes=nodes, requests=requests)
    if request is not None:
        for subset in subsets:
            yield f"voters {subset} hear node {n}", _requested(world, bounds, n, request, subset)
    if world.replies[n]:
        yield f"node {n} hears", _replied(world, bounds, n)
    if world.crashes < bounds.crashes and node.round_number:
        yield f"node {n} crashes and restarts", _node_restarted(world, n)


def _requested(world: World, bounds: Bounds, n: int, request: LeaseRequest, subset: _VoterNumbers) -> World:
    """Some voters receive a node's request and send their replies."""
    voters = world.voters
    replies = set(world.replies[n])
    for k in subset:
        voter = voters[k]
        if voter is None:
            continue
        after, reply = voter.grant_lease(world.now, request, bounds.voter_lease, bounds.grace)
        voters = replaced(voters, k, after)
        if reply is not None:
            replies.add(reply)
    return world._replace(
        voters=voters,
        requests=replaced(world.requests, n, None),
        replies=replaced(world.replies, n, frozenset(replies)),
    )


def _replied(world: World, bounds: Bounds, n: int) -> World:
    """A node receives all replies in transit to it."""
    node = world.nodes[n]
    for reply in sorted(world.replies[n], key=grants_first):
        if isinstance(reply, LeaseGrant):
            node = node.on_grant(reply, bounds.lease, bounds.grace)
        else:
            node = node.on_decided(reply, bounds.voter_sets_of(reply.state))
    return world._replace(
        nodes=replaced(world.nodes, n, node), replies=replaced(world.replies, n, frozenset())
    )


def grants_first(reply: LeaseGrant | Decided) -> tuple[bool, str]:
    """Sort key of simultaneous replies: grants before decisions, each by content."""
    return isinstance(reply, Decided), repr(reply)


def _node_restarted(world: World, n: int) -> World:
    node = world.nodes[n]
    restarted = type(node)(
        node.number,
        round_number=node.round_number,
        unserviceable_policies=node.unserviceable_policies,
    )
    return world._replace(
        nodes=replaced(world.nodes, n, restarted),
        requests=replaced(world.requests, n, None),
        replies=replaced(world.replies, n, frozenset()),
        crashes=world.crashes + 1,
    )


# Moves of proposers


def successors(decided: EpochState) -> list[EpochState]:
    """The epochs that may be proposed after a decided one; the last one aborts a change under way."""
    epoch = decided.epoch + 1
    if decided.stage is Stage.SETTLED:
        newer = POLICIES[POLICIES.index(decided.policy) + 1 :]
        return [EpochState(epoch, Stage.PREPARE, decided.policy, new) for new in newer[:1]]
    abort = EpochState(epoch, Stage.SETTLED, decided.policy)
    if decided.stage is Stage.PREPARE:
        return [EpochState(epoch, Stage.JOINT, decided.policy, decided.new), abort]
    return [EpochState(epoch, Stage.SETTLED, decided.new), abort]


def _proposer_moves(
    world: World, bounds: Bounds, n: int, subsets: list[_VoterNumbers], skips_joint: bool
) -> Iterator[tuple[str, World]]:
    proposer = world.proposers[n]
    latest = max(world.decided)
    voter_sets = bounds.voter_sets_of(latest)
    quorums = [subset for subset in subsets if has_quorum(voter_sets, subset)]
    if latest.epoch < bounds.epochs and proposer.ballot[0] < bounds.ballots * (latest.epoch + 1):
        proposals = successors(latest)
        if skips_joint and latest.stage is Stage.PREPARE:
            proposals.append(EpochState(latest.epoch + 1, Stage.SETTLED, latest.new))
        for proposal in proposals:
            promised_number = highest_ballot_number(voter.promised for voter in world.voters_with_state())
            highest_number = max(promised_number, proposer.ballot[0])
            idle = proposer._replace(proposal=proposal, voter_sets=voter_sets, decided=None)
            begun, prepare = idle.begin_ballot(highest_number)
            for subset in quorums:
                yield from _prepared(world, n, begun, prepare, subset)
    if proposer.value is not None and proposer.decided is None:
        accept = Accept(proposer.ballot, proposer.value)
        for subset in subsets:
            yield from _accepted(world, n, accept, subset)


def _prepared(
    world: World, n: int, proposer: Proposer, prepare: Prepare, subset: _VoterNumbers
) -> Iterator[tuple[str, World]]:
    """Some voters receive a request for promises, and the proposer receives their replies."""
    voters = world.voters
    for k in subset:
        voter = voters[k]
        if voter is None:
            continue
        after, reply = voter.on_prepare(prepare)
        voters = replaced(voters, k, after)
        if isinstance(reply, Promise):
            proposer, _ = proposer.on_promise(reply)
    if proposer.value is not None:
        proposers = replaced(world.proposers, n, proposer)
        name = f"voters {subset} promise {proposer.ballot} for {_shown(proposer.proposal)}"
        yield name, world._replace(voters=voters, proposers=proposers)


def _accepted(world: World, n: int, accept: Accept, subset: _VoterNumbers) -> Iterator[tuple[str, World]]:
    """Some voters receive a request for votes, and the proposer receives their replies."""
    voters = world.voters
    proposer = world.proposers[n]
    has_votes = False
    decided: EpochState | None = None
    for k in subset:
        voter = voters[k]
        if voter is None:
            continue
        after, reply = voter.on_accept(world.now, accept)
        voters = replaced(voters, k, after)
        if isinstance(reply, Accepted):
            has_votes = True
            proposer, decision = proposer.on_accepted(reply)
            if decision is not None:
                decided = decision.state
    if has_votes:
        next_world = world._replace(voters=voters, proposers=replaced(world.proposers, n, proposer))
        next_world = decide(next_world, decided) if decided is not None else next_world
        yield f"voters {subset} vote for {_shown(accept.state)}", next_world


def _shown(state: EpochState) -> str:
    return f"epoch {state.epoch} {state.stage.name}{effective_policies(state)}"
