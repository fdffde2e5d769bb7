"""The plan of a run as plain data: drawn from a seed, written as JSON, reduced when a failure is shrunk.

A plan has everything that is decided before the run: settings, servers, requests and faults. Random choices
within the run (delays, segments, work) depend on the plan's seed, too, by request and server: when parts of a
plan are removed, the rest of the run stays nearly the same.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import msgspec

from hollybay.units import MS

from .fault_kinds import FAULTS, MALFORMED_REQUESTS, RESPONSE_VARIANTS

__all__ = [
    "ClassPlan",
    "FaultPlan",
    "Plan",
    "RequestPlan",
    "ServerPlan",
    "draw",
    "events",
    "settings",
    "to_json",
]


class ClassPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class; times in ms. effect, group: as in the settings; work: mean service time at speed 1."""

    name: str
    effect: str
    aim: int
    deadline: int
    worth: float
    work: float
    group: str = "all"
    window: int = 0
    streamed: bool = False


class ServerPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A server: kind, zone and cell by number, cores and their speed, and slots and queue beyond them."""

    name: str
    kind: int = 0
    zone: int = 0
    cell: int = 0
    cores: int = 1
    speed: float = 1.0
    slots: int = 4
    queue: int = 8


class RequestPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request: its time (s), class, node and client by number, manner, and body sizes (bytes).

    size: of the request body; answer: of the response body; manner: the client's behavior, a key of _MANNERS;
    arg: a parameter of the manner, e.g. the delay of a disconnect, or the index in MALFORMED_REQUESTS.
    """

    at: float
    cls: int
    node: int = 0
    client: int = 0
    manner: str = "keep"
    size: int = 0
    answer: int = 0
    arg: float = 0.0


class FaultPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: its time (s), kind, target (number of a server or node), duration (s) and intensity.

    how: of kind "spoil", the key of RESPONSE_VARIANTS.
    """

    at: float
    kind: str
    target: int = 0
    lasts: float = 1.0
    arg: float = 0.5
    how: str = ""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The plan of a run. Arrivals and link delays in s, times of the settings in ms.

    sockets: the file descriptors of a node; retries: the probability that a client repeats a rejected one.
    """

    seed: int
    classes: tuple[ClassPlan, ...]
    servers: tuple[ServerPlan, ...]
    asks: tuple[RequestPlan, ...]
    faults: tuple[FaultPlan, ...] = ()
    seconds: float = 4.0
    nodes: int = 1
    zones: int = 1
    kinds: int = 1
    copies: bool = True
    cancel: bool = True
    attempts: int = 3
    retry_after: int = 2000
    retries: float = 0.0
    weights: str = "live"
    drain_grace: int = 1500
    cold_share: float = 0.3
    warm_up: int = 4000
    idle: int = 3000
    connect: int = 250
    sockets: int = 256
    delay: float = 0.0005
    jitter: float = 0.0002
    split: float = 0.3
    window: int = 65536
    operator: str = ""


def events(plan: Plan) -> int:
    """Return the number of requests and faults of a plan."""
    return len(plan.asks) + len(plan.faults)


def to_json(plan: Plan) -> bytes:
    """Encode a plan as indented JSON; msgspec.json.decode(text, type=Plan) decodes it."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1)


def settings(plan: Plan, node: int) -> dict[str, Any]:
    """Return the settings object of a node's configuration."""
    categories: list[dict[str, Any]] = []
    for cls in plan.classes:
        options: dict[str, Any] = {
            "name": cls.name,
            "effect": cls.effect,
            "slo": cls.aim * MS,
            "give-up": cls.deadline * MS,
            "worth": cls.worth,
            "late-worth": 0.2,
            "streamed": cls.streamed,
        }
        if cls.effect == "dedup":
            options |= {"group": cls.group, "window": cls.window * MS}
        categories.append(options)
    return {
        "balancers": plan.nodes,
        "me": node,
        "zones": [f"z{n}" for n in range(plan.zones)],
        "my-zone": node % plan.zones,
        "kinds": [f"k{n}" for n in range(plan.kinds)],
        "categories": categories,
        "tenants": [{"name": f"t{n}", "share": 0.5} for n in range(2)],
        "weights": plan.weights,
        "report": {"via": "piggyback", "fields": ["fail_rate", "rate", "q"]},
        "caps": {
            "most-tries": plan.attempts,
            "cancel": plan.cancel,
            "may-duplicate": plan.copies,
            "connect-timeout": plan.connect * MS,
            "conn-idle": plan.idle * MS,
            "retry-after": plan.retry_after > 0,
            "max-retry-after": plan.retry_after * MS,
        },
        "rules": {
            "drain-grace": plan.drain_grace * MS,
            "cold-share": plan.cold_share,
            "warm-up": plan.warm_up * MS,
            "fall-multiple": 4.0,
            "overload-for": 2000 * MS,
        },
    }


_CLASSES = (
    ClassPlan("view", "retryable", 200, 500, 3.0, 30.0),
    ClassPlan("call", "fragile", 800, 2500, 2.0, 70.0),
    ClassPlan("book", "dedup", 900, 3000, 9.0, 80.0, "cell", 1200),
    ClassPlan("join", "dedup", 600, 2000, 4.0, 40.0, "zone", 900),
    ClassPlan("tag", "dedup", 600, 2000, 1.0, 30.0, "all", 700),
    ClassPlan("feed", "retryable", 900, 3000, 2.0, 60.0, streamed=True),
)
# The manners of clients and their weights; keep: on a persistent connection, fresh: on a new one.
_MANNERS = {
    "keep": 46,
    "fresh": 20,
    "pair": 6,
    "slow": 4,
    "leave": 5,
    "half": 2,
    "twin": 3,
    "chunked": 4,
    "lazy": 3,
    "expect": 2,
    "dribble": 1,
    "wrong": 4,
}
_SIZES = (0, 0, 2, 2, 40, 900, 9_000, 40_000, 150_000)
_ANSWERS = (0, 0, 0, 10, 400, 3_000, 20_000, 65_000, 90_000)


