"""The core searched through: all that three keepers, some nodes and two who drive can do, in any order.

Moves are those of the real code (core.py) under a network that loses, doubles, delays and reorders: a call is
heard by any part of the keepers, its answers by the caller or by nobody; a keeper or a node crashes at any
point, a keeper may lose its disk; policies may name other keepers; time goes on in ticks. Every state is
put to the guarantee. `explore` goes breadth first through all states up to a bound, `walk` goes one long way
drawn from a seed; both tell a way to a broken state as a list of steps.

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
from itertools import combinations
from typing import NamedTuple

from .core import (
    Accept,
    Accepted,
    Acceptor,
    Decided,
    EpochState,
    LeaseGrant,
    Leaseholder,
    LeaseRequest,
    Prepare,
    Promise,
    Proposer,
    Stage,
    VoterSets,
    effective_policies,
    has_quorum,
    highest_ballot_number,
    policies_named,
)

__all__ = [
    "DEAF",
    "LATE",
    "LONG",
    "LOST",
    "MOVED",
    "SILENT",
    "WAYS",
    "Bounds",
    "Found",
    "Parts",
    "World",
    "begin",
    "broken",
    "explore",
    "moves",
    "settles",
    "walk",
    "way",
]

POLICIES = ("p0", "p1", "p2")


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a search goes: ticks, epochs, crashes, calls of each node, ballots of each driver by epoch."""

    keepers: int = 3
    lease: int = 2  # ticks that a node's lease lasts; a keeper takes it to last one more
    nodes: int = 2
    ticks: int = 9
    epochs: int = 5
    crashes: int = 1
    turns: int = 4
    ballots: int = 2
    unfit: tuple[frozenset[str], ...] = (frozenset(), frozenset())
    hears: float = 4.0  # how often, in a walk, a node hears what keepers answered
    late: int = 0  # ticks that a node goes on after its lease, under the narrower of what it knows
    losses: int = 0  # keepers that lose their disk
    boards: tuple[tuple[int, ...], ...] = ()  # of each policy; (): all keepers are of all boards

    def boards_of(self, state: EpochState) -> VoterSets:
        """The boards of the policies that an epoch names."""
        if not self.boards:
            return (frozenset(range(self.keepers)),) * len(policies_named(state))
        return tuple(frozenset(self.boards[POLICIES.index(one)]) for one in policies_named(state))


# For long ways.
LONG = Bounds(ticks=30, epochs=7, crashes=2, turns=24, ballots=3)


# Longer than most changes take: a node that is silent meanwhile still serves as before.
SILENT = replace(LONG, lease=9, ticks=40)
# And most answers are late: keepers count on a lease that its node has not heard of.
DEAF = replace(SILENT, hears=0.25, turns=40)
# Nodes go on under the narrower once their leases are over.
LATE = replace(LONG, lease=2, late=25, ticks=50, hears=0.3, turns=30)
# One keeper after another gives way to a new one, and disks are lost.
MOVED = replace(LONG, keepers=5, boards=((0, 1, 2), (0, 1, 3), (1, 3, 4)), ticks=24)
LOST = replace(LONG, losses=2, crashes=1, ticks=36)
WAYS = (LONG, SILENT, DEAF, LATE, MOVED, LOST)


@dataclass(frozen=True, slots=True)
class Parts:
    """What is searched: the core's own, or one with a defect."""

    keeper: type[Acceptor] = Acceptor
    node: type[Leaseholder] = Leaseholder
    driver: type[Proposer] = Proposer
    skips: bool = False  # one who drives also wants the new policy right after PREPARE


class World(NamedTuple):
    """One state of everything. asks: calls of nodes that are under way.

    heard: grants on their way to a node; decided: each epoch that a majority voted for; alone: the newest
    policy that was ever served alone, by its number. A keeper without a disk, which knows nothing, is None.
    """

    now: int
    keepers: tuple[Acceptor | None, ...]
    nodes: tuple[Leaseholder, ...]
    drivers: tuple[Proposer, ...]
    asks: tuple[LeaseRequest | None, ...]
    heard: tuple[frozenset[LeaseGrant | Decided], ...]
    decided: tuple[EpochState, ...]
    crashes: int
    alone: int
    wrong: str = ""
    losses: int = 0

    def known(self) -> list[Acceptor]:
        """The keepers that know anything."""
        return [keeper for keeper in self.keepers if keeper is not None]


