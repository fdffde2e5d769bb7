"""The file format of recorded events and decisions; only this module names the interface's fields.

A stream is a settings array, a seed and a start time, then one line for each event: the time since the
previous event, the event, the resulting actions, the state position of the random number generator
afterwards, and a checksum over this and all previous lines. Values are arrays in the order of the tables
below; enums are stored as numbers, durations as integer ns. A value that is missing at the end of an array
has its default.

If a class or field is renamed or moved, only this module changes: the keys of a table are the names in the
files, the rest are the names in the code. The files stay unchanged.
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
    "chained_digest",
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
class Codec:
    """Converts a value to its JSON form and back."""

    encode: Encoder
    decode: Encoder


class ClassCodec:
    """A class and its fields in the order of the files, with codecs for fields that are not plain values."""

    codec: Codec

    def __init__(self, cls: type, *fields: str | tuple[str, Codec]) -> None:
        self.cls = cls
        self.fields = tuple((f, PLAIN) if isinstance(f, str) else f for f in fields)
        self.codec = Codec(self.encode, self.decode)

    def encode(self, value: Any) -> list[Any]:
        return [codec.encode(getattr(value, name)) for name, codec in self.fields]

    def decode(self, values: list[Any]) -> Any:
        named = zip(self.fields, values, strict=False)
        return self.cls(**{name: codec.decode(value) for (name, codec), value in named})


def enum(cls: type) -> Codec:
    return Codec(int, cls)


def optional(codec: Codec) -> Codec:
    return Codec(
        lambda value: None if value is None else codec.encode(value),
        lambda value: None if value is None else codec.decode(value),
    )


def sequence_of(codec: Codec) -> Codec:
    return Codec(
        lambda values: [codec.encode(value) for value in values],
        lambda values: tuple(codec.decode(value) for value in values),
    )


def _encode_server_id(value: Any) -> Any:
    """Encode a server id: text and numbers are unchanged, bytes become an array with their text."""
    return [value.decode("latin-1")] if isinstance(value, bytes) else value


def _decode_server_id(value: Any) -> Any:
    return value[0].encode("latin-1") if isinstance(value, list) else value


def _encode_in_flight(value: Mapping[Any, int]) -> list[Any]:
    return [[_encode_server_id(server), count] for server, count in value.items()]


def _decode_in_flight(value: list[Any]) -> dict[Any, int]:
    return {_decode_server_id(server): count for server, count in value}


PLAIN = Codec(lambda value: value, lambda value: value)
NUMBERS = Codec(list, tuple)
SERVER_ID = Codec(_encode_server_id, _decode_server_id)
IN_FLIGHT = Codec(_encode_in_flight, _decode_in_flight)
BYTES = Codec(lambda value: value.decode("latin-1"), lambda value: value.encode("latin-1"))

REQUEST_CLASS = ClassCodec(
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
TENANT = ClassCodec(api.Tenant, "name", "share", "allowance")
PRICES = ClassCodec(api.Prices, "cross_zone", "handshake", "connection", "waste", "late_failure", "probe")
SETTINGS = ClassCodec(
    api.Settings,
    ("classes", sequence_of(REQUEST_CLASS.codec)),
    ("tenants", sequence_of(TENANT.codec)),
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
    ("prices", PRICES.codec),
)
SERVER = ClassCodec(
    api.Server,
    ("id", SERVER_ID),
    "zone",
    "kind",
    "cell",
    ("state", enum(api.ServerState)),
    "weight",
    "up_since",
)
LIMITS = ClassCodec(
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
    "list": ClassCodec(
        api.ServerList, ("kind", enum(api.ListKind)), ("servers", sequence_of(SERVER.codec)), "version"
    ),
    "request": ClassCodec(
        api.Request,
        "id",
        "class_index",
        "time_left",
        "tenant",
        "key",
        "cost",
        "is_retry",
        "queued_time",
        ("limits", optional(LIMITS.codec)),
        "free_slot_share",
        "body_pending",
        "limited_before",
    ),
    "whole": ClassCodec(api.RequestCompleted, "id"),
    "started": ClassCodec(api.ResponseStarted, "id", "attempt", ("server", SERVER_ID), "rtt"),
    "outcome": ClassCodec(
        api.AttemptFinished,
        "id",
        "attempt",
        ("server", SERVER_ID),
        RESULT,
        "rtt",
        "final",
        ("report", NUMBERS),
    ),
    "gone": ClassCodec(api.ClientDisconnected, "id"),
    "timer": ClassCodec(api.TimerFired, "token"),
    "probed": ClassCodec(api.ProbeResult, ("server", SERVER_ID), RESULT, "rtt", ("report", NUMBERS)),
    "message": ClassCodec(api.PeerMessage, "sender", ("data", BYTES)),
    "elsewhere": ClassCodec(api.PeerLoad, ("in_flight", IN_FLIGHT), "nodes"),
}
ACTIONS = {
    "send": ClassCodec(api.Send, "id", ("server", SERVER_ID), "timeout", "write_deadline"),
    "refuse": ClassCodec(api.Reject, "id", "retry_after"),
    "fail": ClassCodec(api.Fail, "id"),
    "cancel": ClassCodec(api.Cancel, "id", "attempt"),
    "probe": ClassCodec(api.Probe, ("server", SERVER_ID)),
    "close": ClassCodec(api.CloseIdle, ("server", SERVER_ID)),
    "set": ClassCodec(api.SetTimer, "delay", "token"),
    "watch": ClassCodec(api.WatchServers, "active"),
    "fetch": ClassCodec(api.FetchServers),
    "log": ClassCodec(api.Log, "text"),
}
_CLASS_CODECS = (REQUEST_CLASS, TENANT, PRICES, SETTINGS, SERVER, LIMITS, *EVENTS.values(), *ACTIONS.values())
_EVENT_NAMES = {class_codec.cls: name for name, class_codec in EVENTS.items()}
_ACTION_NAMES = {class_codec.cls: name for name, class_codec in ACTIONS.items()}


def missing_from_tables() -> list[str]:
    """Return the events, actions and fields of the interface that are missing in the tables."""
    known = {class_codec.cls for class_codec in _CLASS_CODECS}
    missing = [cls.__name__ for cls in (*api.Event.__args__, *api.Action.__args__) if cls not in known]
    for class_codec in _CLASS_CODECS:
        in_files = {name for name, _ in class_codec.fields}
        names = [one.name for one in fields(class_codec.cls)]
        missing += [f"{class_codec.cls.__name__}.{name}" for name in names if name not in in_files]
    return missing


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
    """Return the position in the generator's state (two for each random draw), which wraps around."""
    position: int = balancer.random.getstate()[1][-1]
    return position