def _servers(rng: random.Random, zones: int, kinds: int) -> tuple[ServerPlan, ...]:
    speeds = [1.4, 1.0, 0.7]
    count = rng.randint(4, 9)
    made = []
    for n in range(count):
        kind = rng.randrange(kinds)
        made.append(
            ServerPlan(
                f"s{n}",
                kind,
                n % zones,
                n // 2,
                rng.choice((1, 1, 2)),
                speeds[kind],
                rng.choice((2, 4, 8)),
                rng.choice((0, 4, 16)),
            )
        )
    return tuple(made)


def _asks(rng: random.Random, plan: Plan, rate: float) -> tuple[RequestPlan, ...]:
    asks: list[RequestPlan] = []
    at = 0.0
    surge = rng.random() < 0.3
    names, shares = list(_MANNERS), list(_MANNERS.values())
    while True:
        current_rate = rate * (3.0 if surge and 0.4 < at / plan.seconds < 0.6 else 1.0)
        at += rng.expovariate(current_rate)
        if at >= plan.seconds or len(asks) >= 900:
            return tuple(asks)
        cls = rng.randrange(len(plan.classes))
        retryable = plan.classes[cls].effect == "retryable"
        manner = rng.choices(names, shares)[0]
        if retryable and manner in ("chunked", "expect"):
            manner = "keep"
        answer = rng.choice(_ANSWERS)
        asks.append(
            RequestPlan(
                round(at, 6),
                cls,
                rng.randrange(plan.nodes),
                rng.randrange(40),
                manner,
                0 if retryable else rng.choice(_SIZES),
                answer,
                round(rng.random() * (len(MALFORMED_REQUESTS) if manner == "wrong" else 1.0), 6),
            )
        )


def _faults(rng: random.Random, plan: Plan, allowed: Sequence[str]) -> tuple[FaultPlan, ...]:
    chosen = [kind for kind in allowed if rng.random() < 0.25] or [rng.choice(list(allowed))]
    made = []
    for kind in chosen:
        for _ in range(rng.randint(1, 2)):
            target = rng.randrange(plan.nodes if FAULTS[kind].target_type == "node" else len(plan.servers))
            how = rng.choice(sorted(RESPONSE_VARIANTS)) if kind == "spoil" else ""
            made.append(
                FaultPlan(
                    round(rng.uniform(0.0, plan.seconds), 3),
                    kind,
                    target,
                    round(rng.uniform(0.1, 2.5), 3),
                    round(rng.random(), 3),
                    how,
                )
            )
    return tuple(sorted(made, key=lambda fault: fault.at))


def draw(seed: int, allowed: Sequence[str] = tuple(FAULTS)) -> Plan:
    """Draw the plan of a seed; ValueError for an unknown kind of fault."""
    unknown = [kind for kind in allowed if kind not in FAULTS]
    if unknown or not allowed:
        raise ValueError(
            f"no such fault: {', '.join(unknown) or 'none given'}; there are {', '.join(FAULTS)}"
        )
    rng = random.Random(f"plan {seed}")
    zones = rng.choice((1, 1, 2))
    kinds = rng.randint(1, 3)
    classes = rng.sample(_CLASSES, rng.randint(3, len(_CLASSES)))
    plan = Plan(
        seed=seed,
        classes=tuple(classes),
        servers=_servers(rng, zones, kinds),
        asks=(),
        seconds=rng.choice((2.0, 3.0, 4.0)),
        nodes=rng.choice((1, 1, 1, 2, 3)),
        zones=zones,
        kinds=kinds,
        copies=rng.random() < 0.7,
        cancel=rng.random() < 0.9,
        attempts=rng.choice((1, 2, 3, 3, 4)),
        retry_after=rng.choice((0, 300, 2000)),
        retries=rng.choice((0.0, 0.5, 1.0)),
        weights=rng.choice(("live", "live", "nominal", "rough", "silent")),
        drain_grace=rng.choice((600, 1500, 2000)),
        cold_share=rng.choice((0.15, 0.3, 0.6)),
        warm_up=rng.choice((1500, 4000, 8000)),
        idle=rng.choice((800, 3000)),
        connect=rng.choice((100, 250)),
        sockets=rng.choice((192, 256, 1024)),
        delay=rng.choice((0.0001, 0.0005, 0.002)),
        jitter=rng.choice((0.0, 0.0002, 0.001)),
        split=rng.choice((0.0, 0.3, 0.8)),
        window=rng.choice((4096, 65536)),
        operator=rng.choice(("", "", "", "empty", "limits")),
    )
    if plan.delay > 0.001:
        # With a small window, the transfer of a long response would exceed the deadline of its class.
        plan = msgspec.structs.replace(plan, window=65536)
    capacity = sum(s.cores * s.speed for s in plan.servers)
    mean = sum(c.work for c in classes) / len(classes) / 1000
    rate = min(260.0, capacity / mean * rng.choice((0.2, 0.5, 0.8, 1.2, 2.0)))
    plan = msgspec.structs.replace(plan, asks=_asks(rng, plan, rate))
    return msgspec.structs.replace(plan, faults=_faults(rng, plan, allowed))
