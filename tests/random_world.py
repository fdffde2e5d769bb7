"""A random environment of one balancer, generated from a fixed seed; for recording only, it checks no rules.

It produces events that simulations of whole nodes seldom or never produce: limits of every kind, hedges, load
reports of other nodes, servers that start, drain, fail or recover, polls that fail, and late or unknown
events.
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

__all__ = ["WORLDS", "RandomWorld"]

START = 5 * SECOND
STREAMED = 0.1  # share of streamed responses
# The mean service time of the first class at a server of size 1; each further class takes as much more.
WORK = 60 * MS
TENANTS = tuple(Tenant(f"t{n}", 0.25, 50.0 * n) for n in range(4))
# By name: the settings of each world and its parameters; load is relative to the capacity of its servers.
WORLDS: dict[str, dict[str, Any]] = {
    "world-copies": {
        "weight_mode": WeightMode.LIVE,
        "load": 0.15,
        "limited": 0.8,
        "slow": 0.05,
        "no_failures": True,
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
        "short_deadlines": True,
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
        "tenant_rejected": True,
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


class RandomWorld:
    """Servers, clients, discovery and other nodes, simulated by a queue of scheduled events."""

    def __init__(self, balancer: type, name: str, *, load: float, events: int = 2000, **options: Any) -> None:
        self.rng = random.Random(f"made-up world {name}")  # another text gives other streams
        self.limited: float = options.pop("limited", 0.3)
        self.slow: float = options.pop("slow", 0.03)
        self.lost: float = options.pop("lost", 0.01)
        self.no_failures: bool = options.pop("no_failures", False)  # no failures, no early timeouts
        self.short_deadlines: bool = options.pop("short_deadlines", False)  # little time for retries
        self.change: int = options.pop("change", 400 * MS)  # mean time (ns) between changes of the list
        self.routes: int = options.pop("routes", 2)
        self.tenant_rejected: bool = options.pop("tenant_rejected", False)  # for some seconds
        self.lag: int = options.pop("lag", 0)
        self.peers: int = options.pop("peers", 0)
        if options.pop("reported", False):
            options["report_fields"] = ("errors", "rate", "q")
        self.reported = bool(options.get("report_fields"))
        self.settings = make_settings(prices=Prices(cross_zone=options.pop("crossing", 0.02)), **options)
        self.now = START
        self.balancer = balancer(self.settings, len(name), START)
        self.events = events
        self.due: list[tuple[int, int, list[Any]]] = []
        self.count = 0
        self.requests: dict[int, list[Any]] = {}  # class, deadline, attempts, numbers in flight, finished
        self.sending: set[int] = set()
        self.version = 0
        self.servers = [self._server(n) for n in range(14)]
        sizes = sum(line[5] for line in self.servers)
        self.every = int(WORK * (1 + len(CLASSES)) / 2 / (load * sizes))

    def _server(self, n: int) -> list[Any]:
        """Return a list entry: id, zone, kind, cell, state, weight, start time of the process."""
        zones, kinds = self.settings.zones, self.settings.kinds
        return [[f"s{n:02}"], n % zones, n % kinds, n // 4, ServerState.READY, 1.0 + 0.5 * (n % 3), 0]

    # Time

    def schedule(self, delay: int, event: list[Any]) -> None:
        self.count += 1
        heappush(self.due, (self.now + delay, self.count, event))

    def run(self) -> None:
        """Run until the balancer has been given `events` events."""
        self.schedule(0, ["list", ListKind.CACHED if self.settings.poll_required else ListKind.FULL])
        self.schedule(MS, ["ask"])
        self.schedule(SECOND, ["change"])
        self.schedule(50 * MS, ["unexpected"])
        if self.peers:
            self.schedule(100 * MS, ["peers"])
        for _ in range(self.events):
            given = None
            while given is None:
                due, _, event = heappop(self.due)
                self.now = max(self.now, due)
                given = self._event(event)
            for action in recorded.encode_actions(
                self.balancer.handle(self.now, recorded.decode_event(given))
            ):
                self._apply_action(action)

    def _event(self, event: list[Any]) -> list[Any] | None:
        """Return the balancer's event for a scheduled event that is due; None if there is none."""
        what = event[0]
        if what == "ask":
            return self._new_request()
        if what == "list":
            return self._server_list(event[1])
        if what == "change":
            return self._change()
        if what == "peers":
            return self._peer_load()
        if what == "unexpected":
            return self._unexpected_event()
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

    def _new_request(self) -> list[Any]:
        rng = self.rng
        self.schedule(1 + int(rng.expovariate(1.0 / self.every)), ["ask"])
        rid = len(self.requests) + 1
        cls = rng.randrange(len(CLASSES))
        left = CLASSES[cls].deadline
        waited = int(rng.random() * self.lag) if self.lag and self.now // SECOND % 3 else 0
        if waited and rng.random() < 0.2:
            left = int(0.02 * left * rng.random())
        elif rng.random() < 0.03:
            left = int(rng.random() * 100 * MS)
        elif self.short_deadlines:
            left = left // 3
        keyed = CLASSES[cls].effect == Effect.KEYED
        sending = rng.random() < 0.05
        tenant = rng.randrange(4)
        self.requests[rid] = [cls, self.now + left, [], set(), False, tenant]
        if sending:
            self.sending.add(rid)
            self.schedule(int(rng.expovariate(1 / (50 * MS))), ["whole", rid])
        if rng.random() < 0.03:
            self.schedule(int(rng.expovariate(1 / (30 * MS))), ["gone", rid])
        return [
            "request",
            rid,
            cls if rng.random() < 0.998 else 99,
            left,
            tenant,
            rng.randrange(1, 50) if keyed else 0,
            rng.choice((0, 0, 1, 3)),
            rng.random() < 0.1,
            waited,
            self._limits(cls),
            rng.random() if rng.random() < 0.05 else 1.0,
            sending,
        ]

    def _limits(self, cls: int) -> list[Any] | None:
        """Return the limits of a request's route, or None."""
        rng = self.rng
        if rng.random() > self.limited:
            return None
        share = rng.choice((-1.0, 0.0, 0.1, 0.5))
        return [
            rng.choice((0, 0, 1, 2, 3)),
            0 if self.no_failures else rng.choice((0, 0, 40 * MS, 200 * MS)),
            rng.choice((-1, -1, 0, 1, 1)),
            rng.choice((0, 0, 10 * MS, 40 * MS)),
            rng.choice((0, 0, 500 * MS)),
            rng.choice((None, *(int(group) for group in DeduplicationScope))),
            share,
            f"route-{len(self.requests) % self.routes}" if share >= 0.0 else "",
            rng.choice(([0, 0], [0, 0], [50 * MS, 200 * MS])),
        ]

    def _apply_action(self, action: list[Any]) -> None:
        what = action[0]
        if what == "send":
            self._start_attempt(*action[1:4])
        elif what in ("refuse", "fail"):
            self.requests[action[1]][4] = True
        elif what == "cancel":
            self.schedule(0, ["outcome", action[1], action[2], None, Result.CANCELLED])
        elif what == "set":
            self.schedule(action[1], ["timer", action[2]])
        elif what == "watch":
            failed = self.rng.random() < 0.8
            self.schedule(
                self.rng.choice((MS, 100 * MS, 2 * SECOND, 2 * SECOND, 2 * SECOND)),
                ["list", ListKind.FAILED if failed else ListKind.FULL],
            )

    def _start_attempt(self, rid: int, server: Any, timeout: int) -> None:
        """Start an attempt, and draw how and when it ends."""
        rng = self.rng
        cls, deadline, attempts, out, _, tenant = self.requests[rid]
        number = len(attempts)
        attempts.append((server, self.now))
        out.add(number)
        # The server of an unknown kind is not in `servers`.
        line = next((s for s in self.servers if s[0] == server), self.servers[0])
        takes = int(rng.expovariate(1.0 / (WORK * (1 + cls) / line[5])))
        if rng.random() < self.slow:
            takes *= 12
        result, takes = (Result.OK, takes) if self.no_failures else self._draw_result(line, takes)
        if self.tenant_rejected and tenant == 1 and self.now // SECOND % 6 < 3 and rng.random() < 0.7:
            result, takes = Result.REJECTED, 2 * MS
        if result == Result.OK and rng.random() < STREAMED:
            self.schedule(takes, ["started", rid, number, server, takes])
            takes += int(rng.expovariate(1.0 / (300 * MS)))
            deadline += 10 * SECOND
        most = min(deadline - self.now, timeout or SECOND * 100)
        if takes > most:
            result, takes = Result.TIMEOUT, max(1, most)
        self.schedule(takes, ["outcome", rid, number, server, result])

    def _draw_result(self, line: list[Any], takes: int) -> tuple[Result, int]:
        """Return how and after which time an attempt ends: some fail by chance, some during an outage."""
        rng = self.rng
        result = Result.OK
        if rng.random() < self.lost or (line[0] == ["s05"] and self.now // SECOND % 4 == 1):
            results = (Result.REJECTED, Result.ERROR, Result.NOT_DELIVERED, Result.RESET, Result.NOT_SENT)
            result, takes = rng.choice(results), takes // 4
        if line[1] == 1 and self.now // SECOND % 7 == 5:
            result, takes = Result.NOT_DELIVERED, 3 * MS  # the zone is unreachable
        if line[0] == ["s09"] and self.now // SECOND % 5 == 3:
            takes = 100 * SECOND  # the server does not respond
        return result, takes

    def _outcome(self, event: list[Any]) -> list[Any] | None:
        _, rid, number, _, result = event
        request = self.requests[rid]
        if number not in request[3]:
            # The attempt has ended already: the event is a repetition.
            return ["outcome", rid, number, request[2][number][0], result, 1]
        request[3].discard(number)
        if self._rarely():
            self.schedule(0, event)
        server, sent = request[2][number]
        answered = result == Result.OK or (result == Result.ERROR and self._rarely())
        final = request[4] or answered
        request[4] = final
        rate = 100.0 * (1.5 + (self.now // SECOND % 9) / 3.0) * self.rng.uniform(0.8, 1.2)
        report = [round(20.0 * self.rng.random(), 3), rate, 3.0] if self.reported else []
        if self.reported and server == ["s03"]:
            report[0] = round(rate * self.rng.uniform(0.05, 1.2), 3)
        if report and self._rarely():
            report = [float("nan"), -1.0, 0.0]
        return ["outcome", rid, number, server, int(result), self.now - sent, final, report]

    def _rarely(self) -> bool:
        return self.rng.random() < 0.05

    # Lists and other nodes

    def _server_list(self, kind: ListKind) -> list[Any]:
        if kind == ListKind.FAILED:
            return ["list", int(kind), [], 0]
        self.version += 1
        return ["list", int(kind), [self._list_entry(line) for line in self.servers], self.version]

    def _list_entry(self, line: list[Any]) -> list[Any]:
        weight = line[5]
        if self.settings.weight_mode == WeightMode.LIVE:
            weight /= 1.0 + 0.5 * self.rng.randrange(4)
        return [*line[:4], int(line[4]), weight, line[6]]

    def _change(self) -> list[Any]:
        """Drain, restore, restart or remove a server, send the full list, or let a poll fail."""
        rng = self.rng
        self.schedule(int(rng.expovariate(1.0 / self.change)) + MS, ["change"])
        what = rng.choice(("full", "full", "drain", "ready", "start", "go", "failed", "cached", "kinds"))
        if what in ("full", "cached"):
            return self._server_list(ListKind.FULL if what == "full" else ListKind.CACHED)
        if what == "failed":
            return self._server_list(ListKind.FAILED)
        if what == "kinds":
            unknown = [["s-kind"], 0, 99, 0, int(ServerState.READY), -1.0, 0]
            never_there = [["s-gone"], 0, 0, 0, int(ServerState.GONE), 1.0, 0]
            lines = [unknown, never_there] if self._rarely() else [never_there]
            return ["list", int(ListKind.CHANGES), lines, self.version]
        line = rng.choice(self.servers)
        if what == "start":
            line[4], line[6] = ServerState.READY, self.now - rng.choice((0, 0, 2, 7)) * SECOND
        else:
            line[4] = {"drain": ServerState.DRAINING, "ready": ServerState.READY, "go": ServerState.GONE}[
                what
            ]
        if sum(s[4] == ServerState.READY for s in self.servers) < 8:
            for s in self.servers:
                s[4] = ServerState.READY
            return self._server_list(ListKind.FULL)
        return ["list", int(ListKind.CHANGES), [self._list_entry(line)], self.version]

    def _unexpected_event(self) -> list[Any]:
        """Return an event without effect: for an unknown request, a probe result, or a peer message."""
        rng = self.rng
        self.schedule(int(rng.expovariate(1.0 / (200 * MS))) + MS, ["unexpected"])
        rid, server = rng.choice((0, 1, 2, 1_000_000)), rng.choice(self.servers)[0]
        return rng.choice(
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

    def _peer_load(self) -> list[Any]:
        """Return the attempts of other nodes at some servers, or the event that no node reports its load."""
        rng = self.rng
        self.schedule(rng.choice((10, 50, 200)) * MS, ["peers"])
        changed = rng.sample(self.servers, rng.randint(0, 5))
        nodes = self.peers if rng.random() < 0.95 else 0
        return ["elsewhere", [[line[0], rng.choice((0, 0, 0, 1, 2, 3))] for line in changed], nodes]