def begin(bounds: Bounds, parts: Parts) -> World:
    """All at rest under the first policy, no lease granted."""
    first = EpochState(0, Stage.SETTLED, POLICIES[0])
    nodes = tuple(
        parts.node(n, bounds.boards_of(first), want=first, unfit=bounds.unfit[n % len(bounds.unfit)])
        for n in range(bounds.nodes)
    )
    drivers = tuple(parts.driver(n + 1, bounds.boards_of(first), first) for n in range(2))
    return World(
        0,
        tuple(parts.keeper(n, first) for n in range(bounds.keepers)),
        nodes,
        drivers,
        (None,) * bounds.nodes,
        (frozenset(),) * bounds.nodes,
        (first,),
        0,
        0,
    )


def broken(world: World) -> str:
    """How the guarantee is broken in this state; empty where it is kept."""
    if world.wrong:
        return world.wrong
    serving = [(node, node.serves(world.now)) for node in world.nodes]
    serving = [(node, under) for node, under in serving if under]
    for n, (one, under) in enumerate(serving):
        for other, beside in serving[n + 1 :]:
            if not set(under) & set(beside):
                return f"node {one.me} serves under {under} while node {other.me} serves under {beside}"
        if len(under) == 1 and POLICIES.index(under[0]) < world.alone:
            return f"node {one.me} serves under {under[0]} after {POLICIES[world.alone]} was in force"
        if any(policy in one.unfit for policy in under):
            return f"node {one.me} serves under {under}, which it cannot"
        if one.at not in world.decided:
            return f"node {one.me} serves under {one.at}, which was never decided"
    return ""


def _noted(world: World) -> World:
    """With what is served now noted."""
    alone = world.alone
    for node in world.nodes:
        under = node.serves(world.now)
        if len(under) == 1:
            alone = max(alone, POLICIES.index(under[0]))
    return world._replace(alone=alone) if alone != world.alone else world


def _put(items: tuple, n: int, item: object) -> tuple:  # type: ignore[type-arg]
    return (*items[:n], item, *items[n + 1 :])


def _decide(world: World, state: EpochState) -> World:
    """A majority has voted for an epoch."""
    known = next((one for one in world.decided if one.epoch == state.epoch), None)
    if known is not None:
        return world if known == state else world._replace(wrong=f"decided are {known} and {state}")
    if state.stage is Stage.NARROW:
        for node in world.nodes:
            at = node.at
            if (
                node.serves(world.now)
                and at is not None
                and at.epoch == state.epoch - 1
                and state.new in node.unfit
            ):
                return world._replace(wrong=f"{state.new} goes on though node {node.me} cannot serve it")
    return world._replace(decided=tuple(sorted((*world.decided, state))))


def _wishes(decided: EpochState) -> list[EpochState]:
    """What one who drives may want next."""
    epoch = decided.epoch + 1
    if decided.stage is Stage.SETTLED:
        newer = POLICIES[POLICIES.index(decided.policy) + 1 :]
        return [EpochState(epoch, Stage.PREPARE, decided.policy, new) for new in newer[:1]]
    back = EpochState(epoch, Stage.SETTLED, decided.policy)
    if decided.stage is Stage.PREPARE:
        return [EpochState(epoch, Stage.NARROW, decided.policy, decided.new), back]
    return [EpochState(epoch, Stage.SETTLED, decided.new), back]


def _parts_of(count: int) -> list[tuple[int, ...]]:
    """Which keepers a call may reach: any, but none."""
    return [some for size in range(1, count + 1) for some in combinations(range(count), size)]


def moves(world: World, bounds: Bounds, skips: bool = False) -> Iterator[tuple[str, World]]:
    """All that may happen next, each with its name and what it leads to."""
    for name, after in _moves(world, bounds, skips):
        yield name, _noted(after)


