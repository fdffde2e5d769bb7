"""Recorded events and decisions by position: the only place of these tests that knows the module's names.

A stream is a settings array, a seed and a start time, then one line for each event: the time since the one
before, the event, the actions that answered it, the position in the sequence of chance draws afterwards, and
a checksum over all of this and all lines before. Values are arrays whose order is given by the tables below;
enums are their numbers, durations integer ns. A value that is absent at the end of an array has its default.

A rename or another home of a class or field is followed here: the left column of a table is the name in the
file, the rest the names in the code. The files stay as they are.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields
from hashlib import blake2b
from pathlib import Path
from typing import Any

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api

__all__ = [
    "ACTIONS",
    "EVENTS",
    "FOLDER",
    "Balancer",
    "Line",
    "Stream",
    "chained",
    "decode_event",
    "decode_settings",
    "digest_of",
    "draws_made",
    "encode_actions",
    "encode_event",
    "encode_settings",
    "load",
    "missing_from_tables",
    "names",
    "replay",
    "save",
]

FOLDER = Path(__file__).resolve().parent / "golden" / "decisions"
SUFFIX = ".jsonl.gz"

Encoder = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class Part:
    """How a value becomes JSON and comes back."""

    encode: Encoder
    decode: Encoder


class Shape:
    """A class and its fields in the order of the files; where a field is no plain value, with its part."""

    part: Part

    def __init__(self, cls: type, *fields: str | tuple[str, Part]) -> None:
        self.cls = cls
        self.fields = tuple((f, PLAIN) if isinstance(f, str) else f for f in fields)
        self.part = Part(self.encode, self.decode)

    def encode(self, value: Any) -> list[Any]:
        return [part.encode(getattr(value, name)) for name, part in self.fields]

    def decode(self, values: list[Any]) -> Any:
        named = zip(self.fields, values, strict=False)
        return self.cls(**{name: part.decode(value) for (name, part), value in named})


def enum(cls: type) -> Part:
    return Part(int, cls)


def optional(part: Part) -> Part:
    return Part(
        lambda value: None if value is None else part.encode(value),
        lambda value: None if value is None else part.decode(value),
    )


def each(part: Part) -> Part:
    return Part(
        lambda values: [part.encode(value) for value in values],
        lambda values: tuple(part.decode(value) for value in values),
    )


def _server_id(value: Any) -> Any:
    """Ids of servers: text and numbers as they are, bytes as an array with their text."""
    return [value.decode("latin-1")] if isinstance(value, bytes) else value


def _server_id_back(value: Any) -> Any:
    return value[0].encode("latin-1") if isinstance(value, list) else value


def _held(value: Mapping[Any, int]) -> list[Any]:
    return [[_server_id(server), count] for server, count in value.items()]


def _held_back(value: list[Any]) -> dict[Any, int]:
    return {_server_id_back(server): count for server, count in value}


PLAIN = Part(lambda value: value, lambda value: value)
NUMBERS = Part(list, tuple)
SERVER_ID = Part(_server_id, _server_id_back)
HELD = Part(_held, _held_back)
BYTES = Part(lambda value: value.decode("latin-1"), lambda value: value.encode("latin-1"))

REQUEST_CLASS = Shape(
    api.RequestClass,
    "name",
    ("effect", enum(api.Effect)),
    "priority_weight",
    "latency_objective",
    "deadline",
    "late_weight",
    ("deduplication_scope", enum(api.DeduplicationScope)),
    "deduplication_window",
    "streamed",
)
TENANT = Shape(api.Tenant, "name", "share", "allowance")
PRICES = Shape(api.Prices, "cross_zone", "handshake", "connection", "waste", "late_failure", "probe")
SETTINGS = Shape(
    api.Settings,
    ("classes", each(REQUEST_CLASS.part)),
    ("tenants", each(TENANT.part)),
    "zones",
    "kinds",
    "zone",
    "node",
    "nodes",
    "tick",
    ("weight_mode", enum(api.WeightMode)),
    ("report_mode", enum(api.ReportMode)),
    ("report_fields", NUMBERS),
    "poll_required",
    "max_attempts",
    "hedging_allowed",
    "cancel_allowed",
    "probes_allowed",
    "over_share_weight",
    "weight_by_work",
    "connect_timeout",
    "idle_timeout",
    "streams",
    "max_retry_after",
    "answer_grace",
    "drain_grace",
    "cold_share",
    "warm_up",
    "overload_multiple",
    "overload_window",
    "poll_within",
    ("prices", PRICES.part),
)
SERVER = Shape(
    api.Server,
    ("id", SERVER_ID),
    "zone",
    "kind",
    "cell",
    ("state", enum(api.ServerState)),
    "weight",
    "up_since",
)
LIMITS = Shape(
    api.Limits,
    "attempts",
    "attempt_timeout",
    "hedges",
    "hedge_delay",
    "retry_window",
    ("retry_scope", optional(enum(api.DeduplicationScope))),
    "retry_share",
    "budget",
    ("retry_after", NUMBERS),
)
RESULT = ("result", enum(api.Result))
EVENTS = {
    "list": Shape(api.ServerList, ("kind", enum(api.ListKind)), ("servers", each(SERVER.part)), "version"),
    "request": Shape(
        api.Request,
        "id",
        "class_index",
        "time_left",
        "tenant",
        "key",
        "cost",
        "is_retry",
        "queued_time",
        ("limits", optional(LIMITS.part)),
        "free_slot_share",
        "body_pending",
        "limited_before",
    ),
    "whole": Shape(api.RequestCompleted, "id"),
    "started": Shape(api.ResponseStarted, "id", "attempt", ("server", SERVER_ID), "rtt"),
    "outcome": Shape(
        api.AttemptFinished,
        "id",
        "attempt",
        ("server", SERVER_ID),
        RESULT,
        "rtt",
        "final",
        ("report", NUMBERS),
    ),
    "gone": Shape(api.ClientDisconnected, "id"),
    "timer": Shape(api.TimerFired, "token"),
    "probed": Shape(api.ProbeResult, ("server", SERVER_ID), RESULT, "rtt", ("report", NUMBERS)),
    "message": Shape(api.PeerMessage, "sender", ("data", BYTES)),
    "elsewhere": Shape(api.PeerLoad, ("in_flight", HELD), "nodes"),
}
ACTIONS = {
    "send": Shape(api.Send, "id", ("server", SERVER_ID), "timeout", "write_deadline"),
    "refuse": Shape(api.Reject, "id", "retry_after"),
    "fail": Shape(api.Fail, "id"),
    "cancel": Shape(api.Cancel, "id", "attempt"),
    "probe": Shape(api.Probe, ("server", SERVER_ID)),
    "close": Shape(api.CloseIdle, ("server", SERVER_ID)),
    "set": Shape(api.SetTimer, "delay", "token"),
    "watch": Shape(api.WatchServers, "active"),
    "fetch": Shape(api.FetchServers),
    "log": Shape(api.Log, "text"),
}
_SHAPES = (REQUEST_CLASS, TENANT, PRICES, SETTINGS, SERVER, LIMITS, *EVENTS.values(), *ACTIONS.values())
_EVENT_NAMES = {shape.cls: name for name, shape in EVENTS.items()}
_ACTION_NAMES = {shape.cls: name for name, shape in ACTIONS.items()}


def missing_from_tables() -> list[str]:
    """What the interface has and the tables lack: classes of events and actions, and fields."""
    known = {shape.cls for shape in _SHAPES}
    lacking = [cls.__name__ for cls in (*api.Event.__args__, *api.Action.__args__) if cls not in known]
    for shape in _SHAPES:
        in_files = {name for name, _ in shape.fields}
        names = [one.name for one in fields(shape.cls)]
        lacking += [f"{shape.cls.__name__}.{name}" for name in names if name not in in_files]
    return lacking


def encode_settings(settings: Any) -> list[Any]:
    return SETTINGS.encode(settings)


def decode_settings(values: list[Any]) -> Any:
    return SETTINGS.decode(values)


def encode_event(event: Any) -> list[Any]:
    name = _EVENT_NAMES[type(event)]
    return [name, *EVENTS[name].encode(event)]


def decode_event(values: list[Any]) -> Any:
    return EVENTS[values[0]].decode(values[1:])


def encode_actions(actions: list[Any]) -> list[list[Any]]:
    named = ((_ACTION_NAMES[type(action)], action) for action in actions)
    return [[name, *ACTIONS[name].encode(action)] for name, action in named]


def draws_made(balancer: Any) -> int:
    """The position in the sequence of chance draws, modulo its period of renewal: two for each draw."""
    position: int = balancer.random.getstate()[1][-1]
    return position


# Streams


@dataclass(frozen=True, slots=True)
class Line:
    """One event, and what it led to; check: over this line and all before."""

    now: int
    event: list[Any]
    actions: list[Any]
    draws: int
    check: str


@dataclass(frozen=True, slots=True)
class Stream:
    """What one balancer was given and decided."""

    settings: list[Any]
    seed: int
    start: int
    lines: list[Line]


def chained(before: bytes, *values: Any) -> bytes:
    """The digest of these values and of all that came before them."""
    return blake2b(before + compact(values), digest_size=16).digest()


def digest_of(stream: Stream) -> str:
    """The digest over all of a stream, as it is stored."""
    digest = chained(b"", stream.settings, stream.seed, stream.start)
    for line in stream.lines:
        digest = chained(digest, line.now, line.event, line.actions, line.draws)
    return digest.hex()


def compact(values: Any) -> bytes:
    return json.dumps(values, separators=(",", ":")).encode()


def replay(stream: Stream) -> Iterator[tuple[Line, Line]]:
    """Each event given to a balancer of now: the line recorded, and the line as it would be recorded now."""
    balancer = Balancer(decode_settings(stream.settings), stream.seed, stream.start)
    digest = chained(b"", stream.settings, stream.seed, stream.start)
    for line in stream.lines:
        actions = encode_actions(balancer.handle(line.now, decode_event(line.event)))
        draws = draws_made(balancer)
        digest = chained(digest, line.now, line.event, actions, draws)
        yield line, Line(line.now, line.event, actions, draws, digest.hex()[:6])


def names() -> list[str]:
    """All streams."""
    return sorted(path.name.removesuffix(SUFFIX) for path in FOLDER.glob("*" + SUFFIX))


def save(name: str, stream: Stream) -> None:
    rows = [compact([stream.settings, stream.seed, stream.start])]
    before = stream.start
    for line in stream.lines:
        rows.append(compact([line.now - before, line.event, line.actions, line.draws, line.check]))
        before = line.now
    packed = gzip.compress(b"\n".join(rows) + b"\n", 9, mtime=0)
    (FOLDER / (name + SUFFIX)).write_bytes(packed)


def load(name: str) -> Stream:
    head, *rows = gzip.decompress((FOLDER / (name + SUFFIX)).read_bytes()).splitlines()
    settings, seed, now = json.loads(head)
    lines = []
    start = now
    for row in rows:
        passed, event, actions, draws, check = json.loads(row)
        now += passed
        lines.append(Line(now, event, actions, draws, check))
    return Stream(settings, seed, start, lines)
