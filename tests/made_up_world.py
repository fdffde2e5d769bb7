"""A made-up world around one balancer, drawn from a fixed seed: for recording only, no rule is checked here.

It plays what runs of whole nodes seldom or never show: limits of every kind, second copies, word from other
nodes, servers that start, drain, fail or come back, calls that fail, and events that are late or unknown.
"""

from __future__ import annotations

import random
from heapq import heappop, heappush
from typing import Any

from hollybay.balancing.interface import (
    DeduplicationScope,
    Effect,
    ListKind,
    Prices,
    Result,
    ServerState,
    Tenant,
    WeightMode,
)
from hollybay.testbed.balancer_harness import CLASSES, MS, SECOND, make_settings

from . import recorded_decisions as recorded

__all__ = ["WORLDS", "MadeUpWorld"]

START = 5 * SECOND
STREAMED = 0.1  # of all answers
WORK = 60 * MS  # of the first class at a server of size 1, and as much more for each further one
TENANTS = tuple(Tenant(f"t{n}", 0.25, 50.0 * n) for n in range(4))
# The settings of each world, and how it goes; load is relative to what its servers can do.
WORLDS: dict[str, dict[str, Any]] = {
    "world-copies": {
        "weight_mode": WeightMode.LIVE,
        "load": 0.15,
        "limited": 0.8,
        "slow": 0.05,
        "well": True,
    },
    "world-nominal": {
        "weight_mode": WeightMode.NOMINAL,
        "load": 0.9,
        "tenants": TENANTS,
        "max_retry_after": SECOND,
    },
    "world-rough": {"weight_mode": WeightMode.ROUGH, "load": 0.6, "zone": 1, "crossing": 0.2, "nodes": 3},
    "world-none": {
        "weight_mode": WeightMode.NONE,
        "load": 1.6,
        "cancel_allowed": False,
        "max_retry_after": SECOND,
    },
    "world-must-ask": {
        "weight_mode": WeightMode.LIVE,
        "load": 0.15,
        "poll_required": True,
        "change": 60 * SECOND,
    },
    "world-alone": {"weight_mode": WeightMode.LIVE, "load": 0.7, "zones": 1, "nodes": 1, "lost": 0.03},
    "world-peers": {"weight_mode": WeightMode.LIVE, "load": 0.7, "nodes": 40, "peers": 39, "zones": 3},
    "world-peers-listless": {
        "weight_mode": WeightMode.NONE,
        "load": 0.5,
        "nodes": 8,
        "peers": 7,
        "lost": 0.02,
    },
    "world-lag": {"weight_mode": WeightMode.LIVE, "load": 0.8, "lag": 300 * MS, "max_retry_after": SECOND},
    "world-single": {
        "weight_mode": WeightMode.NOMINAL,
        "load": 0.8,
        "hedging_allowed": False,
        "max_attempts": 4,
    },
    "world-drains": {
        "weight_mode": WeightMode.LIVE,
        "load": 0.3,
        "limited": 1.0,
        "change": 40 * MS,
        "hasty": True,
    },
    "world-told": {
        "weight_mode": WeightMode.NOMINAL,
        "load": 0.4,
        "nodes": 30,
        "reported": True,
        "lost": 0.02,
        "routes": 5000,
        "max_retry_after": SECOND,
        "tenants": TENANTS,
        "denied": True,
        "events": 4000,
    },
    "world-reports": {
        "weight_mode": WeightMode.LIVE,
        "load": 0.6,
        "zones": 3,
        "reported": True,
        "lost": 0.05,
    },
}