def _moves(world: World, bounds: Bounds, skips: bool) -> Iterator[tuple[str, World]]:
    if world.now < bounds.ticks:
        yield "time goes on", world._replace(now=world.now + 1)
    some = _parts_of(bounds.keepers)
    for n, node in enumerate(world.nodes):
        yield from _node_moves(world, bounds, n, node, some)
    for n, driver in enumerate(world.drivers):
        yield from _driver_moves(world, bounds, n, driver, some, skips)
    for n, keeper in enumerate(world.keepers):
        if keeper is None:
            yield from _learned_anew(world, bounds, n, some)
            continue
        if world.losses < bounds.losses and None not in world.keepers:
            lost = world._replace(keepers=_put(world.keepers, n, None), losses=world.losses + 1)
            yield f"keeper {n} loses its disk", lost
        latest = max(world.decided)
        if keeper.decided.epoch < latest.epoch:
            after = keeper.hear_know(Decided(latest))
            yield (
                f"keeper {n} learns epoch {latest.epoch}",
                world._replace(keepers=_put(world.keepers, n, after)),
            )
        if world.crashes < bounds.crashes:
            crashed = world._replace(
                keepers=_put(world.keepers, n, keeper.reborn(world.now, bounds.lease + 1 + bounds.late)),
                crashes=world.crashes + 1,
            )
            yield f"keeper {n} crashes and is back", crashed


def _learned_anew(
    world: World, bounds: Bounds, n: int, some: list[tuple[int, ...]]
) -> Iterator[tuple[str, World]]:
    """A keeper without a disk hears from a majority of the others."""
    for reached in some:
        told = [keeper for k in reached if k != n and (keeper := world.keepers[k]) is not None]
        if n in reached or len(told) < len(reached):
            continue
        if not has_quorum(bounds.boards_of(max(one.decided for one in told)), reached):
            continue
        heard = [(one.decided, one.accepted[1] if one.accepted is not None else None) for one in told]
        kind = type(told[0])
        after = kind.anew(n, world.now, bounds.lease + 1 + bounds.late, heard)
        yield f"keeper {n} learns all from {reached}", world._replace(keepers=_put(world.keepers, n, after))


def _node_moves(
    world: World, bounds: Bounds, n: int, node: Leaseholder, some: list[tuple[int, ...]]
) -> Iterator[tuple[str, World]]:
    ask = world.asks[n]
    if node.turn < bounds.turns:
        began, call = node.begin(world.now)
        nodes = _put(world.nodes, n, began)
        yield f"node {n} asks", world._replace(nodes=nodes, asks=_put(world.asks, n, call))
    if ask is not None:
        for reached in some:
            keepers = world.keepers
            told = set(world.heard[n])
            for k in reached:
                at = keepers[k]
                if at is None:
                    continue
                keeper, answer = at.hear_ask(world.now, ask, bounds.lease + 1, bounds.late)
                keepers = _put(keepers, k, keeper)
                if answer is not None:
                    told.add(answer)
            after = world._replace(
                keepers=keepers, asks=_put(world.asks, n, None), heard=_put(world.heard, n, frozenset(told))
            )
            yield f"keepers {reached} hear node {n}", after
    if world.heard[n]:
        after_node = node
        for answer in sorted(world.heard[n], key=_grants_first):
            if isinstance(answer, LeaseGrant):
                after_node = after_node.hear_grant(answer, bounds.lease, bounds.late)
            else:
                after_node = after_node.hear_know(answer, bounds.boards_of(answer.state))
        heard = _put(world.heard, n, frozenset())
        yield f"node {n} hears", world._replace(nodes=_put(world.nodes, n, after_node), heard=heard)
    if world.crashes < bounds.crashes and node.turn:
        fresh = type(node)(node.me, turn=node.turn, unfit=node.unfit)
        gone = world._replace(
            nodes=_put(world.nodes, n, fresh),
            asks=_put(world.asks, n, None),
            heard=_put(world.heard, n, frozenset()),
            crashes=world.crashes + 1,
        )
        yield f"node {n} crashes and is back", gone


def _grants_first(answer: LeaseGrant | Decided) -> tuple[bool, str]:
    """The order in which a node takes answers of one moment: grants before decisions, each by its content."""
    return isinstance(answer, Decided), repr(answer)