# Streams


@dataclass(frozen=True, slots=True)
class Line:
    """One event with the resulting actions; `check` is a checksum over this and all previous lines."""

    now: int
    event: list[Any]
    actions: list[Any]
    draws: int
    check: str


@dataclass(frozen=True, slots=True)
class Stream:
    """The events and decisions of one balancer."""

    settings: list[Any]
    seed: int
    start: int
    lines: list[Line]


def chained_digest(before: bytes, *values: Any) -> bytes:
    """Return the digest of these values and of the previous digest."""
    return blake2b(before + compact(values), digest_size=16).digest()


def digest_of(stream: Stream) -> str:
    """Return the digest of a whole stream, as stored in digests.txt."""
    digest = chained_digest(b"", stream.settings, stream.seed, stream.start)
    for line in stream.lines:
        digest = chained_digest(digest, line.now, line.event, line.actions, line.draws)
    return digest.hex()


def compact(values: Any) -> bytes:
    return json.dumps(values, separators=(",", ":")).encode()


def replay(stream: Stream) -> Iterator[tuple[Line, Line]]:
    """Replay a stream's events on a new balancer; yields pairs of the recorded and the new line."""
    balancer = Balancer(decode_settings(stream.settings), stream.seed, stream.start)
    digest = chained_digest(b"", stream.settings, stream.seed, stream.start)
    for line in stream.lines:
        actions = encode_actions(balancer.handle(line.now, decode_event(line.event)))
        draws = draws_made(balancer)
        digest = chained_digest(digest, line.now, line.event, actions, draws)
        yield line, Line(line.now, line.event, actions, draws, digest.hex()[:6])


def names() -> list[str]:
    """Return the names of all streams."""
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
