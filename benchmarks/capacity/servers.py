"""The list of servers in the decision module: whole, one line changed, and the connections it leads to."""

from __future__ import annotations

import gc
import random

from hollow.meter import metered
from lynxrouter import Balancer
from lynxrouter import interface as api

from . import samples, target
from .measurement import Figures

__all__ = ["FEW_NODES", "changed_server", "connections", "whole_list", "whole_list_few_nodes"]

MS, SECOND, MIB = 1_000_000, 1_000_000_000, 1 << 20
CHANGES = 20
# How many nodes are told where that does not matter: each server that is new costs a walk over all of them.
FEW_NODES = 100
SERVER_TIME = 10 * MS  # that a request takes at a server


def whole_list(size: int) -> Figures:
    """A whole list of servers into a module that knows none."""
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
    """The same with few nodes told, so that the rest of the work and the memory show up to the whole size."""
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


def connections(size: int) -> Figures:
    """Servers that one node reaches while an idle connection is kept, at its share of the peak.

    Time is virtual; each request is answered after SERVER_TIME.
    """
    settings = samples.settings()
    balancer = _filled(size, target.NODES)
    rate = target.REQUESTS_A_SECOND / target.NODES
    span = int(settings.idle_timeout * api.IDLE_PART)
    count = int(rate * span / SECOND)
    reached: dict[api.ServerId, int] = {}
    out: list[tuple[int, api.Send]] = []
    now = 10 * SECOND
    with metered() as spent:
        for number in range(count):
            now += int(SECOND / rate)
            while out and out[0][0] <= now:
                due, sent = out.pop(0)
                outcome = api.Outcome(sent.id, 0, sent.server, api.Result.OK, SERVER_TIME, final=True)
                balancer.handle(due, outcome)
            for action in balancer.handle(now, api.Request(number, 0, 500 * MS)):
                if isinstance(action, api.Send):
                    reached[action.server] = reached.get(action.server, 0) + 1
                    out.append((now + SERVER_TIME, action))
    return Figures(
        {"connections": float(len(reached)), "request_cpu_us": 1e6 * spent.cpu_s / count},
        spent,
        {"requests": float(count)},
    )


def _filled(size: int, nodes: int = FEW_NODES) -> Balancer:
    balancer = Balancer(samples.settings(nodes), 1, SECOND)
    balancer.handle(2 * SECOND, samples.server_list(size))
    gc.collect()
    return balancer
