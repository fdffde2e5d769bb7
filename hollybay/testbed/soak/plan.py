"""Plan of a soak run, drawn from a seed."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from enum import Enum

__all__ = ["Condition", "SoakPlan", "TimedSignal", "draw"]

# Probability of each condition in a run.
CONDITION_SHARE = 0.3
# The platform opens new connections for 0.2 to 0.4 s after SIGTERM.
CONNECTS_AFTER_TERM_S = (0.2, 0.4)
# Maximum time between two signals of a series.
MAX_SIGNAL_GAP_S = 0.3
# Deadlines of the three classes (ms), below and above the 3 s that a node's shutdown allows for requests.
DEADLINES_MS = ((300, 800, 1200), (400, 1500, 2500), (500, 3000, 3000), (500, 5000, 6000))
# Series of signals; the time until SIGKILL counts from the first SIGTERM.
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
    """Conditions during the shutdown; reports show their names."""

    CROWD = "idle clients use up the node's file descriptors"
    HANGING_SERVERS = "a quarter to a half of the servers hang from the first signal on"
    SILENT_WATCH = "discovery stops responding just before the first signal"
    DRAINING_SERVERS = "a server drains just before the first signal"
    UPLOADS = "clients send long bodies"
    LEAVING_CLIENTS = "clients disconnect while they wait for a response"
    PIPELINED = "clients send requests before the response to the one before"
    SUCCESSOR = "a new process of the node takes over"
    NO_LIST = "the node has no server list yet"
    RELOAD = "each SIGHUP reloads an operator file that takes long to compile"
    SMALL_CHUNKS = "clients send long bodies in chunks of some bytes"


# Pairs of conditions that cannot be combined; the second one is dropped.
EXCLUSIVE = (
    (Condition.NO_LIST, Condition.SUCCESSOR),
    (Condition.NO_LIST, Condition.HANGING_SERVERS),
    (Condition.NO_LIST, Condition.DRAINING_SERVERS),
    (Condition.CROWD, Condition.SUCCESSOR),
)


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal, and its delay (s) after the signal before it; with 0 both arrive at once."""

    name: str
    after_s: float

    @property
    def number(self) -> signal.Signals:
        """The signal to send."""
        return signal.Signals[f"SIG{self.name}"]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of a run.

    Attributes
    ----------
    seed
        The seed that it was drawn from.
    servers, clients
        Numbers of servers and clients.
    deadlines_ms
        Deadlines of the three classes.
    traffic_s
        How long clients send before the first signal.
    pause_s
        Maximum pause of a client between a response and its next request.
    connects_after_term_s
        How long after SIGTERM clients open new connections.
    signals
        The signals, in order.
    hanging_share
        Share of the servers that hang, with HANGING_SERVERS.
    idle_clients_stay
        Whether the idle clients stay until they are closed, or disconnect once no new connections are opened.
    conditions
        The conditions during the shutdown.
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
    idle_clients_stay: bool
    conditions: frozenset[Condition]

    def has(self, condition: Condition) -> bool:
        """Whether the run has a condition."""
        return condition in self.conditions

    def __str__(self) -> str:
        signals = " ".join(f"+{timed.after_s:.3f} {timed.name}" for timed in self.signals)
        conditions = ", ".join(sorted(condition.name.lower() for condition in self.conditions)) or "none"
        return (
            f"seed {self.seed}: {self.clients} clients, {self.servers} servers, "
            f"deadlines {self.deadlines_ms} ms, signals {signals}; conditions: {conditions}"
        )


def draw(seed: int) -> SoakPlan:
    """Draw the plan of a run from a seed."""
    rng = random.Random(f"soak {seed}")
    return SoakPlan(
        seed,
        servers=rng.randint(4, 10),
        clients=rng.randint(8, 32),
        deadlines_ms=rng.choice(DEADLINES_MS),
        traffic_s=rng.uniform(0.2, 0.8),
        pause_s=rng.choice((0.0, 0.01, 0.1)),
        connects_after_term_s=rng.uniform(*CONNECTS_AFTER_TERM_S),
        signals=_draw_signals(rng),
        hanging_share=rng.uniform(0.25, 0.5),
        idle_clients_stay=rng.random() < 0.5,
        conditions=_draw_conditions(rng),
    )


def _draw_signals(rng: random.Random) -> tuple[TimedSignal, ...]:
    series = rng.choice(SERIES)
    gaps = [rng.choice((0.0, rng.uniform(0.0, MAX_SIGNAL_GAP_S))) for _ in series]
    return tuple(
        TimedSignal(name, gap if number else 0.0)
        for number, (name, gap) in enumerate(zip(series, gaps, strict=True))
    )


def _draw_conditions(rng: random.Random) -> frozenset[Condition]:
    drawn = [condition for condition in Condition if rng.random() < CONDITION_SHARE]
    for kept, dropped in EXCLUSIVE:
        if kept in drawn and dropped in drawn:
            drawn.remove(dropped)
    return frozenset(drawn)
