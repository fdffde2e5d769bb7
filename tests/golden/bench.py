"""Records what the bench would send to the decision code, answering what it asks.

It names nothing of the project: the layout of frames is that of the wire's page, written out a second time.
"""

from __future__ import annotations

import os
import shlex
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

__all__ = ["EVERY_SETTING", "SETUP", "answer", "record", "refused", "settings_refused"]

ROOT = Path(__file__).resolve().parent.parent.parent
MS = 1_000_000
EVENT, ACTION = 56, 32
SETUP = """balancers=2
caps.cancel=true
caps.conn-idle=15000000000
caps.may-duplicate=true
caps.most-tries=3
caps.probes=true
caps.retry-after=true
caps.max-retry-after=2000000000
categories.count=3
categories.0.effect=retryable
categories.0.give-up=500000000
categories.0.name=view
categories.0.slo=200000000
categories.0.worth=3.0
categories.1.effect=dedup
categories.1.give-up=6000000000
categories.1.group=cell
categories.1.name=book
categories.1.slo=1500000000
categories.1.window=4000000000
categories.1.worth=10.0
categories.2.effect=fragile
categories.2.give-up=5000000000
categories.2.name=send
categories.2.slo=1200000000
categories.2.worth=2.0
deductions.cross-zone=0.05
kinds=x,y
me=0
membership-mode=subscribe
my-zone=0
quantum=4000000
report.fields=rif,q,lat_ms
report.via=piggyback
rules.cold-share=0.32
rules.must-ask-in=1000000000
rules.warm-up=300000000
tenants.count=2
tenants.0.name=north
tenants.0.share=0.7
tenants.1.name=south
tenants.1.share=0.3
weights=live
zones=here,there
some.key-to-come=whatever
"""
# Every path that settings are read from, with a value that is not the one for an absent path.
EVERY_SETTING = """balancers=5
caps.cancel=true
caps.conn-idle=16
caps.connect-timeout=17
caps.max-retry-after=18
caps.max-streams=19
caps.may-duplicate=true
caps.most-tries=4
caps.probes=true
caps.retry-after=true
categories.count=2
categories.0.effect=dedup
categories.0.give-up=500000000
categories.0.group=cell
categories.0.late-worth=0.25
categories.0.name=view
categories.0.slo=200000000
categories.0.streamed=true
categories.0.window=4000000000
categories.0.worth=3.0
categories.1.effect=fragile
categories.1.give-up=2
categories.1.group=zone
categories.1.slo=1
counted-by=work
deductions.connection=0.01
deductions.cross-zone=0.02
deductions.handshake=0.03
deductions.late-fail=0.04
deductions.probe=0.05
deductions.waste=0.06
kinds=x,y,z
me=4
membership-mode=subscribe
my-zone=1
over-share-worth=0.1
quantum=4000000
report.fields=rif,q,busy,lat_ms,rate,fail_rate
report.via=pull
rules.cold-share=0.32
rules.drain-grace=20
rules.fall-multiple=3.5
rules.grace-to-answer=21
rules.must-ask-in=22
rules.overload-for=23
rules.warm-up=24
tenants.count=2
tenants.0.allowance-per-s=33.0
tenants.0.name=north
tenants.0.share=0.7
tenants.1.share=0.3
weights=rough
zones=here,there
"""
SERVERS = [(b"\x0a\0\0%c" % n, 9003 + n, n % 2, n % 2, n // 3) for n in range(6)]


def _event(code: int, layout: str, *values: object) -> bytes:
    return (bytes([code]) + struct.pack("<" + layout, *values)).ljust(EVENT, b"\0")


def _frame(number: int, now: int, records: list[bytes], tail: bytes) -> bytes:
    body = b"".join(records) + tail
    return struct.pack("<IIIQ", number, len(records), 8 + len(body), now) + body


def _entries(state: int, count: int = len(SERVERS)) -> bytes:
    return b"".join(
        struct.pack("<4sHBBHBfQ", host, port, zone, kind, cell, state, 1.0, 0)
        for host, port, zone, kind, cell in SERVERS[:count]
    )


class _Bench:
    """Two nodes, six servers: orders come, attempts end as a table says, timers fire."""

    def __init__(self) -> None:
        self.due: list[tuple[int, bytes]] = []  # when, and the event
        self.attempts: dict[tuple[int, int], int] = {}
        self.over: set[tuple[int, int]] = set()

    def events(self, number: int, now: int) -> tuple[list[bytes], bytes]:
        """The records and the tail of a batch."""
        if number == 1:
            return self._start()
        records = [event for at, event in self.due if at <= now]
        self.due = [(at, event) for at, event in self.due if at > now]
        if number % 7 == 0:
            records.append(_event(9, "IHII", number % 2, 1 - number % 2, 0, 5))
        if number == 30:
            records.append(_event(6, "IQ", 0, 29 << 8))
        if number == 50:
            records.append(_event(2, "IBIH", 0, 3, 0, 0))
        if number == 55:
            records += [_event(11, "HII", 1, 5, 2), _event(2, "IBIH", 1, 0, 9, 1)]
        if number == 100:
            records.append(_event(10, "I", 1))
        for i in range(2):
            rid = number << 8 | i
            if number < 100:
                lane = number % 3
                options, cost = (1, 3 * MS) if lane == 0 else (0, 0)
                left = (500, 6000, 5000)[lane] * MS
                records.append(
                    _event(3, "IQBHQQQH", i, rid, lane, number % 2, number % 5 + 1, left, cost, options)
                )
        return records, b"hello" + _entries(2, 2)

    def _start(self) -> tuple[list[bytes], bytes]:
        records, tail = [], b""
        for i in range(2):
            text = SETUP.replace("me=0", f"me={i}").encode()
            records.append(_event(1, "IQII", i, 11 + i, len(tail), len(text)))
            tail += text
        records.append(_event(11, "HII", 0, len(tail), len(SERVERS)))
        records += [_event(2, "IBIH", i, 2, 7, 0) for i in range(2)]
        return records, tail + _entries(1)

    def hear(self, now: int, reply: bytes) -> None:
        """Take the actions of a reply in."""
        _, _, count = struct.unpack_from("<III", reply)
        for n in range(count):
            self._act(now, reply[12 + n * ACTION : 12 + (n + 1) * ACTION])

    def _act(self, now: int, action: bytes) -> None:
        code, i = struct.unpack_from("<BI", action)
        if code == 12:
            rid, server, _ = struct.unpack_from("<Q6sQ", action, 5)
            self._attempt(now, i, rid, server)
        elif code == 9:
            delay, cookie = struct.unpack_from("<QI", action, 5)
            self.due.append((now + max(delay, 1), _event(7, "II", i, cookie)))
        elif code == 7:
            self.due.append((now + 5 * MS, _event(8, "I6sHQB4f", i, action[5:11], 200, MS, 3, 1, 0, 5, 0)))
        elif code in (8, 10):
            kind = 1 if code == 8 else 0
            self.due.append((now + 3 * MS, _event(2, "IBIH", i, kind, 8, 0)))
        elif code in (2, 5):
            self.over.add((i, struct.unpack_from("<Q", action, 5)[0]))

    def _attempt(self, now: int, i: int, rid: int, server: bytes) -> None:
        attempt = self.attempts.get((i, rid), 0)
        self.attempts[i, rid] = attempt + 1
        turn = (rid >> 8) + attempt
        verdict = {3: 503, 5: 504, 8: 500, 10: 502, 11: 598}.get(turn % 12, 200)
        if 60 <= rid >> 8 < 75:
            verdict = 502  # no server can be reached
        final = int(verdict == 200 or (i, rid) in self.over)
        took = (5 + 9 * (turn % 4) + server[3]) * MS
        values = (float(turn % 3), 0.0, took / MS, 0.0)
        if turn % 6 == 1:
            self.due.append((now + MS, _event(4, "IQH6sQ", i, rid, attempt, server, MS)))
        event = _event(5, "IQBQ6sHHB4f", i, rid, final, took, server, verdict, attempt, 3, *values)
        if final:
            self.over.add((i, rid))
        self.due.append((now + took, event))


def _command() -> list[str]:
    """What the bench runs, by the interpreter that runs this."""
    text = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    words = shlex.split(text)
    return [sys.executable, *words[words.index("-m") :]]


def _environment(hash_seed: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONHASHSEED": hash_seed}


def refused() -> dict[str, bytes]:
    """Inputs that are no frames, by case."""
    whole = _frame(1, 10**9, [_event(7, "II", 0, 1)], b"")
    return {
        "nothing": b"",
        "empty_batch": _frame(1, 10**9, [], b""),
        "head_cut": whole[:7],
        "body_cut": whole[:-1],
        "whole_and_a_cut_one": whole + whole[:30],
        "too_short_for_records": struct.pack("<IIIQ", 1, 2, 8 + EVENT, 10**9) + b"\0" * EVENT,
        "too_long": struct.pack("<IIIQ", 1, 0, (1 << 30) + 9, 10**9),
        "unknown_event": _frame(1, 10**9, [_event(12, "I", 0)], b""),
        "unknown_verdict": _frame(1, 10**9, [_event(5, "IQBQ6sHHB", 0, 1, 0, 1, b"", 999, 0, 0)], b""),
        "unknown_list_kind": _frame(1, 10**9, [_event(2, "IBIH", 0, 4, 1, 0)], b""),
        "list_not_there": _frame(1, 10**9, [_event(2, "IBIH", 0, 1, 1, 3)], b""),
        "outside_the_tail": _frame(1, 10**9, [_event(9, "IHII", 0, 1, 0, 5)], b"1234"),
        "not_enlisted": _frame(1, 10**9, [_event(3, "IQBHQQQH", 3, 5, 0, 0, 0, 1, 0, 0)], b""),
    }


# Settings that do not hold: the line that is left out or replaced, and what stands there.
BAD_SETTINGS = (
    ("balancers=2", ""),
    ("balancers=2", "balancers=0"),
    ("categories.count=3", "categories.count=x"),
    ("categories.1.group=cell", ""),
    ("categories.1.window=4000000000", ""),
    ("categories.0.effect=retryable", "categories.0.effect=other"),
    ("categories.0.worth=3.0", "categories.0.worth=nan"),
    ("caps.cancel=true", "caps.cancel=yes"),
    ("weights=live", "weights=other"),
    ("report.via=piggyback", "report.via=other"),
    ("categories.1.group=cell", "categories.1.group=other"),
    ("membership-mode=subscribe", "membership-mode=push"),
    ("quantum=4000000", "quantum=-1"),
)


def settings_refused() -> dict[str, str]:
    """What an instance that is begun with bad settings answers: the code of the action, and the last line of
    its text."""
    found = {}
    for line, other in BAD_SETTINGS:
        text = SETUP.replace(line, other).encode()
        reply, _ = answer(_frame(1, 10**9, [_event(1, "IQII", 0, 1, 0, len(text))], text))
        told = reply[12 + ACTION :].decode().strip().splitlines()[-1]
        found[f"{line}->{other or '(none)'}"] = f"{reply[12]} {told}"
    return found


def answer(sent: bytes, hash_seed: str = "0") -> tuple[bytes, int]:
    """What the process writes for a whole input, and its exit code."""
    done = subprocess.run(
        _command(), input=sent, capture_output=True, timeout=60, env=_environment(hash_seed), cwd=ROOT
    )
    return done.stdout, done.returncode


def _reply(process: subprocess.Popen[bytes]) -> bytes:
    assert process.stdout is not None
    head = process.stdout.read(8)
    return head + process.stdout.read(struct.unpack_from("<I", head, 4)[0])


def _conversation(process: subprocess.Popen[bytes]) -> Iterator[bytes]:
    assert process.stdin is not None
    bench = _Bench()
    for number in range(120):
        now = 10**9 + number * 4 * MS
        records, tail = bench.events(number, now) if number else ([], b"")
        sent = _frame(number, now, records, tail)
        process.stdin.write(sent)
        process.stdin.flush()
        bench.hear(now, _reply(process))
        yield sent


def record() -> bytes:
    """A conversation with the process; what the bench sent."""
    pipe = subprocess.PIPE
    with subprocess.Popen(_command(), stdin=pipe, stdout=pipe, env=_environment("0"), cwd=ROOT) as process:
        sent = b"".join(_conversation(process))
        assert process.stdin is not None
        process.stdin.close()
        return sent
