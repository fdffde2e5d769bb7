"""The state space of the model check: voters, leaseholders and proposers, and the guarantee to check.

`model_moves` has the transitions between states.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple

from .acceptor import Acceptor
from .core import Decided, EpochState, LeaseGrant, LeaseRequest, Stage, VoterSets, policies_named
from .leaseholder import Leaseholder
from .proposer import Proposer

__all__ = [
    "ALL_BOUNDS",
    "DISK_LOSSES",
    "GRACE_TIMES",
    "LATE_REPLIES",
    "LONG_LEASES",
    "LONG_WALKS",
    "POLICIES",
    "VOTER_CHANGES",
    "Bounds",
    "Roles",
    "World",
    "decide",
    "initial_world",
    "violation",
    "with_newest_alone",
]

POLICIES = ("p0", "p1", "p2")
PROPOSERS = 2
# Ticks by which a voter counts a lease longer than its holder does.
CLOCK_MARGIN = 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a search.

    Attributes
    ----------
    voters, nodes : int
        Number of voters, and of nodes (leaseholders).
    lease : int
        Duration of a lease for its holder, in ticks.
    ticks, epochs, crashes : int
        Maximum number of each in one run.
    rounds : int
        Maximum number of lease rounds of each node.
    ballots : int
        Maximum number of ballots of each proposer per epoch.
    unserviceable : tuple of frozenset
        The policies that each node cannot serve.
    hear_weight : float
        Weight of the move in which a node receives the replies of voters, in a walk.
    grace : int
        Ticks for which a node continues to serve after its lease has ended.
    disk_losses : int
        Maximum number of voters that lose their disk.
    voter_sets : tuple
        The voters of each policy; empty if every voter is a voter of all policies.
    """

    voters: int = 3
    lease: int = 2
    nodes: int = 2
    ticks: int = 9
    epochs: int = 5
    crashes: int = 1
    rounds: int = 4
    ballots: int = 2
    unserviceable: tuple[frozenset[str], ...] = (frozenset(), frozenset())
    hear_weight: float = 4.0
    grace: int = 0
    disk_losses: int = 0
    voter_sets: tuple[tuple[int, ...], ...] = ()

    @property
    def voter_lease(self) -> int:
        """Duration of a lease for the voter that granted it, in ticks."""
        return self.lease + CLOCK_MARGIN

    def voter_sets_of(self, state: EpochState) -> VoterSets:
        """The voter sets of the policies that an epoch names."""
        if not self.voter_sets:
            return (frozenset(range(self.voters)),) * len(policies_named(state))
        return tuple(frozenset(self.voter_sets[POLICIES.index(name)]) for name in policies_named(state))


# For long walks.
LONG_WALKS = Bounds(ticks=30, epochs=7, crashes=2, rounds=24, ballots=3)
# Leases outlast most changes: a node that sends no request meanwhile still serves under its old epoch.
LONG_LEASES = replace(LONG_WALKS, lease=9, ticks=40)
# In addition most replies are late: voters count leases whose grants their holders have not received.
LATE_REPLIES = replace(LONG_LEASES, hear_weight=0.25, rounds=40)
# Nodes continue to serve in a grace time after their leases.
GRACE_TIMES = replace(LONG_WALKS, lease=2, grace=25, ticks=50, hear_weight=0.3, rounds=30)
# Voters are replaced by new ones, one after another.
VOTER_CHANGES = replace(LONG_WALKS, voters=5, voter_sets=((0, 1, 2), (0, 1, 3), (1, 3, 4)), ticks=24)
# Voters lose their disks.
DISK_LOSSES = replace(LONG_WALKS, disk_losses=2, crashes=1, ticks=36)
ALL_BOUNDS = (LONG_WALKS, LONG_LEASES, LATE_REPLIES, GRACE_TIMES, VOTER_CHANGES, DISK_LOSSES)


@dataclass(frozen=True, slots=True)
class Roles:
    """The roles to check: those of the protocol, or some with a planted defect.

    Attributes
    ----------
    acceptor, leaseholder, proposer : type
    skips_joint : bool
        Whether proposers may also propose SETTLED on the new policy directly after PREPARE.
    """

    acceptor: type[Acceptor] = Acceptor
    leaseholder: type[Leaseholder] = Leaseholder
    proposer: type[Proposer] = Proposer
    skips_joint: bool = False


