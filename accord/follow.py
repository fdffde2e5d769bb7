"""A change from an operator's side: propose it, and follow it to what became of it.

An operator may lose the keeper that was called at any step. What became of a change is judged from what
keepers know to be decided, and from nothing else, so that two operators are never told different things.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from . import words as w
from .policy import Policy, Refused
from .service import Unreachable, policy_from

__all__ = ["Follow", "Known", "Verdict", "judge"]

# Seconds between two looks, and after which a proposal is made again that no keeper knows of.
LOOK, AGAIN = 0.05, 2.0

Call = Callable[[str, str, bytes | None], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a change, as an exit status: 0 in force everywhere, 1 nowhere, 2 bad input, 3 not known.

    reasons: by node, why it could not serve it.
    """

    code: int
    change: str = ""
    epoch: int = 0
    text: str = ""
    reasons: dict[str, list[str]] = field(default_factory=dict)


@dataclass
class Known:
    """What keepers said: their status by door, and the epochs that they know of."""

    statuses: dict[str, dict[str, Any]] = field(default_factory=dict)
    epochs: dict[int, tuple[str, str, str]] = field(default_factory=dict)  # stage, policy, new
    boards: dict[str, list[str]] = field(default_factory=dict)  # by policy

    @property
    def keepers(self) -> dict[str, dict[str, Any]]:
        """The statuses of keepers, as such."""
        return {door: one["keeper"] for door, one in self.statuses.items() if one.get("keeper")}

    @property
    def latest(self) -> dict[str, Any] | None:
        """The keeper that knows most."""
        keepers = list(self.keepers.values())
        return max(keepers, key=lambda one: int(one["epoch"])) if keepers else None

    def reasons(self, change: str) -> dict[str, list[str]]:
        """Which nodes cannot serve a change, and why."""
        found: dict[str, list[str]] = {}
        for one in self.keepers.values():
            found |= one["reasons"].get(change, {})
        return found


def judge(known: Known, change: str, epoch: int) -> Verdict:
    """What became of a change that was to begin with an epoch, as far as it is decided."""
    latest = known.latest
    if latest is None:
        return Verdict(3, change, epoch, "no keeper answers")
    begun = known.epochs.get(epoch)
    if begun is not None and begun[2] != change:
        return Verdict(1, change, epoch, f"another change came first: {begun[2]}")
    if int(latest["epoch"]) < epoch:
        return Verdict(3, change, epoch, "not begun")
    reasons = known.reasons(change)
    for after in (epoch + 1, epoch + 2):
        found = known.epochs.get(after)
        if found is None:
            continue
        stage, policy, _ = found
        if stage != "SETTLED" and after == epoch + 1 and stage == "NARROW":
            continue
        if policy == change:
            break
        return Verdict(1, change, epoch, "dropped", reasons)
    else:
        return Verdict(3, change, epoch, "under way", reasons)
    # Nobody votes for the epoch after it while a lease on one before it runs; late ones may be left.
    if int(latest["epoch"]) > epoch + 2 and not any(one["late_s"] for one in known.keepers.values()):
        return Verdict(0, change, epoch, "was in force everywhere, and a later change goes on or is in force")
    board = known.boards.get(change, [])
    sure = [
        door
        for door, one in known.keepers.items()
        if door in board
        and one["epoch"] >= epoch + 2
        and not one["quiet_s"]
        and not any(lease["epoch"] < epoch + 2 for lease in one["older"])
    ]
    if 2 * len(sure) <= len(board) or not board:
        return Verdict(3, change, epoch, "in force, and some nodes may serve under the one before yet")
    return Verdict(0, change, epoch, "in force everywhere")


