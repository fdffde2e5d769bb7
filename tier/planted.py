"""Defects of balance that a run must be able to see, each planted in a node's process before it serves."""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable
from typing import Any

from fleet import Census
from lynxrouter import choice
from lynxrouter.records import Server
from peers import Held

__all__ = ["DEFECTS", "plant"]


def _same_numbers() -> None:
    """All nodes draw the same random numbers, and begin them anew with each request."""
    old = choice.Choice.pick

    def pick(self: choice.Choice, request: Any, now: int) -> Server | None:
        self.random.seed(now // 1_000_000_000)
        return old(self, request, now)

    choice.Choice.pick = pick  # type: ignore[method-assign]


def _least_loaded() -> None:
    """Every node takes the server that the list tells to have the least in hand."""

    def pick(self: choice.Choice, request: Any, now: int) -> Server | None:
        fit = [s for s in self.roster.servers.values() if s.group is not None]
        return min(fit, key=lambda s: (s.load, s.id)) if fit else None

    choice.Choice.pick = pick  # type: ignore[method-assign]


def _avoids_returned() -> None:
    """A server that was started anew is never used again."""
    old = choice.Choice.rebuild

    def rebuild(self: choice.Choice, now: int) -> None:
        for s in self.roster.servers.values():
            if s.since:
                s.paused_until = now + 3_600_000_000_000
        old(self, now)

    choice.Choice.rebuild = rebuild  # type: ignore[method-assign]


def _few_for_all() -> None:
    """Every node keeps to the first quarter of the servers."""
    old = choice.Choice.pick

    def pick(self: choice.Choice, request: Any, now: int) -> Server | None:
        names = sorted(str(s) for s, server in self.roster.servers.items() if server.group is not None)
        if not names:
            return old(self, request, now)
        few = names[: max(1, len(names) // 4)]
        return self.roster.servers[random.choice(few)]

    choice.Choice.pick = pick  # type: ignore[method-assign]


def _configured_only() -> None:
    """Shares follow the number in the settings, whatever servers tell."""

    def others(self: Census, now: int, size: float) -> float:
        return float(self.nodes)

    Census.others = others  # type: ignore[method-assign]


def _keeps_shares() -> None:
    """What a node said counts for ever, also once it is dead or stopped."""

    def look(self: Held, now: int) -> dict[Hashable, int]:
        return {}

    Held.look = look  # type: ignore[method-assign]


def _lease_never_over() -> None:
    """A node does not look at the end of its lease when a request begins."""
    from accord import core

    def serves(self: core.Node, now: int) -> tuple[str, ...]:
        return core.served(self.at) if self.at is not None else ()

    core.Node.serves = serves  # type: ignore[method-assign]


def _narrow_skipped() -> None:
    """Nodes go from the old policy to the new one without the narrower of both between."""
    from accord import core

    def serves(self: core.Node, now: int) -> tuple[str, ...]:
        if self.at is None or now >= self.until:
            return ()
        return (self.at.new,) if self.at.stage is core.Stage.NARROW else (self.at.policy,)

    core.Node.serves = serves  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "same-numbers": _same_numbers,
    "least-loaded": _least_loaded,
    "avoids-returned": _avoids_returned,
    "configured-only": _configured_only,
    "keeps-shares": _keeps_shares,
    "few-for-all": _few_for_all,
    "lease-never-over": _lease_never_over,
    "narrow-skipped": _narrow_skipped,
}


def plant(name: str) -> None:
    """Change this process as a defect says. KeyError: there is none of that name."""
    DEFECTS[name]()