def _driver_moves(
    world: World, bounds: Bounds, n: int, driver: Proposer, some: list[tuple[int, ...]], skips: bool
) -> Iterator[tuple[str, World]]:
    latest = max(world.decided)
    boards = bounds.boards_of(latest)
    majority = [reached for reached in some if has_quorum(boards, reached)]
    if latest.epoch < bounds.epochs and driver.ballot[0] < bounds.ballots * (latest.epoch + 1):
        wishes = _wishes(latest)
        if skips and latest.stage is Stage.PREPARE:
            wishes.append(EpochState(latest.epoch + 1, Stage.SETTLED, latest.new))
        for wish in wishes:
            above = max(highest_ballot_number(k.promised for k in world.known()), driver.ballot[0])
            begun, call = driver._replace(wish=wish, boards=boards, decided=None).begin(above)
            for reached in majority:
                yield from _prepared(world, n, begun, call, reached)
    if driver.value is not None and driver.decided is None:
        call_ = Accept(driver.ballot, driver.value)
        for reached in some:
            yield from _voted(world, n, driver, call_, reached)


def _prepared(
    world: World, n: int, driver: Proposer, call: Prepare, reached: tuple[int, ...]
) -> Iterator[tuple[str, World]]:
    keepers = world.keepers
    for k in reached:
        at = keepers[k]
        if at is None:
            continue
        keeper, answer = at.hear_prepare(call)
        keepers = _put(keepers, k, keeper)
        if isinstance(answer, Promise):
            driver, _ = driver.hear_promise(answer)
    if driver.value is not None:
        after = world._replace(keepers=keepers, drivers=_put(world.drivers, n, driver))
        yield f"keepers {reached} promise {driver.ballot} for {_named(driver.wish)}", after


def _voted(
    world: World, n: int, driver: Proposer, call: Accept, reached: tuple[int, ...]
) -> Iterator[tuple[str, World]]:
    keepers = world.keepers
    voted = False
    decided: EpochState | None = None
    for k in reached:
        at = keepers[k]
        if at is None:
            continue
        keeper, answer = at.hear_accept(world.now, call)
        keepers = _put(keepers, k, keeper)
        if isinstance(answer, Accepted):
            voted = True
            driver, know = driver.hear_accepted(answer)
            if know is not None:
                decided = know.state
    if voted:
        after = world._replace(keepers=keepers, drivers=_put(world.drivers, n, driver))
        after = _decide(after, decided) if decided is not None else after
        yield f"keepers {reached} vote for {_named(call.state)}", after


def _named(state: EpochState) -> str:
    return f"epoch {state.epoch} {state.stage.name}{effective_policies(state)}"


# Searches


@dataclass
class Found:
    """What a search came to. wrong: how the guarantee was broken, by these steps; empty where it was kept."""

    states: int
    depth: int
    wrong: str = ""
    steps: list[str] = field(default_factory=list)


def explore(bounds: Bounds, parts: Parts | None = None, most: int = 100_000) -> Found:
    """Breadth first through all states, up to so many."""
    first = begin(bounds, parts or Parts())
    seen: dict[World, tuple[World, str] | None] = {first: None}
    level = deque([(first, 0)])
    depth = 0
    while level:
        world, depth = level.popleft()
        for name, after in moves(world, bounds):
            if after in seen:
                continue
            seen[after] = (world, name)
            wrong = broken(after)
            if wrong:
                return Found(len(seen), depth + 1, wrong, _way(seen, after))
            if len(seen) >= most:
                return Found(len(seen), depth + 1)
            level.append((after, depth + 1))
    return Found(len(seen), depth)


def _way(seen: dict[World, tuple[World, str] | None], world: World) -> list[str]:
    steps = []
    at: World | None = world
    while at is not None:
        before = seen[at]
        if before is None:
            break
        steps.append(before[1])
        at = before[0]
    return steps[::-1]


