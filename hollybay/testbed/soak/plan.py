"""One run of the soak, drawn from a seed."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum

__all__ = ["Condition", "SoakPlan", "TimedSignal", "draw"]

# Share of the runs with each condition.
CONDITION_SHARE = 0.3
# The platform sends new connections for 0.2 to 0.4 s after SIGTERM.
CONNECTS_AFTER_TERM_S = (0.2, 0.4)
# The longest time between two signals of a series.
MAX_SIGNAL_GAP_S = 0.3
# Deadlines of the three classes (ms): all below, and some above, the 3 s that the end of a node allows for.
DEADLINES_MS = ((300, 800, 1200), (400, 1500, 2500), (500, 3000, 3000), (500, 5000, 6000))
# Signals in series; the node is killed by the time of its first SIGTERM.
SERIES = (
    ("TERM",),
    ("TERM", "TERM"),
    ("TERM", "TERM", "TERM"),
    ("HUP", "TERM"),
    ("HUP", "HUP", "TERM"),
    ("TERM", "HUP"),
    ("HUP", "TERM", "HUP"),
    ("TERM", "HUP", "TERM"),
)


class Condition(Enum):
    """What happens beside the end."""

    CROWD = "idle clients up to the node's descriptors"
    HANGING_SERVERS = "a quarter to a half of the servers hang from that moment on"
    SILENT_WATCH = "discovery is silent from shortly before"
    DRAINING_SERVERS = "a server drains in that moment"
    UPLOADS = "long bodies are coming"
    LEAVING_CLIENTS = "clients leave while they wait"
    PIPELINED = "requests lie unread behind others"
    SUCCESSOR = "the next process of the node takes over"
    NO_LIST = "no list has come yet"
    RELOAD = "an operator file that takes long to compile is reloaded by each SIGHUP"


# Conditions that leave nothing of one another.
EXCLUSIVE = (
    (Condition.NO_LIST, Condition.SUCCESSOR),
    (Condition.NO_LIST, Condition.HANGING_SERVERS),
    (Condition.NO_LIST, Condition.DRAINING_SERVERS),
    (Condition.CROWD, Condition.SUCCESSOR),
)


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal, and how long (s) after the one before it is sent; 0: in the same turn of the node's loop."""

    name: str
    after_s: float

    @property
    def number(self) -> signal.Signals:
        """The signal's number."""
        return signal.Signals[f"SIG{self.name}"]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run.

    Attributes
    ----------
    seed
        What it was drawn from.
    servers, clients
        How many.
    deadlines_ms
        Of the three classes.
    traffic_s
        How long clients have sent before the first signal.
    pause_s
        The longest pause of a client between an answer and its next request.
    connects_after_term_s
        How long after SIGTERM clients open new connections.
    signals
        In order.
    hanging_share
        The share of the servers that hang, where some do.
    crowd_stays
        Whether a crowd stays until it is closed; if not, it leaves when no new connections come any more.
    conditions
        What happens beside.
    """

    seed: int
    servers: int
    clients: int
    deadlines_ms: tuple[int, int, int]
    traffic_s: float
    pause_s: float
    connects_after_term_s: float
    signals: tuple[TimedSignal, ...]
    hanging_share: float
    crowd_stays: bool
    conditions: frozenset[Condition]

    def has(self, condition: Condition) -> bool:
        """Whether a condition is part of the run."""
        return condition in self.conditions

    def __str__(self) -> str:
        signals = " ".join(f"+{one.after_s:.3f} {one.name}" for one in self.signals)
        conditions = ", ".join(sorted(one.name.lower() for one in self.conditions)) or "nothing"
        return (
            f"seed {self.seed}: {self.clients} clients, {self.servers} servers, "
            f"deadlines {self.deadlines_ms} ms, signals {signals}; beside: {conditions}"
        )


def draw(seed: int) -> SoakPlan:
    """Draw the run of a seed."""
    chance = random.Random(f"soak {seed}")
    return SoakPlan(
        seed,
        servers=chance.randint(4, 10),
        clients=chance.randint(8, 32),
        deadlines_ms=chance.choice(DEADLINES_MS),
        traffic_s=chance.uniform(0.2, 0.8),
        pause_s=chance.choice((0.0, 0.01, 0.1)),
        connects_after_term_s=chance.uniform(*CONNECTS_AFTER_TERM_S),
        signals=_draw_signals(chance),
        hanging_share=chance.uniform(0.25, 0.5),
        crowd_stays=chance.random() < 0.5,
        conditions=_draw_conditions(chance),
    )


def _draw_signals(chance: random.Random) -> tuple[TimedSignal, ...]:
    series = chance.choice(SERIES)
    gaps = [chance.choice((0.0, chance.uniform(0.0, MAX_SIGNAL_GAP_S))) for _ in series]
    return tuple(
        TimedSignal(name, gap if number else 0.0)
        for number, (name, gap) in enumerate(zip(series, gaps, strict=True))
    )


def _draw_conditions(chance: random.Random) -> frozenset[Condition]:
    drawn = [condition for condition in Condition if chance.random() < CONDITION_SHARE]
    for one, other in EXCLUSIVE:
        if one in drawn and other in drawn:
            drawn.remove(other)
    return frozenset(drawn)
