"""The world of the model check: voters, leaseholders and proposers, and the guarantee that must hold.

What may happen to them is in `model_moves`.
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
    "DEAF",
    "LATE",
    "LONG",
    "LOST",
    "MOVED",
    "POLICIES",
    "SILENT",
    "Bounds",
    "Parts",
    "World",
    "begin",
    "decide",
    "violation",
    "with_newest_alone",
]

POLICIES = ("p0", "p1", "p2")
PROPOSERS = 2
# Ticks that a voter counts a lease longer than its holder.
CLOCK_MARGIN = 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a search goes.

    Attributes
    ----------
    voters, nodes : int
        Their numbers; a node is a leaseholder.
    lease : int
        Ticks that a lease lasts for its holder.
    ticks, epochs, crashes : int
        The most of each in one run.
    rounds : int
        The most rounds of requests of each node.
    ballots : int
        The most ballots of each proposer, by epoch.
    unserviceable : tuple of frozenset
        The policies that each node cannot serve.
    hear_weight : float
        How often, in a walk, a node receives what voters replied.
    grace : int
        Ticks that a node serves on after its lease.
    disk_losses : int
        Voters that lose their disks.
    voter_sets : tuple
        The voters of each policy; empty: all voters are of all policies.
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
        """Ticks that a voter counts a lease."""
        return self.lease + CLOCK_MARGIN

    def voter_sets_of(self, state: EpochState) -> VoterSets:
        """The voter sets of the policies that an epoch names."""
        if not self.voter_sets:
            return (frozenset(range(self.voters)),) * len(policies_named(state))
        return tuple(frozenset(self.voter_sets[POLICIES.index(name)]) for name in policies_named(state))


# For long walks.
LONG = Bounds(ticks=30, epochs=7, crashes=2, rounds=24, ballots=3)
# Leases last longer than most changes take: a node that is silent meanwhile still serves as before.
SILENT = replace(LONG, lease=9, ticks=40)
# And most replies are late: voters count on leases that their holders have not heard of.
DEAF = replace(SILENT, hear_weight=0.25, rounds=40)
# Nodes serve on in a grace time once their leases have ended.
LATE = replace(LONG, lease=2, grace=25, ticks=50, hear_weight=0.3, rounds=30)
# One voter after another gives way to a new one.
MOVED = replace(LONG, voters=5, voter_sets=((0, 1, 2), (0, 1, 3), (1, 3, 4)), ticks=24)
# Disks are lost.
LOST = replace(LONG, disk_losses=2, crashes=1, ticks=36)
ALL_BOUNDS = (LONG, SILENT, DEAF, LATE, MOVED, LOST)


@dataclass(frozen=True, slots=True)
class Parts:
    """What is searched: the protocol's own roles, or one with a defect.

    Attributes
    ----------
    acceptor, leaseholder, proposer : type
    skips_joint : bool
        Whether proposers also propose the new policy right after PREPARE.
    """

    acceptor: type[Acceptor] = Acceptor
    leaseholder: type[Leaseholder] = Leaseholder
    proposer: type[Proposer] = Proposer
    skips_joint: bool = False


class World(NamedTuple):
    """One state of everything.

    Attributes
    ----------
    now : int
        The time in ticks.
    voters : tuple of Acceptor or None
        None: one that lost its disk and knows nothing.
    nodes : tuple of Leaseholder
    proposers : tuple of Proposer
    requests : tuple of LeaseRequest or None
        The requests of nodes that are under way.
    replies : tuple of frozenset
        The replies that are on their way to each node.
    decided : tuple of EpochState
        Each epoch that a quorum voted for.
    crashes : int
        Those that have happened.
    newest_alone : int
        The newest policy that was ever served alone, by its place in POLICIES.
    fault : str
        How the guarantee was violated by a decision.
    disk_losses : int
        Those that have happened.
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

    def known(self) -> list[Acceptor]:
        """The voters that know anything."""
        return [voter for voter in self.voters if voter is not None]


def begin(bounds: Bounds, parts: Parts) -> World:
    """All at rest under the first policy, no lease granted."""
    first = EpochState(0, Stage.SETTLED, POLICIES[0])
    voter_sets = bounds.voter_sets_of(first)
    unserviceable = bounds.unserviceable
    nodes = tuple(
        parts.leaseholder(
            n,
            voter_sets,
            latest_epoch=first,
            unserviceable_policies=unserviceable[n % len(unserviceable)],
        )
        for n in range(bounds.nodes)
    )
    return World(
        now=0,
        voters=tuple(parts.acceptor(n, first) for n in range(bounds.voters)),
        nodes=nodes,
        proposers=tuple(parts.proposer(n + 1, voter_sets, first) for n in range(PROPOSERS)),
        requests=(None,) * bounds.nodes,
        replies=(frozenset(),) * bounds.nodes,
        decided=(first,),
        crashes=0,
        newest_alone=0,
    )


# The guarantee


def violation(world: World) -> str:
    """How the guarantee is violated in a state; empty where it is kept."""
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
    """What a node must not serve under; empty: it may."""
    if len(policies) == 1 and POLICIES.index(policies[0]) < world.newest_alone:
        return f"{policies[0]} after {POLICIES[world.newest_alone]} was in force"
    if any(policy in node.unserviceable_policies for policy in policies):
        return f"{policies}, which it cannot"
    if node.effective_epoch not in world.decided:
        return f"{node.effective_epoch}, which was never decided"
    return ""


def decide(world: World, state: EpochState) -> World:
    """The state once a quorum has voted for an epoch."""
    known = next((decided for decided in world.decided if decided.epoch == state.epoch), None)
    if known is not None:
        return world if known == state else world._replace(fault=f"decided are {known} and {state}")
    if state.stage is Stage.JOINT:
        for node in world.nodes:
            if _cannot_follow(world, node, state):
                return world._replace(fault=f"{state.new} goes on though node {node.number} cannot serve it")
    return world._replace(decided=tuple(sorted((*world.decided, state))))


def _cannot_follow(world: World, node: Leaseholder, state: EpochState) -> bool:
    """Whether a node serves under the epoch before a joint one, and cannot serve its new policy."""
    effective = node.effective_epoch
    return (
        bool(node.policies_in_force(world.now))
        and effective is not None
        and effective.epoch == state.epoch - 1
        and state.new in node.unserviceable_policies
    )


def with_newest_alone(world: World) -> World:
    """The state with what is served alone noted."""
    newest = world.newest_alone
    for node in world.nodes:
        policies = node.policies_in_force(world.now)
        if len(policies) == 1:
            newest = max(newest, POLICIES.index(policies[0]))
    return world._replace(newest_alone=newest) if newest != world.newest_alone else world
