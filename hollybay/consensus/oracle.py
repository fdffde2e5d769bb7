"""What must hold of a change of policy, put to what all processes saw. Pure.

A request begins under the policies whose narrower holds for it. Alone means: under one. The guarantee:

1. Once a request has begun anywhere under a policy alone, none begins under anything that leaves this policy
   or a later one out: old and new are never in force at the same moment.
2. A change that was said to be dropped or refused was never in force alone, before or after.
3. Once a change is said to hold everywhere, no request begins under anything older.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Begun", "Fault", "Outcome", "Said", "check"]


class Outcome(Enum):
    """What an operator was told of a change."""

    HOLDS = "in force everywhere"
    NOWHERE = "refused or dropped"


@dataclass(frozen=True, slots=True)
class Begun:
    """A request began at a node at a moment (ns), under these policies."""

    at: int
    node: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Said:
    """At a moment (ns) an operator was told this of a change."""

    at: int
    change: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Fault:
    """Where the guarantee was broken."""

    at: int
    node: str
    reason: str


def _version(name: str) -> int:
    return int(name.partition("-")[0])


@dataclass
class _Ledger:
    newest: str = ""  # that any request has begun under alone
    first: str = ""  # the node where it did
    least: int = 0  # the version that was said to hold everywhere
    dropped: set[str] = field(default_factory=set)
    alone: set[str] = field(default_factory=set)
    faults: list[Fault] = field(default_factory=list)

    def begun(self, one: Begun) -> None:
        if not one.names:
            self.faults.append(Fault(one.at, one.node, "a request begins though nothing is in force"))
            return
        versions = [_version(name) for name in one.names]
        shown = " and ".join(one.names)
        if self.newest and self.newest not in one.names and max(versions) <= _version(self.newest):
            reason = f"a request begins under {shown} after one at {self.first} began under {self.newest}"
            self.faults.append(Fault(one.at, one.node, reason))
        if min(versions) < self.least:
            reason = f"a request begins under {shown}, and version {self.least} was said to hold everywhere"
            self.faults.append(Fault(one.at, one.node, reason))
        if len(one.names) == 1:
            (name,) = one.names
            self.alone.add(name)
            if name in self.dropped:
                self.faults.append(Fault(one.at, one.node, f"{name} is in force, and was said to be nowhere"))
            if not self.newest or _version(name) > _version(self.newest):
                self.newest, self.first = name, one.node

    def said(self, one: Said) -> None:
        if one.outcome is Outcome.HOLDS:
            self.least = max(self.least, _version(one.change))
            if one.change in self.dropped:
                self.faults.append(Fault(one.at, "", f"{one.change} holds, and was said to be nowhere"))
            return
        self.dropped.add(one.change)
        if one.change in self.alone:
            self.faults.append(Fault(one.at, "", f"{one.change} is said to be nowhere, and was in force"))


def check(events: Iterable[Begun | Said]) -> list[Fault]:
    """The faults in what was seen, in order of time."""
    ledger = _Ledger()
    # What was said at a moment counts for what begins after it.
    for one in sorted(events, key=lambda event: (event.at, isinstance(event, Said))):
        if isinstance(one, Said):
            ledger.said(one)
        else:
            ledger.begun(one)
    return ledger.faults
