"""What a process of hollow nodes is told and what it reports: one line of JSON each."""

from __future__ import annotations

import msgspec

__all__ = [
    "NO_VERSION",
    "Command",
    "Listening",
    "Report",
    "ReportNow",
    "Reset",
    "Silence",
    "Start",
    "decode_command",
]


# Of a policy that no node ever serves under.
NO_VERSION = 1 << 62


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Begin to ask these keepers for leases."""

    keepers: list[str]


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Count from now on."""


class ReportNow(msgspec.Struct, frozen=True, tag="report"):
    """Report what was counted. version: when each node began to serve under it, or a later one, alone."""

    version: int = NO_VERSION


class Silence(msgspec.Struct, frozen=True, tag="silence"):
    """Let the first nodes end without a word."""

    nodes: int


Command = Start | Reset | ReportNow | Silence


class Listening(msgspec.Struct, frozen=True):
    """The first line: where the nodes of the process are called."""

    addresses: list[str]


class Report(msgspec.Struct, frozen=True):
    """What was counted since the last reset, of a whole process.

    cpu_s: processor time; waited_s: ready to run without a core; late_s: worst lateness of its loop;
    serving: nodes that may begin requests now; in_force_ns: times of CLOCK_BOOTTIME.
    """

    nodes: int
    serving: int
    cpu_s: float
    wall_s: float
    waited_s: float
    late_s: float
    memory_bytes: int
    bytes_sent: int
    bytes_received: int
    opened: int
    accepted: int
    segments_each: float
    calls_in: int
    calls_out: int
    in_force_ns: list[int]
    problems: list[str]


def decode_command(line: bytes) -> Command:
    """A command from its line; msgspec.DecodeError: it is none."""
    found: Command = msgspec.json.decode(line, type=Command)
    return found
