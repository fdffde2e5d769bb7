"""What the decision module keeps of servers, requests and attempts. State only: nothing is decided here.

Times and durations are integer nanoseconds on the caller's clock.
"""

from __future__ import annotations

from .interface import Limits, Request, Result, ServerId, ServerState

__all__ = ["MS", "SECOND", "Owed", "Server", "SpeedClass", "Try"]

MS = 1_000_000
SECOND = 1_000_000_000


class Server:
    """What this node knows of a server."""

    __slots__ = (
        "answered",
        "cap",
        "cell",
        "cold_at",
        "cold_gap",
        "denied",
        "fails",
        "free_at",
        "group",
        "held",
        "id",
        "kind",
        "listed",
        "load",
        "lot",
        "nominal",
        "others",
        "pause",
        "paused_until",
        "pos",
        "refused",
        "silent",
        "since",
        "size",
        "slow",
        "state",
        "told",
        "told_until",
        "trial",
        "warmth",
        "weight",
        "zone",
    )

    def __init__(self, sid: ServerId, pause: int) -> None:
        self.id = sid
        self.zone = self.kind = self.cell = 0
        self.state = ServerState.READY
        self.weight = 1.0
        self.since = 0  # start of its process, 0: long ago
        self.nominal = 1.0  # size as the list has it
        self.size = 1.0  # estimated capacity when warm and well, relative to others
        self.cap = 1.0  # estimated present capacity
        self.lot = 0.0  # this node's lot for it, evenly drawn from 0 to 1
        self.listed = True  # whether it may join this node's idle lists
        self.warmth = 1.0  # share of its capacity that it has at its age, at the least
        self.free_at = 0  # from when this node may take it for idle again
        self.cold_gap = 0  # time that the cold budget sets between this node's sends while the server is cold
        self.cold_at = -1  # from when the cold budget allows the next
        self.held = 0  # attempts out there: this node's, and those that others tell of
        self.others = 0  # of them, those that others tell of
        self.pos = -1  # place in its class's idle list, -1: not in it
        self.group: SpeedClass | None = None
        self.load = 0.0  # requests held for each core, where the list tells
        self.slow = 1.0  # response time relative to what its size promises
        self.fails = 0.0  # running share of failures
        self.told = 0.0  # share of failures as the server tells it, in force until told_until
        self.told_until = 0
        self.refused = 0  # connects that failed since the last answer
        self.silent = 0  # time-outs since the last answer
        self.answered = 0  # last answer of any kind
        self.paused_until = 0
        self.pause = pause  # how long the next pause is
        self.denied: dict[int, int] = {}  # until when it is left out, by tenant that it turns away
        self.trial = False  # one attempt is out to see whether it is well again


class SpeedClass:
    """Servers of about one speed, near or far, with an indexed list of the idle ones."""

    __slots__ = ("idle", "waking")

    def __init__(self) -> None:
        self.idle: list[Server] = []
        self.waking: list[tuple[int, int, Server]] = []  # heap of (free_at, tie-break, server)


class Owed:
    """A request this node owes an answer, or whose attempts are still out."""

    __slots__ = (
        "cls",
        "cost",
        "deadline",
        "done",
        "id",
        "limits",
        "out",
        "sending",
        "streaming",
        "tenant",
        "tries",
        "waiting",
    )

    def __init__(self, event: Request, now: int) -> None:
        self.id = event.id
        self.cls = event.class_index
        self.tenant = event.tenant
        self.cost = event.cost
        self.limits: Limits | None = event.limits
        self.sending = event.body_pending
        self.deadline = now + event.time_left
        self.tries: list[Try] = []
        self.out = 0
        self.done = False
        self.waiting = False
        self.streaming = False


class Try:
    """One attempt; result None: still out."""

    __slots__ = ("beside", "cell", "counted", "result", "sent", "server", "zone")

    def __init__(self, server: Server, sent: int) -> None:
        self.server = server
        self.beside = server.held  # this node's other attempts there when it was sent
        self.zone = server.zone
        self.cell = server.cell
        self.sent = sent
        self.counted = False  # its server is at work on it, as far as this node knows
        self.result: Result | None = None
