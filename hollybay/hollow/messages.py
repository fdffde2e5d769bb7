"""Commands to a process of hollow nodes and its replies, each a line of JSON."""

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


# Higher than the version of any policy.
NO_VERSION = 1 << 62


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Start the nodes, which request leases from these voters."""

    keepers: list[str]


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Reset the counters."""


class ReportNow(msgspec.Struct, frozen=True, tag="report"):
    """Report the counters, and when each node first served under `version` or a later one alone."""

    version: int = NO_VERSION


class Silence(msgspec.Struct, frozen=True, tag="silence"):
    """Stop the first `nodes` nodes without notice to the voters."""

    nodes: int


Command = Start | Reset | ReportNow | Silence


class Listening(msgspec.Struct, frozen=True):
    """The first line of output: the addresses of the nodes in the process."""

    addresses: list[str]


class Report(msgspec.Struct, frozen=True):
    """The counters of a process since the last reset.

    cpu_s: CPU time; waited_s: time that the main thread was runnable without a core; late_s: maximum lateness
    of the event loop; serving: number of nodes that may start requests now; in_force_ns: times of
    CLOCK_BOOTTIME.
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
    """Decode a command from its line. Raises msgspec.DecodeError if it is not a command."""
    command: Command = msgspec.json.decode(line, type=Command)
    return command