class World(NamedTuple):
    """One state of the modelled system.

    Attributes
    ----------
    now : int
        The time in ticks.
    voters : tuple of Acceptor or None
        None for a voter that lost its disk and has no state.
    nodes : tuple of Leaseholder
    proposers : tuple of Proposer
    requests : tuple of LeaseRequest or None
        The lease request of each node that is in transit.
    replies : tuple of frozenset
        The replies in transit to each node.
    decided : tuple of EpochState
        The epochs that a quorum voted for.
    crashes : int
        Number of crashes so far.
    newest_alone : int
        The newest policy that was ever in force alone, as an index into POLICIES.
    fault : str
        How a decision violated the guarantee; empty if none did.
    disk_losses : int
        Number of lost disks so far.
    """

    now: int
    voters: tuple[Acceptor | None, ...]
    nodes: tuple[Leaseholder, ...]
    proposers: tuple[Proposer, ...]
    requests: tuple[LeaseRequest | None, ...]
    replies: tuple[frozenset[LeaseGrant | Decided], ...]
    decided: tuple[EpochState, ...]
    crashes: int
    newest_alone: int
    fault: str = ""
    disk_losses: int = 0

    def voters_with_state(self) -> list[Acceptor]:
        """The voters that have state."""
        return [voter for voter in self.voters if voter is not None]


def initial_world(bounds: Bounds, roles: Roles) -> World:
    """The initial state: settled on the first policy, without leases."""
    first = EpochState(0, Stage.SETTLED, POLICIES[0])
    voter_sets = bounds.voter_sets_of(first)
    unserviceable = bounds.unserviceable
    nodes = tuple(
        roles.leaseholder(
            n,
            voter_sets,
            latest_epoch=first,
            unserviceable_policies=unserviceable[n % len(unserviceable)],
        )
        for n in range(bounds.nodes)
    )
    return World(
        now=0,
        voters=tuple(roles.acceptor(n, first) for n in range(bounds.voters)),
        nodes=nodes,
        proposers=tuple(roles.proposer(n + 1, voter_sets, first) for n in range(PROPOSERS)),
        requests=(None,) * bounds.nodes,
        replies=(frozenset(),) * bounds.nodes,
        decided=(first,),
        crashes=0,
        newest_alone=0,
    )


# The guarantee


def violation(world: World) -> str:
    """How a state violates the guarantee; empty if it does not."""
    if world.fault:
        return world.fault
    serving = [(node, node.policies_in_force(world.now)) for node in world.nodes]
    serving = [(node, policies) for node, policies in serving if policies]
    for n, (node, policies) in enumerate(serving):
        for other, others in serving[n + 1 :]:
            if not set(policies) & set(others):
                own = f"node {node.number} serves under {policies}"
                return f"{own} while node {other.number} serves under {others}"
        reason = _violation_of(world, node, policies)
        if reason:
            return f"node {node.number} serves under {reason}"
    return ""


def _violation_of(world: World, node: Leaseholder, policies: tuple[str, ...]) -> str:
    """Why a node must not serve under its policies; empty if it may."""
    if len(policies) == 1 and POLICIES.index(policies[0]) < world.newest_alone:
        return f"{policies[0]} after {POLICIES[world.newest_alone]} was in force"
    if any(policy in node.unserviceable_policies for policy in policies):
        return f"{policies}, which it cannot serve"
    if node.effective_epoch not in world.decided:
        return f"{node.effective_epoch}, which was never decided"
    return ""


def decide(world: World, state: EpochState) -> World:
    """The state after a quorum has voted for an epoch."""
    known = next((decided for decided in world.decided if decided.epoch == state.epoch), None)
    if known is not None:
        return world if known == state else world._replace(fault=f"two epochs decided: {known} and {state}")
    if state.stage is Stage.JOINT:
        for node in world.nodes:
            if _cannot_follow(world, node, state):
                return world._replace(
                    fault=f"{state.new} is joint although node {node.number} cannot serve it"
                )
    return world._replace(decided=tuple(sorted((*world.decided, state))))


def _cannot_follow(world: World, node: Leaseholder, state: EpochState) -> bool:
    """Whether a node serves under the epoch before a joint one but cannot serve its new policy."""
    effective = node.effective_epoch
    return (
        bool(node.policies_in_force(world.now))
        and effective is not None
        and effective.epoch == state.epoch - 1
        and state.new in node.unserviceable_policies
    )


def with_newest_alone(world: World) -> World:
    """The state with `newest_alone` updated from the policies in force at its nodes."""
    newest = world.newest_alone
    for node in world.nodes:
        policies = node.policies_in_force(world.now)
        if len(policies) == 1:
            newest = max(newest, POLICIES.index(policies[0]))
    return world._replace(newest_alone=newest) if newest != world.newest_alone else world
