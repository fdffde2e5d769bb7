"""Adapter from the bench's wire to the decision module: it translates and hosts, and decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from . import bench_wire as w
from . import interface as api
from .balancer import Balancer
from .bench_settings import parse_settings

RESULTS = {
    200: api.Result.OK,
    500: api.Result.ERROR,
    503: api.Result.REJECTED,
    504: api.Result.TIMEOUT,
    502: api.Result.CONNECT_FAILED,
    598: api.Result.RESET,
    499: api.Result.CANCELLED,
    410: api.Result.NOT_SENT,
}
STATES = {0: api.ServerState.GONE, 1: api.ServerState.READY, 2: api.ServerState.DRAINING}
LIST_KINDS = {0: api.ListKind.CHANGES, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}


# What an event record holds: an event, the seed and text of a start, or nothing for the module.
_Content = api.Event | tuple[int, str] | None


class Link:
    """Hosts the instances of one process and turns batches into replies."""

    def __init__(self, make: Callable[[api.Settings, int, int], Balancer] = Balancer) -> None:
        self.make = make
        self.instances: dict[int, Balancer] = {}
        self.directories: dict[int, tuple[api.Server, ...]] = {}

    def reply(self, batch: w.Batch) -> bytes:
        """Hand a batch's events to their instances, in order; the frame that answers it."""
        records: list[bytes] = []
        tail = bytearray()
        data = batch.records
        for at in range(0, len(data), w.EVENT_SIZE):
            try:
                code, i, event = self._event(data, at, batch)
            except KeyError as error:
                raise w.WireError(f"malformed record at byte {at}: unknown value {error}") from None
            if code == w.DIRECTORY:
                continue
            if code == w.RETIRE:
                self.instances.pop(i, None)
                continue
            try:
                if code == w.ENLIST:
                    assert isinstance(event, tuple)
                    salt, text = event
                    self.instances[i] = self.make(parse_settings(text), salt, batch.now)
                    continue
                instance = self.instances.get(i)
                if instance is None or event is None or isinstance(event, tuple):
                    continue
                for action in instance.handle(batch.now, event):
                    records.append(self._action(i, action, tail))
            except Exception:
                records.append(_text(w.BUG, i, traceback.format_exc(), tail))
        return w.write_reply(batch.number, records, bytes(tail))

    def _event(self, data: bytes, at: int, batch: w.Batch) -> tuple[int, int, _Content]:
        code = data[at]
        if code == w.RESULT:
            i, rid, final, rtt, server, verdict, attempt, n, *values = w.E_RESULT.unpack_from(data, at)
            return (
                code,
                i,
                api.AttemptFinished(
                    rid, attempt, server, RESULTS[verdict], rtt, final != 0, tuple(values[:n])
                ),
            )
        if code == w.ORDER:
            i, rid, cls, tenant, key, left, cost, options = w.E_ORDER.unpack_from(data, at)
            return (
                code,
                i,
                api.Request(rid, cls, left, tenant, key, cost if options & 1 else 0, options & 2 != 0),
            )
        if code == w.FIRED:
            i, token = w.E_FIRED.unpack_from(data, at)
            return code, i, api.TimerFired(token)
        if code == w.HEALTH:
            i, server, verdict, rtt, n, *values = w.E_HEALTH.unpack_from(data, at)
            return code, i, api.ProbeResult(server, RESULTS[verdict], rtt, tuple(values[:n]))
        if code == w.TOPOLOGY:
            i, kind, version, number = w.E_TOPOLOGY.unpack_from(data, at)
            servers = () if kind == 3 else self.directories[number]
            return code, i, api.ServerList(LIST_KINDS[kind], servers, version)
        if code == w.DIRECTORY:
            number, offset, count = w.E_DIRECTORY.unpack_from(data, at)
            raw = w.tail_bytes(batch.tail, offset, count * w.ENTRY.size)
            self.directories[number] = tuple(
                api.Server(server, zone, kind, cell, STATES[state], weight, since)
                for server, zone, kind, cell, state, weight, since in w.ENTRY.iter_unpack(raw)
            )
            return code, 0, None
        if code == w.CANCELLED_BY_CLIENT:
            i, rid = w.E_CANCELLED.unpack_from(data, at)
            return code, i, api.ClientDisconnected(rid)
        if code == w.ACK_FIRST:
            i, rid, attempt, server, rtt = w.E_ACK_FIRST.unpack_from(data, at)
            return code, i, api.ResponseStarted(rid, attempt, server, rtt)
        if code == w.WHISPER:
            i, sender, offset, length = w.E_WHISPER.unpack_from(data, at)
            return code, i, api.PeerMessage(sender, w.tail_bytes(batch.tail, offset, length))
        if code == w.ENLIST:
            i, salt, offset, length = w.E_ENLIST.unpack_from(data, at)
            return code, i, (salt, w.tail_bytes(batch.tail, offset, length).decode("utf-8", "replace"))
        if code == w.RETIRE:
            return code, w.E_RETIRE.unpack_from(data, at)[0], None
        raise w.WireError(f"unknown event code {code} at byte {at}")

    @staticmethod
    def _action(i: int, a: api.Action, tail: bytearray) -> bytes:
        if isinstance(a, api.Send):
            return w.A_SUBMIT_TO.pack(w.SUBMIT_TO, i, a.id, a.server, a.timeout)
        if isinstance(a, api.SetTimer):
            return w.A_WAKE_AT.pack(w.WAKE_AT, i, a.delay, a.token)
        if isinstance(a, api.Cancel):
            return w.A_RETRACT.pack(w.RETRACT, i, a.id, a.attempt)
        if isinstance(a, api.Reject):
            return w.A_TURN_AWAY.pack(w.TURN_AWAY, i, a.id, a.retry_after)
        if isinstance(a, api.Fail):
            return w.A_DROP_REQUEST.pack(w.DROP_REQUEST, i, a.id)
        if isinstance(a, api.Probe):
            return w.A_PROBE.pack(w.PROBE, i, a.server)
        if isinstance(a, api.CloseIdle):
            return w.A_CLOSE.pack(w.CLOSE, i, a.server)
        if isinstance(a, api.WatchServers):
            return w.A_KEEP_INFORMED.pack(w.KEEP_INFORMED, i, a.active)
        if isinstance(a, api.FetchServers):
            return w.A_GET_LIST.pack(w.GET_LIST, i)
        if isinstance(a, api.Log):
            return _text(w.JOURNAL_LINE, i, a.text, tail)
        raise TypeError(f"unknown action {a!r}")


def _text(code: int, i: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode("utf-8", "replace")
    record = w.A_TEXT.pack(code, i, len(tail), len(raw))
    tail += raw
    return record


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    link = Link()
    while (batch := w.read_batch(source)) is not None:
        sink.write(link.reply(batch))
        sink.flush()


def main() -> int:
    """Entry point of the adapter: 0 at a clean end of input, 1 at anything that is not a frame."""
    # Reference counts free everything the module makes; the cycle collector's pauses would only be billed
    # as CPU.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except w.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
