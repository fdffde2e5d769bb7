"""Cost of the server list in the decision module: a complete list, a change, reviews, and connections."""

from __future__ import annotations

import gc
import json
import random
from heapq import heappop, heappush

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.balancing.estimates import REVIEW_INTERVAL_NS
from hollybay.hollow.meter import metered
from hollybay.proxy.discovery_connection import MAX_LIST_BYTES
from hollybay.proxy.discovery_list import parse_discovery_list
from hollybay.proxy.name_table import NameTable
from hollybay.units import MS, SECOND

from . import samples, target
from .measurement import Figures

__all__ = [
    "FEW_NODES",
    "changed_server",
    "connections",
    "list_read",
    "review",
    "whole_list",
    "whole_list_few_nodes",
]

MIB = 1 << 20
CHANGES = 20
REVIEWS = 10
# Number of nodes in the settings where it does not matter: each new server costs a loop over all nodes.
FEW_NODES = 100
SERVER_TIME = 10 * MS  # service time of a request


class _VirtualNode:
    """Carries out the actions of the module in virtual time: responses after SERVER_TIME, timers when due."""

    def __init__(self, balancer: Balancer, now: int) -> None:
        self.balancer = balancer
        self.now = now
        self.reached: set[api.ServerId] = set()
        self._due: list[tuple[int, int, api.Event]] = []
        self._count = 0

    def advance(self, until: int) -> None:
        """Advance the clock, and handle all events that are due by then."""
        while self._due and self._due[0][0] <= until:
            self.now, _, event = heappop(self._due)
            self.handle(event)
        self.now = until

    def handle(self, event: api.Event) -> None:
        """Pass an event to the module, and carry out its actions."""
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, api.Send):
                self.reached.add(action.server)
                outcome = api.AttemptFinished(
                    action.id, 0, action.server, api.Result.OK, SERVER_TIME, final=True
                )
                self._schedule(SERVER_TIME, outcome)
            elif isinstance(action, api.SetTimer):
                self._schedule(action.delay, api.TimerFired(action.token))

    def _schedule(self, delay: int, event: api.Event) -> None:
        self._count += 1
        heappush(self._due, (self.now + delay, self._count, event))


def whole_list(size: int) -> Figures:
    """Pass a complete list to a module that has no servers yet."""
    return _whole_list(size, target.NODES)


def _whole_list(size: int, nodes: int) -> Figures:
    listing = samples.server_list(size)
    balancer = Balancer(samples.settings(nodes), 1, SECOND)
    with metered(memory=True) as spent:
        balancer.handle(2 * SECOND, listing)
    assert len(balancer.servers) == size
    return Figures(
        {"cpu_s": spent.cpu_s, "memory_kb": spent.memory / 1024}, spent, {"peak_mb": spent.peak / MIB}
    )


def whole_list_few_nodes(size: int) -> Figures:
    """Pass a complete list with few nodes in the settings, to measure the other costs up to the full size."""
    return _whole_list(size, FEW_NODES)


def changed_server(size: int) -> Figures:
    """One server that is replaced by a new process, in a module that knows all."""
    balancer = _filled(size)
    chance = random.Random(1)
    changes = min(CHANGES, size)
    lines = [samples.server(n, up_since=3 * SECOND) for n in chance.sample(range(size), changes)]
    with metered() as spent:
        for n, line in enumerate(lines):
            balancer.handle(4 * SECOND + n * MS, api.ServerList(api.ListKind.CHANGES, (line,), 2 + n))
    return Figures({"cpu_ms": 1000 * spent.cpu_s / changes}, spent)


def review(size: int) -> Figures:
    """The periodic review of all servers, every half second, with no changes and no requests."""
    balancer = _filled(size)
    now = 3 * SECOND
    with metered() as spent:
        for _ in range(REVIEWS):
            balancer.handle(now, api.TimerFired(1))
            now += REVIEW_INTERVAL_NS
    values = {"cpu_ms": 1000 * spent.cpu_s / REVIEWS}
    values["core_percent"] = values["cpu_ms"] / 1000 / (REVIEW_INTERVAL_NS / SECOND) * 100
    return Figures(values, spent)


def list_read(size: int) -> Figures:
    """Parse and check a complete list as sent by discovery, without the decision module."""
    lines = [
        {
            "id": f"s-{n:06d}",
            "addr": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
            "zone": f"z{n % 17}",
            "kind": "m",
            "cell": n // samples.SERVERS_IN_A_CELL,
            "state": "SERVING",
            "weight": 1.5,
            "started_ms": 1_700_000_000_000 + n,
        }
        for n in range(size)
    ]
    body = json.dumps({"version": 1, "full": True, "servers": lines}).encode()
    names = NameTable({}, {}, {f"z{n}": n for n in range(17)}, {"m": 0}, ())
    with metered() as spent:
        parse_discovery_list(json.loads(body), names)
    return Figures(
        {"cpu_s": spent.cpu_s}, spent, {"body_mib": len(body) / MIB, "limit_mib": MAX_LIST_BYTES / MIB}
    )


def connections(size: int) -> Figures:
    """Number of servers that a node sends requests to within the idle timeout, at its share of the peak rate.

    Time is virtual; each response arrives after SERVER_TIME.
    """
    settings = samples.settings()
    balancer = _filled(size, target.NODES)
    rate = target.REQUESTS_A_SECOND / target.NODES
    span = int(settings.idle_timeout * api.IDLE_CLOSE_SHARE)
    count = int(rate * span / SECOND)
    node = _VirtualNode(balancer, 10 * SECOND)
    with metered() as spent:
        for number in range(count):
            node.advance(node.now + int(SECOND / rate))
            node.handle(api.Request(number, 0, 500 * MS))
    return Figures(
        {"connections": float(len(node.reached)), "request_cpu_us": 1e6 * spent.cpu_s / count},
        spent,
        {"requests": float(count)},
    )


def _filled(size: int, nodes: int = FEW_NODES) -> Balancer:
    balancer = Balancer(samples.settings(nodes), 1, SECOND)
    balancer.handle(2 * SECOND, samples.server_list(size))
    gc.collect()
    return balancer
