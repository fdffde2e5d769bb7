"""What a tier can reach that knows of its servers by lists alone: a computed model, no processes.

    python -m benchmarks.lists_only [--nodes 200] [--loads 0.7,0.85] [--seconds 300] [--seed 1]

24 servers of three speeds, one core each, first come first served; Poisson arrivals at random nodes; a list
each second that tells what every server holds at that moment, heard by all at once. Each rule is given what
nodes of a tier could know: the last list, the time since, their own requests and answers. Prints a Markdown
table.
"""

from __future__ import annotations

import argparse
import random
import sys
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from itertools import accumulate

from hollybay.testbed.fake_environment import MEAN_WORK, SHARES, WORK, usual_kinds

SERVERS = 24
STEP = 0.05  # s between two looks at what is idle and what waits
EVERY = 1.0  # s between two lists

SPEEDS = [kind.speed for kind in usual_kinds(SERVERS)]


class Known:
    """What a rule may look at when a node draws."""

    def __init__(self, nodes: int, rate: float, chance: random.Random) -> None:
        self.nodes = nodes
        self.rate = rate
        self.chance = chance
        self.listed = [0] * SERVERS  # requests held, as the last list tells
        self.before = [0] * SERVERS  # the list before it
        self.since = 0.0  # s since the last list
        self.now = 0.0
        self.drawn = [0] * nodes  # requests that each node has sent
        self.answers: list[dict[int, tuple[float, int]]] = [{} for _ in range(nodes)]  # when, and queue told


Rule = Callable[[Known, int], int]


def _pick(chance: random.Random, weights: list[float]) -> int:
    bounds = list(accumulate(weights))
    return min(bisect_right(bounds, chance.random() * bounds[-1]), SERVERS - 1)


def draw(known: Known, node: int) -> int:
    """By capacity, looking at nothing."""
    return _pick(known.chance, SPEEDS)


def _tilted(listed: list[int], rate: float, span: float) -> list[float]:
    mean = sum(h * s for h, s in zip(listed, SPEEDS, strict=True)) / sum(SPEEDS)
    turn = max(1.0, rate / SERVERS * span)
    return [s * max(0.1, min(2.0, 1.0 + (mean - h) / turn)) for s, h in zip(SPEEDS, listed, strict=True)]


def tilted(span: float) -> Rule:
    """By capacity, more where the list tells of less: what is above the mean is worked off over span (s)."""
    return lambda known, node: _pick(known.chance, _tilted(known.listed, known.rate, span))


def spread(known: Known, node: int) -> int:
    """The same, but each node goes over to a new list in its own part of the time until the next."""
    listed = known.listed if known.since >= EVERY * node / known.nodes else known.before
    return _pick(known.chance, _tilted(listed, known.rate, 2.0))


def systematic(known: Known, node: int) -> int:
    """By capacity without chance: each node goes through a low-discrepancy sequence from its own offset."""
    at = (node / known.nodes + 0.6180339887498949 * known.drawn[node]) % 1.0
    bounds = list(accumulate(SPEEDS))
    return min(bisect_right(bounds, at * bounds[-1]), SERVERS - 1)


def told(known: Known, node: int) -> int:
    """Of two draws the one whose last answer to this node, within 2 s, told of the shorter queue."""
    heard = known.answers[node]

    def queue(server: int) -> float:
        at, waiting = heard.get(server, (-9.0, 0))
        return waiting if known.now - at < 2.0 else 1.0

    return min((draw(known, node) for _ in range(2)), key=queue)


class Vessel:
    """All nodes fill the servers as water fills a vessel, from the queues that the list tells."""

    def __init__(self, steps: int) -> None:
        self.steps = steps
        self.of: list[int] | None = None
        self.shares: list[list[float]] = []

    def __call__(self, known: Known, node: int) -> int:
        if self.of is not known.listed:
            self.of = known.listed
            self.shares = self._filled(known)
        step = min(self.steps - 1, int(known.since / EVERY * self.steps))
        return _pick(known.chance, self.shares[step])

    def _filled(self, known: Known) -> list[list[float]]:
        ahead = [held * MEAN_WORK / speed for held, speed in zip(known.listed, SPEEDS, strict=True)]
        span = EVERY / self.steps
        shares = []
        for _ in range(self.steps):
            work = known.rate * span * MEAN_WORK
            size = level = filled = 0.0
            order = sorted(range(SERVERS), key=lambda n: ahead[n])
            for place, n in enumerate(order):
                size += SPEEDS[n]
                filled += ahead[n] * SPEEDS[n]
                level = (work + filled) / size
                if place + 1 == SERVERS or level <= ahead[order[place + 1]]:
                    break
            poured = [max(0.0, level - a) * s for a, s in zip(ahead, SPEEDS, strict=True)]
            shares.append(poured)
            ahead = [max(0.0, a + p / s - span) for a, p, s in zip(ahead, poured, SPEEDS, strict=True)]
        return shares


