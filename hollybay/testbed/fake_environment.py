"""Fake environment of a node: three classes, three kinds of server, discovery, requests and a ledger."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from hollybay.proxy.config import settings_from_json
from hollybay.units import MS, SECOND

from .client_request import RequestMix
from .discovery_agent import DiscoveryAgent
from .fake_server import FakeServer, ServerKind
from .ledger import Ledger, RuleLimits

__all__ = ["CLASSES", "KINDS", "MEAN_WORK", "TENANTS", "FakeEnvironment", "settings", "usual_kinds"]


# Class settings in the platform's format, durations in ns.
CLASSES: list[dict[str, Any]] = [
    {
        "name": "view-schedule",
        "effect": "retryable",
        "slo": 200 * MS,
        "give-up": 500 * MS,
        "worth": 3.0,
        "late-worth": 0.25,
    },
    {
        "name": "send-callout",
        "effect": "fragile",
        "slo": 1200 * MS,
        "give-up": 5 * SECOND,
        "worth": 2.0,
        "late-worth": 0.2,
    },
    {
        "name": "book-venue",
        "effect": "dedup",
        "slo": 1500 * MS,
        "give-up": 6 * SECOND,
        "worth": 10.0,
        "late-worth": 0.2,
        "group": "cell",
        "window": 4 * SECOND,
    },
]
# Share of the requests, by class.
SHARES = {"view-schedule": 0.37, "send-callout": 0.34, "book-venue": 0.29}
# Mean work of a request in seconds at speed 1, by class.
WORK = {"view-schedule": 0.025, "send-callout": 0.085, "book-venue": 0.105}
MEAN_WORK = sum(SHARES[name] * WORK[name] for name in SHARES)
KINDS = (ServerKind("fast", 1.3), ServerKind("std", 1.0), ServerKind("slow", 0.7))
KIND_SHARES = (0.29, 0.44, 0.27)
SERVERS_IN_A_CELL = 4
# A request's work is drawn uniformly between these multiples of its class's mean.
MIN_WORK_FACTOR, MAX_WORK_FACTOR = 0.7, 1.3
TENANTS = ("coastal-choirs", "fraser-bands", "island-singers")


def settings(nodes: int = 1, **changes: Any) -> dict[str, Any]:
    """The settings object of a node's configuration."""
    return {
        "balancers": nodes,
        "zones": ["a"],
        "kinds": [kind.name for kind in KINDS],
        "categories": CLASSES,
        "tenants": [{"name": name, "share": 1 / len(TENANTS)} for name in TENANTS],
        "weights": "live",
        "report": {"via": "piggyback", "fields": ["fail_rate", "rate", "q"]},
        "caps": {
            "most-tries": 3,
            "cancel": True,
            "may-duplicate": True,
            "connect-timeout": 250 * MS,
            "conn-idle": 5 * SECOND,
            "retry-after": True,
            "max-retry-after": 5 * SECOND,
        },
        "rules": {
            "drain-grace": 2 * SECOND,
            "cold-share": 0.32,
            "warm-up": 8300 * MS,
            "fall-multiple": 4.0,
            "overload-for": 2 * SECOND,
        },
        **changes,
    }


def usual_kinds(count: int) -> list[ServerKind]:
    """The kinds of `count` servers by KIND_SHARES, the fastest first."""
    boundaries = list(accumulate(KIND_SHARES))[:-1]
    return [KINDS[bisect_right(boundaries, (n + 0.5) / count)] for n in range(count)]


def work_of(target: bytes, rng: random.Random) -> float:
    """Draw the work of a request (seconds at speed 1), uniformly around the mean of its class."""
    name = target.split(b"?", 1)[0].split(b"/")[1].decode("latin-1")
    mean = WORK.get(name, WORK["view-schedule"])
    return mean * rng.uniform(MIN_WORK_FACTOR, MAX_WORK_FACTOR)


@dataclass
class FakeEnvironment:
    """Servers, discovery agent and ledger of a run; call `start()` before and `stop()` after.

    Attributes
    ----------
    count
        Number of servers.
    seed
        Seed of the servers' kinds and work, and of the node.
    words
        The settings object of the node's configuration.
    memory_mb, sockets
        The node's limits.
    make_ledger
        Makes a ledger for these rule limits.
    """

    count: int
    seed: int = 1
    words: dict[str, Any] = field(default_factory=settings)
    memory_mb: int = 192
    sockets: int = 1024
    make_ledger: Callable[[RuleLimits], Ledger] = Ledger

    def __post_init__(self) -> None:
        self.settings = settings_from_json(self.words)
        self.ledger = self.make_ledger(RuleLimits.of(self.settings))
        kinds = usual_kinds(self.count)
        random.Random(self.seed).shuffle(kinds)
        self.servers = [
            FakeServer(f"s-{n:03d}", kind, self.ledger, work_of, cell=n // SERVERS_IN_A_CELL, seed=self.seed)
            for n, kind in enumerate(kinds)
        ]
        self.agent = DiscoveryAgent(self.ledger, self.servers)

    async def start(self) -> None:
        """Start all servers, warm, and publish them to the agent."""
        for server in self.servers:
            await server.start()
        await self.agent.start()
        self.agent.publish()

    async def stop(self) -> None:
        """Stop the agent and all servers."""
        await self.agent.stop()
        for server in self.servers:
            server.crash()

    def config(self, name: str = "n0") -> dict[str, Any]:
        """The configuration of a node in this environment."""
        return {
            "name": name,
            "listen": "127.0.0.1:9000",
            "discovery": self.agent.address,
            "seed": f"{self.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": self.words,
        }

    def mixes(self) -> list[RequestMix]:
        """The default kinds of requests with their shares."""
        return [
            RequestMix(n, b"/" + c.name.encode() + b"/halls/1", SHARES[c.name], TENANTS)
            for n, c in enumerate(self.settings.classes)
        ]

    def capacity(self) -> float:
        """Requests per second of the default mix that all servers together can process when warm."""
        return sum(server.kind.capacity for server in self.servers) / MEAN_WORK
