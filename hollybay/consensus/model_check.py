"""Model check of the consensus protocol: explores the interleavings of voters, leaseholders and proposers.

Every reached state (`model_world`, `model_moves`) is checked against the guarantee. `explore` is a
breadth-first search up to a number of states; `walk` takes one long random path from a seed. Both report a
violation with the steps that lead to it.

    python -m hollybay.consensus.model_check --states 3000000
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from .acceptor import Acceptor
from .core import Accept, Accepted, Decided, EpochState, LeaseGrant, Promise, Stage
from .leaseholder import Leaseholder
from .model_moves import moves, replaced, successors
from .model_world import ALL_BOUNDS, Bounds, Roles, World, initial_world, violation
from .proposer import Proposer, highest_ballot_number

__all__ = ["SearchResult", "explore", "settles", "walk", "walk_steps"]

DEFAULT_STATES = 100_000
DEFAULT_STEPS = 400
# Relative frequency of each kind of move in a walk. Lease requests are frequent and a change advances slowly;
# otherwise leases would end before they mattered.
MOVE_WEIGHTS = {
    "time": 1.0,
    "asks": 3.0,
    "hear": 4.0,
    "hears": 4.0,
    "promise": 0.8,
    "vote": 1.5,
    "learns": 1.5,
    "crashes": 0.1,
    "loses": 0.1,
}


@dataclass
class SearchResult:
    """The result of a search.

    Attributes
    ----------
    states, depth : int
        Number of states reached, and depth in steps.
    fault : str
        How the guarantee was violated; empty if it was not.
    steps : list of str
        The steps that lead to the violation.
    """

    states: int
    depth: int
    fault: str = ""
    steps: list[str] = field(default_factory=list)


# Breadth-first search

# By reached state: its predecessor and the step between them; None for the initial state.
_Seen = dict[World, tuple[World, str] | None]


def explore(bounds: Bounds, roles: Roles | None = None, max_states: int = DEFAULT_STATES) -> SearchResult:
    """Search breadth first until a violation, or until `max_states` states were reached."""
    first = initial_world(bounds, roles or Roles())
    seen: _Seen = {first: None}
    queue = deque([(first, 0)])
    depth = 0
    while queue:
        world, depth = queue.popleft()
        for name, after in moves(world, bounds):
            if after in seen:
                continue
            seen[after] = (world, name)
            fault = violation(after)
            if fault:
                return SearchResult(len(seen), depth + 1, fault, _steps_to(seen, after))
            if len(seen) >= max_states:
                return SearchResult(len(seen), depth + 1)
            queue.append((after, depth + 1))
    return SearchResult(len(seen), depth)


def _steps_to(seen: _Seen, world: World) -> list[str]:
    steps = []
    before = seen[world]
    while before is not None:
        steps.append(before[1])
        before = seen[before[0]]
    return steps[::-1]


# Random walks


def walk(
    seed: int, bounds: Bounds, roles: Roles | None = None, max_steps: int = DEFAULT_STEPS
) -> SearchResult:
    """Take one random path of at most `max_steps` steps, until a violation."""
    steps: list[str] = []
    for depth, (name, world) in enumerate(walk_steps(seed, bounds, roles or Roles(), max_steps), 1):
        steps.append(name)
        fault = violation(world)
        if fault:
            return SearchResult(depth, depth, fault, steps)
    return SearchResult(len(steps), len(steps))


def walk_steps(
    seed: int, bounds: Bounds, roles: Roles, max_steps: int = DEFAULT_STEPS
) -> Iterator[tuple[str, World]]:
    """The steps of a random path with the resulting states: draws the kind of a move first, then the move."""
    rng = random.Random(seed)
    world = initial_world(bounds, roles)
    weights = MOVE_WEIGHTS | {"hears": bounds.hear_weight}
    for _ in range(max_steps):
        by_kind: dict[str, list[tuple[str, World]]] = {}
        for name, after in moves(world, bounds, roles.skips_joint):
            by_kind.setdefault(_kind(name), []).append((name, after))
        if not by_kind:
            return
        (kind,) = rng.choices(list(by_kind), [weights[kind] for kind in by_kind])
        name, world = rng.choice(by_kind[kind])
        yield name, world


def _kind(name: str) -> str:
    """The kind of a move: the first word of its name that is a key of MOVE_WEIGHTS."""
    return next(word for word in name.replace(" goes", "").split() if word in MOVE_WEIGHTS)


# Progress


def settles(world: World, bounds: Bounds) -> bool:
    """Whether a change settles from a state if from then on no message is lost and nothing crashes."""
    run = _FaultlessRun(world, bounds)
    ticks = 12 + 4 * (bounds.lease + bounds.grace)
    for _ in range(ticks):
        latest = run.spread_latest()
        run.renew_leases()
        if latest.stage is Stage.SETTLED and latest.epoch > 0:
            return run.all_serve(latest.policy)
        run.propose_after(latest)
        run.now += 1
    return False


class _FaultlessRun:
    """A run from a state on without any faults."""

    ROUNDS_EACH = 2  # the reply to the first request may only inform a node of a later epoch

    def __init__(self, world: World, bounds: Bounds) -> None:
        self.bounds = bounds
        self.now = world.now
        self.voters: list[Acceptor] = world.voters_with_state()
        self.nodes: tuple[Leaseholder, ...] = world.nodes
        self.ballot_number = highest_ballot_number(
            [*(voter.promised for voter in self.voters), *(proposer.ballot for proposer in world.proposers)]
        )

    def spread_latest(self) -> EpochState:
        """Pass the latest epoch that any voter knows to all voters."""
        latest = max(voter.decided for voter in self.voters)
        self.voters = [voter.on_decided(Decided(latest)) for voter in self.voters]
        return latest

    def renew_leases(self) -> None:
        """Have all nodes request leases from all voters."""
        for n in range(len(self.nodes)):
            for _ in range(self.ROUNDS_EACH):
                self.nodes = replaced(self.nodes, n, self._renewed(self.nodes[n]))

    def _renewed(self, node: Leaseholder) -> Leaseholder:
        bounds = self.bounds
        node, request = node.begin_round(self.now)
        for k, voter in enumerate(self.voters):
            self.voters[k], reply = voter.grant_lease(self.now, request, bounds.voter_lease, bounds.grace)
            if isinstance(reply, LeaseGrant):
                node = node.on_grant(reply, bounds.lease, bounds.grace)
            elif reply is not None:
                node = node.on_decided(reply, bounds.voter_sets_of(reply.state))
        return node

    def all_serve(self, policy: str) -> bool:
        """Whether a policy is in force alone at all nodes that can serve it."""
        able = [node for node in self.nodes if policy not in node.unserviceable_policies]
        return all(node.policies_in_force(self.now) == (policy,) for node in able)

    def propose_after(self, latest: EpochState) -> None:
        """Have one proposer propose the next epoch."""
        is_unserviceable = any(latest.new in node.unserviceable_policies for node in self.nodes)
        proposal = successors(latest)[-1 if is_unserviceable else 0]
        self.ballot_number += 1
        proposer = Proposer(1, self.bounds.voter_sets_of(latest), proposal)
        proposer, prepare = proposer.begin_ballot(self.ballot_number)
        self.ballot_number = proposer.ballot[0]
        accept: Accept | None = None
        for k, voter in enumerate(self.voters):
            self.voters[k], promise = voter.on_prepare(prepare)
            if isinstance(promise, Promise):
                proposer, request = proposer.on_promise(promise)
                accept = accept or request
        if accept is not None:
            self._collect_votes(proposer, accept)

    def _collect_votes(self, proposer: Proposer, accept: Accept) -> None:
        for k, voter in enumerate(self.voters):
            self.voters[k], vote = voter.on_accept(self.now, accept)
            if isinstance(vote, Accepted):
                proposer, decided = proposer.on_accepted(vote)
                if decided is not None:
                    self.voters[k] = self.voters[k].on_decided(decided)


# Command line


def main() -> int:
    """Search and print the results; returns 1 if the guarantee was violated."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--states", type=int, default=2_000_000)
    parser.add_argument("--walks", type=int, default=300)
    arguments = parser.parse_args()
    none: frozenset[str] = frozenset()
    for unserviceable in ((none, none), (none, frozenset({"p1"}))):
        found = _search(unserviceable, arguments.states, arguments.walks)
        if found.fault:
            print(f"{found.fault}; steps:")
            for step in found.steps:
                print(f"  {step}")
            return 1
    return 0


def _search(unserviceable: tuple[frozenset[str], ...], states: int, walks: int) -> SearchResult:
    """Explore, then walk; returns the result with the first violation, or else the last result."""
    started_at = time.monotonic()
    found = explore(Bounds(unserviceable=unserviceable), max_states=states)
    rate = found.states / (time.monotonic() - started_at)
    print(f"breadth first: {found.states} states, depth {found.depth}, {rate:.0f} states/s")
    if found.fault:
        return found
    steps = 0
    for seed in range(walks):
        bounds = ALL_BOUNDS[seed % len(ALL_BOUNDS)]
        found = walk(seed, replace(bounds, unserviceable=unserviceable))
        steps += found.depth
        if found.fault:
            break
    print(f"walks: {steps} steps, {walks} seeds")
    return found


if __name__ == "__main__":
    sys.exit(main())