def sees_all(known: Known, node: int) -> int:
    """Never called: the floor, see played."""
    raise AssertionError


def played(rule: Rule, nodes: int, load: float, seconds: float, seed: int) -> tuple[float, float]:
    """Idle while queued (0 to 1), and the 99th percentile (ms) of the first class, under a rule."""
    chance = random.Random(seed)
    known = Known(nodes, load * sum(SPEEDS) / MEAN_WORK, chance)
    names = list(SHARES)
    ends: list[deque[float]] = [deque() for _ in SPEEDS]  # of what is held, in order
    idle: list[float] = []
    times: list[float] = []
    answers: deque[tuple[float, int, int]] = deque()
    now = listed = looked = 0.0
    while now < seconds:
        now += chance.expovariate(known.rate)
        while looked <= now:
            held = [sum(end > looked for end in queue) for queue in ends]
            idle.append(min(sum(h == 0 for h in held), sum(max(0, h - 2) for h in held)) / SERVERS)
            looked += STEP
        while listed <= now:
            known.before, known.listed = known.listed, [sum(e > listed for e in queue) for queue in ends]
            listed += EVERY
        known.now, known.since = now, now - (listed - EVERY)
        while answers and answers[0][0] <= now:
            at, node, server = answers.popleft()
            known.answers[node][server] = (at, max(0, sum(e > at for e in ends[server]) - 1))
        for queue in ends:
            while queue and queue[0] <= now - 2.0:
                queue.popleft()
        node = chance.randrange(nodes)
        name = chance.choices(names, list(SHARES.values()))[0]
        work = WORK[name] * chance.uniform(0.7, 1.3)
        if rule is sees_all:
            free = [n for n, queue in enumerate(ends) if not queue or queue[-1] <= now]
            fastest = [n for n in free if SPEEDS[n] == max(SPEEDS[m] for m in free)]
            server = (
                chance.choice(fastest)
                if free
                else min(range(SERVERS), key=lambda n: ends[n][-1] + work / SPEEDS[n])
            )
        else:
            server = rule(known, node)
        known.drawn[node] += 1
        end = max(now, ends[server][-1] if ends[server] else now) + work / SPEEDS[server]
        ends[server].append(end)
        answers.append((end, node, server))
        if name == names[0]:
            times.append(end - now)
    times.sort()
    return sum(idle) / len(idle), 1000 * times[int(0.99 * len(times))]


RULES: dict[str, Callable[[], Rule]] = {
    "one that sees everything": lambda: sees_all,
    "draw by capacity": lambda: draw,
    "tilted by told loads, over 2 s (as today)": lambda: tilted(2.0),
    "the same, over 1 s": lambda: tilted(1.0),
    "the same, over 0.5 s": lambda: tilted(0.5),
    "the same, over 0.25 s": lambda: tilted(0.25),
    "as today, each node's list in its own part of the second": lambda: spread,
    "systematic, each node from its own offset": lambda: systematic,
    "two draws, the shorter queue by the node's own answers": lambda: told,
    "filled like a vessel, 20 steps a second": lambda: Vessel(20),
    "filled like a vessel, 2 steps a second": lambda: Vessel(2),
}


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--loads", default="0.7,0.85")
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    words = parser.parse_args()
    loads = list(map(float, words.loads.split(",")))
    print("| rule | " + " | ".join(f"idle while queued, {load:g} | p99 ms" for load in loads) + " |")
    print("| --- " * (1 + 2 * len(loads)) + "|")
    for name, make in RULES.items():
        cells = []
        for load in loads:
            idle, p99 = played(make(), words.nodes, load, words.seconds, words.seed)
            cells.append(f"{idle:.3f} | {p99:.0f}")
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
