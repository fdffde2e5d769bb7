"""Decodes records of the simulator's wire protocol into events, and encodes actions as records."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from . import bench_wire as wire
from . import interface as api

__all__ = ["EventDecoder", "EventRecord", "Start", "encode_action", "encode_text"]

RESULTS = {
    200: api.Result.OK,
    500: api.Result.ERROR,
    503: api.Result.REJECTED,
    504: api.Result.TIMEOUT,
    502: api.Result.NOT_DELIVERED,
    598: api.Result.RESET,
    499: api.Result.CANCELLED,
    410: api.Result.NOT_SENT,
}
STATES = {0: api.ServerState.GONE, 1: api.ServerState.READY, 2: api.ServerState.DRAINING}
FAILED_LIST = 3
LIST_KINDS = {
    0: api.ListKind.CHANGES,
    1: api.ListKind.FULL,
    2: api.ListKind.CACHED,
    FAILED_LIST: api.ListKind.FAILED,
}
# Flags of a request record.
HAS_COST = 1
IS_RETRY = 2


class Start(NamedTuple):
    """The start of an instance: the seed of its random number generator, and its settings as text."""

    seed: int
    settings: str


class EventRecord(NamedTuple):
    """A decoded record: its code, the instance that it addresses, and its content (None: no event)."""

    code: int
    instance: int
    content: api.Event | Start | None


class EventDecoder:
    """Decodes the event records of one process.

    Attributes
    ----------
    directories
        Server lists by the number by which later records refer to them.
    """

    def __init__(self) -> None:
        self.directories: dict[int, tuple[api.Server, ...]] = {}
        self._decoders: dict[int, Callable[[bytes, int, wire.Batch], EventRecord]] = {
            wire.RESULT: _decode_result,
            wire.ORDER: _decode_request,
            wire.FIRED: _decode_timer,
            wire.HEALTH: _decode_probe,
            wire.TOPOLOGY: self._decode_list,
            wire.DIRECTORY: self._decode_directory,
            wire.CANCELLED_BY_CLIENT: _decode_disconnect,
            wire.ACK_FIRST: _decode_response_start,
            wire.WHISPER: _decode_peer_message,
            wire.ENLIST: _decode_start,
            wire.RETIRE: _decode_stop,
        }

    def decode(self, data: bytes, offset: int, batch: wire.Batch) -> EventRecord:
        """Decode the record at an offset.

        Raises
        ------
        WireError
            If its code is unknown, or it refers to bytes outside the batch.
        KeyError
            If one of its values is unknown.
        """
        decoder = self._decoders.get(data[offset])
        if decoder is None:
            raise wire.WireError(f"unknown event code {data[offset]} at byte {offset}")
        return decoder(data, offset, batch)

    def _decode_list(self, data: bytes, offset: int, _: wire.Batch) -> EventRecord:
        instance, kind, version, number = wire.E_TOPOLOGY.unpack_from(data, offset)
        servers = () if kind == FAILED_LIST else self.directories[number]
        return EventRecord(wire.TOPOLOGY, instance, api.ServerList(LIST_KINDS[kind], servers, version))

    def _decode_directory(self, data: bytes, offset: int, batch: wire.Batch) -> EventRecord:
        number, start, count = wire.E_DIRECTORY.unpack_from(data, offset)
        entries = wire.tail_bytes(batch.tail, start, count * wire.ENTRY.size)
        self.directories[number] = tuple(
            api.Server(server, zone, kind, cell, STATES[state], weight, up_since)
            for server, zone, kind, cell, state, weight, up_since in wire.ENTRY.iter_unpack(entries)
        )
        return EventRecord(wire.DIRECTORY, 0, None)


def _decode_result(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, request, final, rtt, server, verdict, attempt, count, *values = wire.E_RESULT.unpack_from(
        data, offset
    )
    report = tuple(values[:count])
    event = api.AttemptFinished(request, attempt, server, RESULTS[verdict], rtt, final != 0, report)
    return EventRecord(wire.RESULT, instance, event)


def _decode_request(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, request, index, tenant, key, time_left, cost, flags = wire.E_ORDER.unpack_from(data, offset)
    if not flags & HAS_COST:
        cost = 0
    event = api.Request(request, index, time_left, tenant, key, cost, flags & IS_RETRY != 0)
    return EventRecord(wire.ORDER, instance, event)


def _decode_timer(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, token = wire.E_FIRED.unpack_from(data, offset)
    return EventRecord(wire.FIRED, instance, api.TimerFired(token))


def _decode_probe(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, server, verdict, rtt, count, *values = wire.E_HEALTH.unpack_from(data, offset)
    event = api.ProbeResult(server, RESULTS[verdict], rtt, tuple(values[:count]))
    return EventRecord(wire.HEALTH, instance, event)


def _decode_disconnect(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, request = wire.E_CANCELLED.unpack_from(data, offset)
    return EventRecord(wire.CANCELLED_BY_CLIENT, instance, api.ClientDisconnected(request))


def _decode_response_start(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    instance, request, attempt, server, rtt = wire.E_ACK_FIRST.unpack_from(data, offset)
    return EventRecord(wire.ACK_FIRST, instance, api.ResponseStarted(request, attempt, server, rtt))


def _decode_peer_message(data: bytes, offset: int, batch: wire.Batch) -> EventRecord:
    instance, sender, start, length = wire.E_WHISPER.unpack_from(data, offset)
    event = api.PeerMessage(sender, wire.tail_bytes(batch.tail, start, length))
    return EventRecord(wire.WHISPER, instance, event)


def _decode_start(data: bytes, offset: int, batch: wire.Batch) -> EventRecord:
    instance, seed, start, length = wire.E_ENLIST.unpack_from(data, offset)
    settings = wire.tail_bytes(batch.tail, start, length).decode("utf-8", "replace")
    return EventRecord(wire.ENLIST, instance, Start(seed, settings))


def _decode_stop(data: bytes, offset: int, _: wire.Batch) -> EventRecord:
    (instance,) = wire.E_RETIRE.unpack_from(data, offset)
    return EventRecord(wire.RETIRE, instance, None)


_Encoder = Callable[[int, Any], bytes]

_ENCODERS: dict[type, _Encoder] = {
    api.Send: lambda instance, action: wire.A_SUBMIT_TO.pack(
        wire.SUBMIT_TO, instance, action.id, action.server, action.timeout
    ),
    api.SetTimer: lambda instance, action: wire.A_WAKE_AT.pack(
        wire.WAKE_AT, instance, action.delay, action.token
    ),
    api.Cancel: lambda instance, action: wire.A_RETRACT.pack(
        wire.RETRACT, instance, action.id, action.attempt
    ),
    api.Reject: lambda instance, action: wire.A_TURN_AWAY.pack(
        wire.TURN_AWAY, instance, action.id, action.retry_after
    ),
    api.Fail: lambda instance, action: wire.A_DROP_REQUEST.pack(wire.DROP_REQUEST, instance, action.id),
    api.Probe: lambda instance, action: wire.A_PROBE.pack(wire.PROBE, instance, action.server),
    api.CloseIdle: lambda instance, action: wire.A_CLOSE.pack(wire.CLOSE, instance, action.server),
    api.WatchServers: lambda instance, action: wire.A_KEEP_INFORMED.pack(
        wire.KEEP_INFORMED, instance, action.active
    ),
    api.FetchServers: lambda instance, _: wire.A_GET_LIST.pack(wire.GET_LIST, instance),
}


def encode_action(instance: int, action: api.Action, tail: bytearray) -> bytes:
    """Encode an instance's action as a record; text is appended to the reply's tail.

    Raises
    ------
    TypeError
        If the wire protocol has no record for the action.
    """
    if type(action) is api.Log:
        return encode_text(wire.JOURNAL_LINE, instance, action.text, tail)
    encoder = _ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"the wire protocol has no record for the action {action!r}")
    return encoder(instance, action)


def encode_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    """Encode a record with text, which is appended to the reply's tail."""
    encoded = text.encode("utf-8", "replace")
    record = wire.A_TEXT.pack(code, instance, len(tail), len(encoded))
    tail += encoded
    return record