class MadeUpWorld:
    """Servers, clients, discovery and other nodes, as events that fall due."""

    def __init__(self, balancer: type, name: str, *, load: float, events: int = 2000, **ways: Any) -> None:
        self.chance = random.Random(f"made-up world {name}")
        self.limited: float = ways.pop("limited", 0.3)
        self.slow: float = ways.pop("slow", 0.03)
        self.lost: float = ways.pop("lost", 0.01)
        self.well: bool = ways.pop("well", False)  # no server fails and no attempt is cut short
        self.hasty: bool = ways.pop("hasty", False)  # clients have little time for more than an attempt
        self.change: int = ways.pop("change", 400 * MS)  # between two changes of the list, on average
        self.routes: int = ways.pop("routes", 2)
        self.denied: bool = ways.pop("denied", False)  # a tenant is turned away for some seconds
        self.lag: int = ways.pop("lag", 0)
        self.peers: int = ways.pop("peers", 0)
        if ways.pop("reported", False):
            ways["report_fields"] = ("errors", "rate", "q")
        self.reported = bool(ways.get("report_fields"))
        self.settings = make_settings(prices=Prices(cross_zone=ways.pop("crossing", 0.02)), **ways)
        self.now = START
        self.balancer = balancer(self.settings, len(name), START)
        self.events = events
        self.due: list[tuple[int, int, list[Any]]] = []
        self.count = 0
        self.requests: dict[int, list[Any]] = {}  # class, deadline, servers by attempt, those out, over
        self.sending: set[int] = set()
        self.version = 0
        self.servers = [self._server(n) for n in range(14)]
        sizes = sum(line[5] for line in self.servers)
        self.every = int(WORK * (1 + len(CLASSES)) / 2 / (load * sizes))

    def _server(self, n: int) -> list[Any]:
        """A line of the list: id, zone, kind, cell, state, weight, start of its process."""
        zones, kinds = self.settings.zones, self.settings.kinds
        return [[f"s{n:02}"], n % zones, n % kinds, n // 4, ServerState.READY, 1.0 + 0.5 * (n % 3), 0]

    # Time

    def after(self, delay: int, event: list[Any]) -> None:
        self.count += 1
        heappush(self.due, (self.now + delay, self.count, event))

    def run(self) -> None:
        """Play until so many events were given."""
        self.after(0, ["tell", ListKind.CACHED if self.settings.poll_required else ListKind.FULL])
        self.after(MS, ["ask"])
        self.after(SECOND, ["change"])
        self.after(50 * MS, ["stray"])
        if self.peers:
            self.after(100 * MS, ["hear"])
        for _ in range(self.events):
            given = None
            while given is None:
                due, _, event = heappop(self.due)
                self.now = max(self.now, due)
                given = self._event(event)
            for action in recorded.encode_actions(
                self.balancer.handle(self.now, recorded.decode_event(given))
            ):
                self._act(action)

    def _event(self, event: list[Any]) -> list[Any] | None:
        """What the balancer is given for something that is due; None: nothing."""
        what = event[0]
        if what == "ask":
            return self._ask()
        if what == "tell":
            return self._tell(event[1])
        if what == "change":
            return self._change()
        if what == "hear":
            return self._hear()
        if what == "stray":
            return self._stray()
        if what == "outcome":
            return self._outcome(event)
        if what == "gone":
            self.requests[event[1]][4] = True
        if what in ("whole", "started") and self.requests[event[1]][4]:
            return None
        if what == "whole":
            self.sending.discard(event[1])
        return event

    # Requests

    def _ask(self) -> list[Any]:
        chance = self.chance
        self.after(1 + int(chance.expovariate(1.0 / self.every)), ["ask"])
        rid = len(self.requests) + 1
        cls = chance.randrange(len(CLASSES))
        left = CLASSES[cls].deadline
        waited = int(chance.random() * self.lag) if self.lag and self.now // SECOND % 3 else 0
        if waited and chance.random() < 0.2:
            left = int(0.02 * left * chance.random())
        elif chance.random() < 0.03:
            left = int(chance.random() * 100 * MS)
        elif self.hasty:
            left = left // 3
        keyed = CLASSES[cls].effect == Effect.KEYED
        sending = chance.random() < 0.05
        tenant = chance.randrange(4)
        self.requests[rid] = [cls, self.now + left, [], set(), False, tenant]
        if sending:
            self.sending.add(rid)
            self.after(int(chance.expovariate(1 / (50 * MS))), ["whole", rid])
        if chance.random() < 0.03:
            self.after(int(chance.expovariate(1 / (30 * MS))), ["gone", rid])
        return [
            "request",
            rid,
            cls if chance.random() < 0.998 else 99,
            left,
            tenant,
            chance.randrange(1, 50) if keyed else 0,
            chance.choice((0, 0, 1, 3)),
            chance.random() < 0.1,
            waited,
            self._limits(cls),
            chance.random() if chance.random() < 0.05 else 1.0,
            sending,
        ]

    def _limits(self, cls: int) -> list[Any] | None:
        """What the request's route allows."""
        chance = self.chance
        if chance.random() > self.limited:
            return None
        share = chance.choice((-1.0, 0.0, 0.1, 0.5))
        return [
            chance.choice((0, 0, 1, 2, 3)),
            0 if self.well else chance.choice((0, 0, 40 * MS, 200 * MS)),
            chance.choice((-1, -1, 0, 1, 1)),
            chance.choice((0, 0, 10 * MS, 40 * MS)),
            chance.choice((0, 0, 500 * MS)),
            chance.choice((None, *(int(group) for group in DeduplicationScope))),
            share,
            f"route-{len(self.requests) % self.routes}" if share >= 0.0 else "",
            chance.choice(([0, 0], [0, 0], [50 * MS, 200 * MS])),
        ]

    def _act(self, action: list[Any]) -> None:
        what = action[0]
        if what == "send":
            self._begin(*action[1:4])
        elif what in ("refuse", "fail"):
            self.requests[action[1]][4] = True
        elif what == "cancel":
            self.after(0, ["outcome", action[1], action[2], None, Result.CANCELLED])
        elif what == "set":
            self.after(action[1], ["timer", action[2]])
        elif what == "watch":
            failed = self.chance.random() < 0.8
            self.after(
                self.chance.choice((MS, 100 * MS, 2 * SECOND, 2 * SECOND, 2 * SECOND)),
                ["tell", ListKind.FAILED if failed else ListKind.FULL],
            )

    def _begin(self, rid: int, server: Any, timeout: int) -> None:
        """An attempt starts, and how it will end is drawn."""
        chance = self.chance
        cls, deadline, attempts, out, _, tenant = self.requests[rid]
        number = len(attempts)
        attempts.append((server, self.now))
        out.add(number)
        # The one of an unknown kind is not among those that change.
        line = next((s for s in self.servers if s[0] == server), self.servers[0])
        takes = int(chance.expovariate(1.0 / (WORK * (1 + cls) / line[5])))
        if chance.random() < self.slow:
            takes *= 12
        result, takes = (Result.OK, takes) if self.well else self._mishap(line, takes)
        if self.denied and tenant == 1 and self.now // SECOND % 6 < 3 and chance.random() < 0.7:
            result, takes = Result.REJECTED, 2 * MS
        if result == Result.OK and chance.random() < STREAMED:
            self.after(takes, ["started", rid, number, server, takes])
            takes += int(chance.expovariate(1.0 / (300 * MS)))
            deadline += 10 * SECOND
        most = min(deadline - self.now, timeout or SECOND * 100)
        if takes > most:
            result, takes = Result.TIMEOUT, max(1, most)
        self.after(takes, ["outcome", rid, number, server, result])

    def _mishap(self, line: list[Any], takes: int) -> tuple[Result, int]:
        """How an attempt at a server ends, and after which time: some fail by chance, some for a while."""
        chance = self.chance
        result = Result.OK
        if chance.random() < self.lost or (line[0] == ["s05"] and self.now // SECOND % 4 == 1):
            results = (Result.REJECTED, Result.ERROR, Result.NOT_DELIVERED, Result.RESET, Result.NOT_SENT)
            result, takes = chance.choice(results), takes // 4
        if line[1] == 1 and self.now // SECOND % 7 == 5:
            result, takes = Result.NOT_DELIVERED, 3 * MS  # a zone is lost
        if line[0] == ["s09"] and self.now // SECOND % 5 == 3:
            takes = 100 * SECOND  # it is silent
        return result, takes

    def _outcome(self, event: list[Any]) -> list[Any] | None:
        _, rid, number, _, result = event
        request = self.requests[rid]
        if number not in request[3]:
            # It has ended before; it is told again.
            return ["outcome", rid, number, request[2][number][0], result, 1]
        request[3].discard(number)
        if self._rarely():
            self.after(0, event)
        server, sent = request[2][number]
        answered = result == Result.OK or (result == Result.ERROR and self._rarely())
        final = request[4] or answered
        request[4] = final
        rate = 100.0 * (1.5 + (self.now // SECOND % 9) / 3.0) * self.chance.uniform(0.8, 1.2)
        report = [round(20.0 * self.chance.random(), 3), rate, 3.0] if self.reported else []
        if self.reported and server == ["s03"]:
            report[0] = round(rate * self.chance.uniform(0.05, 1.2), 3)
        if report and self._rarely():
            report = [float("nan"), -1.0, 0.0]
        return ["outcome", rid, number, server, int(result), self.now - sent, final, report]

    def _rarely(self) -> bool:
        return self.chance.random() < 0.05

    # Lists and other nodes

    def _tell(self, kind: ListKind) -> list[Any]:
        if kind == ListKind.FAILED:
            return ["list", int(kind), [], 0]
        self.version += 1
        return ["list", int(kind), [self._line(line) for line in self.servers], self.version]

    def _line(self, line: list[Any]) -> list[Any]:
        weight = line[5]
        if self.settings.weight_mode == WeightMode.LIVE:
            weight /= 1.0 + 0.5 * self.chance.randrange(4)
        return [*line[:4], int(line[4]), weight, line[6]]

    def _change(self) -> list[Any]:
        """A server drains, comes back, starts anew or goes; or the whole list comes; or a call fails."""
        chance = self.chance
        self.after(int(chance.expovariate(1.0 / self.change)) + MS, ["change"])
        what = chance.choice(("full", "full", "drain", "ready", "start", "go", "failed", "cached", "kinds"))
        if what in ("full", "cached"):
            return self._tell(ListKind.FULL if what == "full" else ListKind.CACHED)
        if what == "failed":
            return self._tell(ListKind.FAILED)
        if what == "kinds":
            unknown = [["s-kind"], 0, 99, 0, int(ServerState.READY), -1.0, 0]
            never_there = [["s-gone"], 0, 0, 0, int(ServerState.GONE), 1.0, 0]
            lines = [unknown, never_there] if self._rarely() else [never_there]
            return ["list", int(ListKind.CHANGES), lines, self.version]
        line = chance.choice(self.servers)
        if what == "start":
            line[4], line[6] = ServerState.READY, self.now - chance.choice((0, 0, 2, 7)) * SECOND
        else:
            line[4] = {"drain": ServerState.DRAINING, "ready": ServerState.READY, "go": ServerState.GONE}[
                what
            ]
        if sum(s[4] == ServerState.READY for s in self.servers) < 8:
            for s in self.servers:
                s[4] = ServerState.READY
            return self._tell(ListKind.FULL)
        return ["list", int(ListKind.CHANGES), [self._line(line)], self.version]

    def _stray(self) -> list[Any]:
        """What the module has no use for: of requests that it does not know, probes, other nodes' bytes."""
        chance = self.chance
        self.after(int(chance.expovariate(1.0 / (200 * MS))) + MS, ["stray"])
        rid, server = chance.choice((0, 1, 2, 1_000_000)), chance.choice(self.servers)[0]
        return chance.choice(
            (
                ["outcome", rid, 7, server, int(Result.OK), 5 * MS],
                ["started", rid, 7, server, 5 * MS],
                ["whole", rid],
                ["gone", 1_000_000],
                ["timer", 99],
                ["probed", server, int(Result.OK), 5 * MS, [0.1]],
                ["message", 1, "\x00bytes\xff"],
                ["elsewhere", [], 0],
            )
        )

    def _hear(self) -> list[Any]:
        """What other nodes have at servers, or that none of them is heard."""
        chance = self.chance
        self.after(chance.choice((10, 50, 200)) * MS, ["hear"])
        changed = chance.sample(self.servers, chance.randint(0, 5))
        nodes = self.peers if chance.random() < 0.95 else 0
        return ["elsewhere", [[line[0], chance.choice((0, 0, 0, 1, 2, 3))] for line in changed], nodes]