# How often a walk takes each kind of move: nodes ask often, and a change goes on slowly, or leases would end
# before anything was done under them.
WEIGHTS = {
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


def _kind(name: str) -> str:
    return next(word for word in name.replace(" goes", "").split() if word in WEIGHTS)


def walk(seed: int, bounds: Bounds, parts: Parts | None = None, most: int = 400) -> Found:
    """One way of so many steps at the most, drawn from a seed: first the kind of move, then one of it."""
    parts = parts or Parts()
    steps: list[str] = []
    for depth, (name, world) in enumerate(way(seed, bounds, parts, most), 1):
        steps.append(name)
        wrong = broken(world)
        if wrong:
            return Found(depth, depth, wrong, steps)
    return Found(len(steps), len(steps))


def way(seed: int, bounds: Bounds, parts: Parts, most: int = 400) -> Iterator[tuple[str, World]]:
    """The steps of such a way, and where each leads."""
    chance = random.Random(seed)
    world = begin(bounds, parts)
    for _ in range(most):
        found = list(moves(world, bounds, parts.skips))
        if not found:
            return
        kinds: dict[str, list[tuple[str, World]]] = {}
        for name, after in found:
            kinds.setdefault(_kind(name), []).append((name, after))
        weights = WEIGHTS | {"hears": bounds.hears}
        (kind,) = chance.choices(list(kinds), [weights[kind] for kind in kinds])
        name, world = chance.choice(kinds[kind])
        yield name, world


def settles(world: World, bounds: Bounds) -> bool:
    """Whether a change comes to its end from this state, once all hear one another and nothing crashes."""
    nodes = world.nodes
    now = world.now
    keepers = world.known()
    count = highest_ballot_number([*(k.promised for k in keepers), *(d.ballot for d in world.drivers)])
    waits = bounds.lease + bounds.late
    for _ in range(12 + 4 * waits):
        latest = max([k.decided for k in keepers])
        keepers = [keeper.hear_know(Decided(latest)) for keeper in keepers]
        for n in range(len(nodes)):
            for _ in range(2):  # the first call may only tell it of a later epoch
                node, ask = nodes[n].begin(now)
                for k in range(len(keepers)):
                    keepers[k], answer = keepers[k].hear_ask(now, ask, bounds.lease + 1, bounds.late)
                    if isinstance(answer, LeaseGrant):
                        node = node.hear_grant(answer, bounds.lease, bounds.late)
                    elif answer is not None:
                        node = node.hear_know(answer, bounds.boards_of(answer.state))
                nodes = _put(nodes, n, node)
        if latest.stage is Stage.SETTLED and latest.epoch > 0:
            fit = [node for node in nodes if latest.policy not in node.unfit]
            return all(node.serves(now) == (latest.policy,) for node in fit)
        able = not any(latest.new in node.unfit for node in nodes)
        wish = _wishes(latest)[0 if able else -1]
        count += 1
        driver, call = Proposer(1, bounds.boards_of(latest), wish).begin(count)
        count = driver.ballot[0]
        ask_votes: Accept | None = None
        for k in range(len(keepers)):
            keepers[k], promise = keepers[k].hear_prepare(call)
            if isinstance(promise, Promise):
                driver, asked = driver.hear_promise(promise)
                ask_votes = ask_votes or asked
        if ask_votes is not None:
            for k in range(len(keepers)):
                keepers[k], vote = keepers[k].hear_accept(now, ask_votes)
                if isinstance(vote, Accepted):
                    driver, know = driver.hear_accepted(vote)
                    if know is not None:
                        keepers[k] = keepers[k].hear_know(know)
        now += 1
    return False


def main() -> int:
    """Search, and tell what was found; 1 if the guarantee was broken."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--states", type=int, default=2_000_000)
    parser.add_argument("--walks", type=int, default=300)
    words = parser.parse_args()
    nobody: frozenset[str] = frozenset()
    for unfit in ((nobody, nobody), (nobody, frozenset({"p1"}))):
        bounds = Bounds(unfit=unfit)
        began = time.monotonic()
        found = explore(bounds, most=words.states)
        took = time.monotonic() - began
        print(f"breadth first: {found.states} states, {found.depth} deep, {found.states / took:.0f} a second")
        if not found.wrong:
            steps = 0
            for seed in range(words.walks):
                found = walk(seed, replace(WAYS[seed % len(WAYS)], unfit=unfit))
                steps += found.depth
                if found.wrong:
                    break
            print(f"walks: {steps} steps by {words.walks} seeds")
        if found.wrong:
            print(f"{found.wrong}, by")
            for step in found.steps:
                print(f"  {step}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