class Follow:
    """Calls keepers for an operator. call: door, path, body; Unreachable as in service.Way."""

    def __init__(
        self, call: Call, doors: Iterable[str], show: Callable[[Known], None] = lambda known: None
    ) -> None:
        self.call = call
        self.doors = list(dict.fromkeys(doors))
        self.show = show
        self.known = Known()

    async def look(self) -> Known:
        """Ask all keepers that are known of, and those that they name."""
        known = self.known
        known.statuses = {}
        asked: set[str] = set()
        while True:
            doors = [door for door in self.doors if door not in asked]
            if not doors:
                break
            asked |= set(doors)
            for door, status in await self._all(doors, ""):
                known.statuses[door] = status
                self.doors += [one for one in status.get("keepers", []) if one not in self.doors]
        for _, history in await self._all(list(known.keepers), "history"):
            for one in history:
                known.epochs[one["epoch"]] = (one["stage"], one["policy"], one["new"])
        self.show(known)
        return known

    async def _all(self, doors: list[str], path: str) -> list[tuple[str, Any]]:
        async def one(door: str) -> tuple[str, Any] | None:
            try:
                return door, msgspec.json.decode(await self.call(door, path, None))
            except (Unreachable, msgspec.DecodeError):
                return None

        return [found for found in await asyncio.gather(*map(one, doors)) if found is not None]

    async def policy(self, name: str) -> Policy | None:
        """A policy, from whoever has it."""
        return await policy_from(self.call, self.doors, name)

    async def propose(
        self,
        file: bytes | None,
        out: list[str] | None,
        keepers: list[str] | None,
        reason: str,
        author: str,
        limit: float,
        parent: str = "",
    ) -> Verdict:
        """Propose a change on what is in force, and follow it for so many seconds.

        file, out, keepers None: as they are. parent: the policy that it was made on, if not the present one.
        """
        known = await self.look()
        latest = known.latest
        if latest is None:
            return Verdict(3, text="no keeper answers" if known.statuses else "nobody answers")
        old = await self.policy(latest["policy"])
        if old is None:
            return Verdict(3, text=f"{latest['policy']} is not to be had")
        digest = old.digest.hex()
        if parent and parent != old.name and parent != digest:
            return Verdict(1, text=f"parent: made on {parent}, in force is {old.name}")
        body = w.encode(
            w.Proposing(
                None if file is None else base64.b64encode(file).decode(),
                digest,
                reason,
                author,
                out,
                keepers,
            )
        )
        verdict = Verdict(3, text="no keeper took it")
        for door in known.keepers:
            try:
                changed = w.decode(await self.call(door, "propose", body), w.Changed)
            except Refused as error:
                return Verdict(3, text=str(error))
            except Unreachable as error:
                if error.status in (0, 503, 507):
                    verdict = Verdict(3, text=f"{door}: {error}")
                    continue
                return self._refused(error)
            if not limit:
                return Verdict(3, changed.change, changed.epoch, "proposed")
            return await self.follow(changed.change, changed.epoch, limit, body)
        return verdict

    @staticmethod
    def _refused(error: Unreachable) -> Verdict:
        try:
            told = msgspec.json.decode(str(error).encode())
        except msgspec.DecodeError:
            told = {}
        told = told if isinstance(told, dict) else {}
        code = 1 if error.status in (409, 422) else 2
        problems = {"the keeper": told["problems"]} if "problems" in told else {}
        return Verdict(code, text=str(told.get("refused", error)), reasons=problems)

    async def follow(self, change: str, epoch: int, limit: float, body: bytes | None = None) -> Verdict:
        """What becomes of a change within so many seconds. body: to propose it again, where all who knew of
        it are gone before it began; it is the same change then."""
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        idle = loop.time()
        while True:
            known = await self.look()
            if change not in known.boards:
                policy = await self.policy(change)
                if policy is not None:
                    known.boards[change] = list(policy.keepers)
            verdict = judge(known, change, epoch)
            if verdict.code != 3 or loop.time() >= end:
                return verdict
            if verdict.text != "not begun" or any(one["pending"] == change for one in known.keepers.values()):
                idle = loop.time()
            elif body is not None and loop.time() - idle > AGAIN:
                idle = loop.time()
                await self._again(known, body)
            await asyncio.sleep(LOOK)

    async def _again(self, known: Known, body: bytes) -> None:
        for door in known.keepers:
            try:
                await self.call(door, "propose", body)
                return
            except Unreachable:
                continue

    async def drop(self, change: str) -> str:
        """Give a change up; "" if a keeper will, else why not."""
        why = "no keeper answers"
        for door in list(dict.fromkeys([*self.known.keepers, *self.doors])):
            try:
                await self.call(door, "drop", w.encode(w.Dropping(change)))
                return ""
            except Unreachable as error:
                why = str(error)
        return why
