"""Codec test vectors, the settings parser, and the adapter as a process."""

from __future__ import annotations

import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import bench_adapter
from hollybay.balancing import bench_codec as codec
from hollybay.balancing import bench_wire as wire
from hollybay.balancing import interface as api
from hollybay.balancing.settings_parser import parse_settings

ROOT = Path(__file__).resolve().parent.parent
SETUP = """balancers=3
caps.cancel=true
caps.may-duplicate=true
caps.most-tries=3
categories.count=2
categories.0.effect=retryable
categories.0.give-up=500000000
categories.0.name=a
categories.0.slo=200000000
categories.0.worth=3.0
categories.1.effect=dedup
categories.1.give-up=6000000000
categories.1.group=cell
categories.1.name=b
categories.1.slo=1500000000
categories.1.window=4000000000
categories.1.worth=10.0
kinds=x,y
me=0
my-zone=0
quantum=4000000
report.fields=fail_rate,rate,q
report.via=piggyback
rules.cold-share=0.32
rules.warm-up=8300000000
weights=live
zones=here,there
some.key-to-come=whatever
"""


def event(code: int, body: bytes) -> bytes:
    return (bytes([code]) + body).ljust(wire.EVENT_SIZE, b"\0")


def frame(number: int, now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    body = b"".join(records)
    return struct.pack("<IIIQ", number, len(records), 8 + len(body) + len(tail), now) + body + tail


def start(i: int, salt: int) -> tuple[list[bytes], bytes]:
    """ENLIST, DIRECTORY and TOPOLOGY of an instance; the tail contains the settings and six servers."""
    text = SETUP.replace("me=0", f"me={i}").encode()
    entries = b"".join(
        struct.pack("<6sBBHBfQ", b"\x0a\0\0%c\x23\x2b" % n, n % 2, n % 2, n // 3, 1, 1.0, 0) for n in range(6)
    )
    records = [
        event(wire.ENLIST, struct.pack("<IQII", i, salt, 0, len(text))),
        event(wire.DIRECTORY, struct.pack("<HII", 0, len(text), 6)),
        event(wire.TOPOLOGY, struct.pack("<IBIH", i, 2, 1, 0)),
    ]
    return records, text + entries


def request(i: int, rid: int, cls: int = 0) -> bytes:
    return event(wire.ORDER, struct.pack("<IQBHQQQH", i, rid, cls, 0, 0, 500_000_000, 0, 0))


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", "hollybay.balancing.bench_adapter"]
    return subprocess.run(
        command, input=data, capture_output=True, cwd=ROOT, env=env, timeout=60, check=False
    )


def replies(data: bytes) -> list[tuple[int, list[bytes], bytes]]:
    out = []
    while data:
        number, size, count = struct.unpack_from("<III", data)
        body, data = data[12 : 8 + size], data[8 + size :]
        split = count * wire.ACTION_SIZE
        out.append((number, [body[n : n + wire.ACTION_SIZE] for n in range(0, split, 32)], body[split:]))
    return out


def session(instances: list[int], batches: int = 60) -> bytes:
    data = b""
    now = 10**9
    for n, i in enumerate(instances):
        records, tail = start(i, 1000 + i)
        data += frame(n, now, records, tail)
    for n in range(batches):
        now += 4_000_000
        records = [request(i, 1000 * i + n, n % 2) for i in instances]
        data += frame(100 + n, now, records)
    return data


def test_action_vectors() -> None:
    empty = bytes.fromhex("01000000000000000800000090bf68f501000000")
    import io

    batch = wire.read_batch(io.BytesIO(empty))
    assert batch == (1, 0, 0, b"", b"") or (batch is not None and batch.now == 0x1F568BF90)
    assert wire.write_reply(1, [], b"") == bytes.fromhex("010000000400000000000000")
    sid = bytes.fromhex("0a124a072b23")
    rid = 0x0EDA755D3A91C4
    send = codec.encode_action(3, api.Send(rid, sid, 80_000_000), bytearray())
    assert send == bytes.fromhex(
        "0c03000000c4913a5d75da0e000a124a072b2300b4c4040000000000 00000000".replace(" ", "")
    )
    wake = codec.encode_action(3, api.SetTimer(500_000_000, 77), bytearray())
    assert wake == bytes.fromhex("09030000000065cd1d000000004d000000").ljust(32, b"\0")
    tail = bytearray()
    line = codec.encode_action(5, api.Log("two servers known"), tail)
    assert (
        line == bytes.fromhex("0b050000000000000011000000").ljust(32, b"\0") and tail == b"two servers known"
    )


def test_event_vectors() -> None:
    decoder = codec.EventDecoder()
    order = bytes.fromhex(
        "0303000000c4913a5d75da0e00000000640ad2557c3bf091001c4e0e00000000001bb700000000000100"
    )
    none = wire.Batch(1, 0, 1, b"", b"")
    _, i, got = decoder.decode(order.ljust(56, b"\0"), 0, none)
    expected = api.Request(0x0EDA755D3A91C4, 0, 240_000_000, 0, 0x91F03B7C55D20A64, 12_000_000)
    assert (i, got) == (3, expected)
    result = bytes.fromhex(
        "0503000000c4913a5d75da0e0001a0491a01000000000a124a072b23c8000000030000003f00000c430000404000000000"
    )
    _, i, got = decoder.decode(result.ljust(56, b"\0"), 0, none)
    rtt = 0x011A49A0
    sid = bytes.fromhex("0a124a072b23")
    assert got == api.AttemptFinished(0x0EDA755D3A91C4, 0, sid, api.Result.OK, rtt, True, (0.5, 140.0, 3.0))


def test_a_session_end_to_end() -> None:
    done = run(session([0, 1]))
    assert done.returncode == 0 and done.stderr == b""
    answered = replies(done.stdout)
    assert [number for number, _, _ in answered[:3]] == [0, 1, 100]
    sends = [r for _, records, _ in answered for r in records if r[0] == wire.SUBMIT_TO]
    assert len(sends) == 120


def test_instances_of_one_process_decide_like_those_of_separate_processes() -> None:
    def by_instance(data: bytes) -> dict[int, list[bytes]]:
        out: dict[int, list[bytes]] = {}
        for _, records, _ in replies(data):
            for r in records:
                out.setdefault(struct.unpack_from("<I", r, 1)[0], []).append(r)
        return out

    together = by_instance(run(session([0, 1, 2])).stdout)
    apart: dict[int, list[bytes]] = {}
    for i in range(3):
        apart.update(by_instance(run(session([i])).stdout))
    assert together == apart


@pytest.mark.parametrize(
    "data",
    [
        b"\1\2\3",
        frame(1, 5, [event(200, b"")]),
        session([0])[:-10],
        struct.pack("<IIIQ", 1, 50, 8, 0),
        struct.pack("<IIIQ", 1, 0, 4, 0),
        frame(1, 5, [event(wire.TOPOLOGY, struct.pack("<IBIH", 0, 1, 1, 9))]),
        frame(1, 5, [event(wire.DIRECTORY, struct.pack("<HII", 0, 900, 6))]),
        frame(
            1,
            5,
            [event(wire.RESULT, struct.pack("<IQBQ6sHHB4f", 0, 1, 0, 5, b"\0" * 6, 999, 0, 0, 0, 0, 0, 0))],
        ),
    ],
)
def test_malformed_input_ends_the_process_with_a_one_line_message(data: bytes) -> None:
    done = run(data)
    assert done.returncode != 0
    assert done.stderr.count(b"\n") == 1 and done.stderr.startswith(b"benchlink: ")


def test_end_of_input_is_not_an_error() -> None:
    done = run(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


@given(st.binary(max_size=200))
def test_random_bytes_neither_hang_nor_crash_the_reader(data: bytes) -> None:
    import io

    stream = io.BytesIO(data)
    try:
        while wire.read_batch(stream) is not None:
            pass
    except wire.WireError:
        pass


def test_an_exception_in_the_decision_module_is_reported_as_a_bug_record() -> None:
    class Broken:
        def __init__(self, *_: object) -> None:
            pass

        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            raise RuntimeError("the cause")

    host = bench_adapter.BalancerHost(Broken)  # type: ignore[arg-type]
    records, tail = start(0, 1)
    _, out, text = replies(host.reply(wire.Batch(1, 5, 3, b"".join(records), tail)))[0]
    assert out[0][0] == wire.BUG and b"the cause" in text and b"Traceback" in text


def test_invalid_settings_are_reported_as_a_bug_record() -> None:
    host = bench_adapter.BalancerHost()
    text = SETUP.replace("balancers=3", "balancers=none").encode()
    record = event(wire.ENLIST, struct.pack("<IQII", 0, 1, 0, len(text)))
    _, out, tail = replies(host.reply(wire.Batch(1, 5, 1, record, text)))[0]
    assert out[0][0] == wire.BUG and b"balancers" in tail


def test_settings_are_parsed() -> None:
    s = parse_settings(SETUP)
    assert (s.nodes, s.zones, s.kinds, s.tick, s.weight_mode) == (3, 2, 2, 4_000_000, api.WeightMode.LIVE)
    assert (
        s.classes[1].deduplication_scope == api.DeduplicationScope.CELL
        and s.classes[1].deduplication_window == 4 * 10**9
    )
    assert s.report_fields == ("errors", "rate", "queued") and s.tenants == ()


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("balancers=3\n", "", "balancers"),
        ("balancers=3", "balancers=0", "balancers"),
        ("categories.count=2", "categories.count=x", "categories.count"),
        ("categories.0.slo=200000000\n", "", "categories.0.slo"),
        ("categories.0.effect=retryable", "categories.0.effect=maybe", "categories.0.effect"),
        ("categories.1.window=4000000000\n", "", "categories.1.window"),
        ("rules.cold-share=0.32", "rules.cold-share=nan", "rules.cold-share"),
        ("caps.cancel=true", "caps.cancel=perhaps", "caps.cancel"),
        ("weights=live", "weights=heavy", "weights"),
        ("my-zone=0", "my-zone=5", "zone"),
    ],
)
def test_the_error_for_invalid_settings_names_their_key(old: str, new: str, key: str) -> None:
    assert old in SETUP
    with pytest.raises(ValueError, match=key):
        parse_settings(SETUP.replace(old, new))
