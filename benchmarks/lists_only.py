"""Model of a cluster whose nodes learn the load of servers from lists alone; no processes are started.

    python -m benchmarks.lists_only [--nodes 200] [--loads 0.7,0.85] [--seconds 300] [--seed 1]

24 servers of three speeds, one core each, first come first served; Poisson arrivals at random nodes. Every
second all nodes receive a list with the requests in flight at each server. A balancing rule sees only what a
node could know: the last list, the time since, and its own requests and responses. Prints a Markdown table.
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
SAMPLE_INTERVAL_S = 0.05  # between two samples of idle servers and queued requests
LIST_INTERVAL_S = 1.0  # between two lists

SPEEDS = [kind.speed for kind in usual_kinds(SERVERS)]


class Observations:
    """The information that a rule may use to choose a server for a request."""

    def __init__(self, nodes: int, rate: float, chance: random.Random) -> None:
        self.nodes = nodes
        self.rate = rate
        self.chance = chance
        self.listed = [0] * SERVERS  # requests in flight at each server, by the last list
        self.previous = [0] * SERVERS  # the same by the list before it
        self.list_age_s = 0.0  # time since the last list
        self.now = 0.0
        self.sent = [0] * nodes  # requests that each node has sent
        # For each node, by server: when its last response arrived, and the queue length that it reported.
        self.reports: list[dict[int, tuple[float, int]]] = [{} for _ in range(nodes)]


Rule = Callable[[Observations, int], int]


def _pick(chance: random.Random, weights: list[float]) -> int:
    bounds = list(accumulate(weights))
    return min(bisect_right(bounds, chance.random() * bounds[-1]), SERVERS - 1)


def draw(seen: Observations, node: int) -> int:
    """Random, weighted by capacity, without load information."""
    return _pick(seen.chance, SPEEDS)


def _load_weights(listed: list[int], rate: float, span: float) -> list[float]:
    mean = sum(h * s for h, s in zip(listed, SPEEDS, strict=True)) / sum(SPEEDS)
    scale = max(1.0, rate / SERVERS * span)
    return [s * max(0.1, min(2.0, 1.0 + (mean - h) / scale)) for s, h in zip(SPEEDS, listed, strict=True)]


def load_weighted(span: float) -> Rule:
    """By capacity and listed load: servers above the mean load return to it over `span` seconds."""
    return lambda seen, node: _pick(seen.chance, _load_weights(seen.listed, seen.rate, span))


def staggered(seen: Observations, node: int) -> int:
    """Like load_weighted, but nodes start to use a new list at different times within the list interval."""
    listed = seen.listed if seen.list_age_s >= LIST_INTERVAL_S * node / seen.nodes else seen.previous
    return _pick(seen.chance, _load_weights(listed, seen.rate, 2.0))


def systematic(seen: Observations, node: int) -> int:
    """By capacity, not random: each node follows a low-discrepancy sequence from its own offset."""
    at = (node / seen.nodes + 0.6180339887498949 * seen.sent[node]) % 1.0
    bounds = list(accumulate(SPEEDS))
    return min(bisect_right(bounds, at * bounds[-1]), SERVERS - 1)


def shorter_reported_queue(seen: Observations, node: int) -> int:
    """Of two random servers, the one that reported the shorter queue to this node within the last 2 s."""
    reports = seen.reports[node]

    def queue(server: int) -> float:
        at, waiting = reports.get(server, (-9.0, 0))
        return waiting if seen.now - at < 2.0 else 1.0

    return min((draw(seen, node) for _ in range(2)), key=queue)


class WaterFilling:
    """Water-filling: from the listed queues, new work goes to the shortest queues until all are equal."""

    def __init__(self, steps: int) -> None:
        self.steps = steps
        self.computed_for: list[int] | None = None
        self.shares: list[list[float]] = []

    def __call__(self, seen: Observations, node: int) -> int:
        if self.computed_for is not seen.listed:
            self.computed_for = seen.listed
            self.shares = self._compute_shares(seen)
        step = min(self.steps - 1, int(seen.list_age_s / LIST_INTERVAL_S * self.steps))
        return _pick(seen.chance, self.shares[step])

    def _compute_shares(self, seen: Observations) -> list[list[float]]:
        ahead = [held * MEAN_WORK / speed for held, speed in zip(seen.listed, SPEEDS, strict=True)]
        span = LIST_INTERVAL_S / self.steps
        shares = []
        for _ in range(self.steps):
            work = seen.rate * span * MEAN_WORK
            size = level = filled = 0.0
            order = sorted(range(SERVERS), key=lambda n: ahead[n])
            for place, n in enumerate(order):
                size += SPEEDS[n]
                filled += ahead[n] * SPEEDS[n]
                level = (work + filled) / size
                if place + 1 == SERVERS or level <= ahead[order[place + 1]]:
                    break
            added = [max(0.0, level - a) * s for a, s in zip(ahead, SPEEDS, strict=True)]
            shares.append(added)
            ahead = [max(0.0, a + p / s - span) for a, p, s in zip(ahead, added, SPEEDS, strict=True)]
        return shares


def sees_all(seen: Observations, node: int) -> int:
    """Marks the rule with full knowledge, a lower bound. `simulate` implements it; it is never called."""
    raise AssertionError


def simulate(rule: Rule, nodes: int, load: float, seconds: float, seed: int) -> tuple[float, float]:
    """Simulate a rule; gives idle servers while requests queue (0 to 1), and p99 of the first class (ms)."""
    chance = random.Random(seed)
    seen = Observations(nodes, load * sum(SPEEDS) / MEAN_WORK, chance)
    names = list(SHARES)
    ends: list[deque[float]] = [deque() for _ in SPEEDS]  # end times of the requests at each server, in order
    idle: list[float] = []
    times: list[float] = []
    responses: deque[tuple[float, int, int]] = deque()
    now = next_list_at = next_sample_at = 0.0
    while now < seconds:
        now += chance.expovariate(seen.rate)
        while next_sample_at <= now:
            in_flight = [sum(end > next_sample_at for end in queue) for queue in ends]
            idle.append(min(sum(h == 0 for h in in_flight), sum(max(0, h - 2) for h in in_flight)) / SERVERS)
            next_sample_at += SAMPLE_INTERVAL_S
        while next_list_at <= now:
            seen.previous, seen.listed = seen.listed, [sum(e > next_list_at for e in q) for q in ends]
            next_list_at += LIST_INTERVAL_S
        seen.now, seen.list_age_s = now, now - (next_list_at - LIST_INTERVAL_S)
        while responses and responses[0][0] <= now:
            at, node, server = responses.popleft()
            seen.reports[node][server] = (at, max(0, sum(e > at for e in ends[server]) - 1))
        for queue in ends:
            while queue and queue[0] <= now - 2.0:
                queue.popleft()
        node = chance.randrange(nodes)
        name = chance.choices(names, list(SHARES.values()))[0]
        work = WORK[name] * chance.uniform(0.7, 1.3)
        if rule is sees_all:
            idle_servers = [n for n, queue in enumerate(ends) if not queue or queue[-1] <= now]
            fastest = [n for n in idle_servers if SPEEDS[n] == max(SPEEDS[m] for m in idle_servers)]
            server = (
                chance.choice(fastest)
                if idle_servers
                else min(range(SERVERS), key=lambda n: ends[n][-1] + work / SPEEDS[n])
            )
        else:
            server = rule(seen, node)
        seen.sent[node] += 1
        end = max(now, ends[server][-1] if ends[server] else now) + work / SPEEDS[server]
        ends[server].append(end)
        responses.append((end, node, server))
        if name == names[0]:
            times.append(end - now)
    times.sort()
    return sum(idle) / len(idle), 1000 * times[int(0.99 * len(times))]


RULES: dict[str, Callable[[], Rule]] = {
    "one that sees everything": lambda: sees_all,
    "draw by capacity": lambda: draw,
    "tilted by told loads, over 2 s (as today)": lambda: load_weighted(2.0),
    "the same, over 1 s": lambda: load_weighted(1.0),
    "the same, over 0.5 s": lambda: load_weighted(0.5),
    "the same, over 0.25 s": lambda: load_weighted(0.25),
    "as today, each node's list in its own part of the second": lambda: staggered,
    "systematic, each node from its own offset": lambda: systematic,
    "two draws, the shorter queue by the node's own answers": lambda: shorter_reported_queue,
    "filled like a vessel, 20 steps a second": lambda: WaterFilling(20),
    "filled like a vessel, 2 steps a second": lambda: WaterFilling(2),
}


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--loads", default="0.7,0.85")
    parser.add_argument("--seconds", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    loads = list(map(float, options.loads.split(",")))
    print("| rule | " + " | ".join(f"idle while queued, {load:g} | p99 ms" for load in loads) + " |")
    print("| --- " * (1 + 2 * len(loads)) + "|")
    for name, make in RULES.items():
        cells = []
        for load in loads:
            idle, p99 = simulate(make(), options.nodes, load, options.seconds, options.seed)
            cells.append(f"{idle:.3f} | {p99:.0f}")
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
