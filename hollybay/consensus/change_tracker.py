"""A change from an operator's side: propose it, and follow it to what became of it.

An operator may lose the keeper that was called at any step. What became of a change is judged from what
keepers know to be decided, and from nothing else, so that two operators are never told different things.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from hollybay.resources.model import Change
from hollybay.resources.wire import MAX_BATCH_BYTES, encode_change

from . import messages
from .policy import Policy, RejectedError
from .requests import UnreachableError, policy_from
from .transfer import download, pieces_up

__all__ = ["ChangeRequest", "ChangeTracker", "ClusterView", "InvalidInputError", "Verdict", "judge"]

# Seconds between two looks, and after which a proposal is made again that no keeper knows of.
LOOK, AGAIN = 0.05, 2.0
# Seconds for which a call that takes long is made again.
LONG_LIMIT = 300.0
# Seconds after which a change that still waits is proposed at one more keeper; no queue lets one wait so
# long.
ELSEWHERE = 15.0
# Times that such a call may have no answer, one after another.
SILENT_TRIES = 5
# A file or a change of so many bytes goes in pieces.
MAX_IN_ONE_CALL = messages.PIECE_BYTES // 2


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


class InvalidInputError(Exception):
    """A keeper refused what an operator gave. code: the exit status; problems: what does not hold."""

    def __init__(self, code: int, reason: str, problems: Iterable[str] = ()) -> None:
        super().__init__(reason)
        self.code = code
        self.problems = list(problems)

    def verdict(self) -> Verdict:
        """The same as what became of a change: nothing."""
        return Verdict(
            self.code, text=str(self), reasons={"the keeper": self.problems} if self.problems else {}
        )


@dataclass
class ClusterView:
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


def judge(known: ClusterView, change: str, epoch: int) -> Verdict:
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
    return everywhere(known, change, epoch, epoch + 2)


def everywhere(known: ClusterView, change: str, epoch: int, settled: int) -> Verdict:
    """Whether a change that began with an epoch, and that was settled with another, is in force at every
    node.
    """
    latest = known.latest
    # Nobody votes for the epoch after it while a lease on one before it runs; late ones may be left.
    late = any(one["late_s"] for one in known.keepers.values())
    if latest is not None and int(latest["epoch"]) > settled and not late:
        return Verdict(0, change, epoch, "was in force everywhere, and a later change goes on or is in force")
    board = known.boards.get(change, [])
    sure = [
        door
        for door, one in known.keepers.items()
        if door in board
        and one["epoch"] >= settled
        and not one["quiet_s"]
        and not any(lease["epoch"] < settled for lease in one["older"])
    ]
    if 2 * len(sure) <= len(board) or not board:
        return Verdict(3, change, epoch, "in force, and some nodes may serve under the one before yet")
    return Verdict(0, change, epoch, "in force everywhere")


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """What an operator wants of the resources; as in words.Drafting."""

    file: bytes | None = None
    like: str = ""
    out: tuple[str, ...] = ()
    back_in: tuple[str, ...] = ()
    partial: bool = False
    delete: tuple[str, ...] = ()


class ChangeTracker:
    """Calls keepers for an operator. call: door, path, body; UnreachableError as in service.Way."""

    def __init__(
        self, call: Call, doors: Iterable[str], show: Callable[[ClusterView], None] = lambda known: None
    ) -> None:
        self.call = call
        self.doors = list(dict.fromkeys(doors))
        self.show = show
        self.known = ClusterView()

    async def look(self) -> ClusterView:
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
            except (UnreachableError, msgspec.DecodeError):
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
        like: str = "",
    ) -> Verdict:
        """Propose a change on what is in force, alone in its batch, and follow it for so many seconds.

        file, out, keepers None: as they are. parent: the policy that it was made on, if not the present one;
        like: resources as they were after this policy.
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
        body = messages.encode(
            messages.ProposeCall(
                None if file is None else base64.b64encode(file).decode(),
                digest,
                reason,
                author,
                out,
                keepers,
                like=like,
            )
        )
        verdict = Verdict(3, text="no keeper took it")
        for door in known.keepers:
            try:
                changed = messages.decode(await self.call(door, "propose", body), messages.ProposeReply)
            except RejectedError as error:
                return Verdict(3, text=str(error))
            except UnreachableError as error:
                if error.status in (0, 503, 507):
                    verdict = Verdict(3, text=f"{door}: {error}")
                    continue
                return _bad_input(error).verdict()
            if not limit:
                return Verdict(3, changed.change, changed.epoch, "proposed")
            return await self.follow(changed.change, changed.epoch, limit, body)
        return verdict

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

    async def _again(self, known: ClusterView, body: bytes) -> None:
        for door in known.keepers:
            try:
                await self.call(door, "propose", body)
                return
            except UnreachableError:
                continue

    async def found(self, door: str, file: bytes) -> bytes:
        """Begin an accord at one of its keepers; its answer. UnreachableError: it does not."""
        text, upload = await self._given(door, file)
        return await self.patiently(
            door, "found", messages.encode(messages.BootstrapCall(text or "", upload))
        )

    async def difference(self, one: str, other: str) -> list[str]:
        """What differs between two policies, for people. UnreachableError: no keeper has both."""
        error = UnreachableError("no keeper answers")
        for door in self._in_order(self.known):
            try:
                return messages.decode(await self.call(door, f"diff/{one}/{other}", None), list[str])
            except RejectedError as refused:
                error = UnreachableError(f"{door}: {refused}")
            except UnreachableError as why:
                error = UnreachableError(str(_told(why).get("refused", why)), why.status)
        raise error

    # Changes of resources, by group commit

    async def draft(
        self, reason: str, author: str, wish: ChangeRequest
    ) -> tuple[messages.DraftReply, Change | None]:
        """The change that makes the resources what a file says, or what they were after a policy, and takes
        servers out or puts them back; None: nothing differs. InvalidInputError: a keeper refuses it;
        UnreachableError: none answers.
        """
        known = await self.look()
        error = UnreachableError("no keeper answers")
        for door in self._in_order(known):
            try:
                drafted = await self._draft_at(door, reason, author, wish)
                return drafted, await self._drafted(door, drafted)
            except RejectedError as refused:
                error = UnreachableError(f"{door}: {refused}")
            except UnreachableError as why:
                if why.status not in (0, 404, 503, 507):
                    raise _bad_input(why) from None
                error = why
        raise error

    async def _draft_at(
        self, door: str, reason: str, author: str, wish: ChangeRequest
    ) -> messages.DraftReply:
        text, upload = await self._given(door, wish.file)
        words = messages.DraftCall(
            reason,
            author,
            text,
            upload,
            wish.like,
            list(wish.out),
            list(wish.back_in),
            wish.partial,
            list(wish.delete),
        )
        return messages.decode(
            await self.patiently(door, "draft", messages.encode(words)), messages.DraftReply
        )

    async def _given(self, door: str, file: bytes | None) -> tuple[str | None, str]:
        """A file as it goes into a call: its text, or the id under which it was uploaded."""
        if file is None:
            return None, ""
        if len(file) <= MAX_IN_ONE_CALL:
            return base64.b64encode(file).decode(), ""
        return None, await self.upload(door, file)

    async def upload(self, door: str, data: bytes) -> str:
        """Bring to a keeper what is too long for a call; its id there. UnreachableError: the keeper does not
        take it.
        """
        upload = blake2b(data, digest_size=16).hexdigest()
        for piece in pieces_up(upload, data):
            await self.call(door, "upload", messages.encode(piece))
        return upload

    async def patiently(self, door: str, path: str, body: bytes) -> bytes:
        """A call that may take long: made again while the keeper works on it, or is too busy to answer."""
        loop = asyncio.get_running_loop()
        end = loop.time() + LONG_LIMIT
        silent = 0
        while True:
            try:
                return await self.call(door, path, body)
            except UnreachableError as error:
                wait = _retry_after(error)
                silent = silent + 1 if not error.status else 0
                if (wait is None and not 0 < silent < SILENT_TRIES) or loop.time() > end:
                    raise
            await asyncio.sleep(wait or LOOK)

    async def _drafted(self, door: str, drafted: messages.DraftReply) -> Change | None:
        if drafted.change:
            return messages.change_from(drafted.change)
        if not drafted.draft:
            return None
        path = f"draft/{drafted.draft}"
        _, data = await download(
            lambda part: self.call(door, part, None), path, lambda _: path, MAX_BATCH_BYTES
        )
        return messages.change_from_bytes(data)

    def _in_order(self, known: ClusterView) -> list[str]:
        """The keepers that answer, those of the board first and in its order: so most proposers call the same
        one.
        """
        board = known.latest["board"] if known.latest is not None else []
        return sorted(known.keepers, key=lambda door: (door not in board, door))

    async def change(self, change: Change, limit: float, proposed_at: Iterable[str] = ()) -> Verdict:
        """Propose a change of resources, and follow what becomes of it, and of it alone, for so many seconds.

        proposed_at: keepers at which its proposer may have proposed it before. It may be proposed at several
        keepers, under its one id, where some do not answer; it is said to be refused only once all of these
        have refused it.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + limit
        proposed = _Proposed(change, set(proposed_at))
        elsewhere = loop.time() + ELSEWHERE
        while True:
            while loop.time() < min(end, elsewhere) and await self._is_waiting(proposed):
                await asyncio.sleep(LOOK)
            known = await self.look()
            verdict = await self._became(known, proposed)
            if verdict is not None and (verdict.code != 3 or loop.time() >= end):
                return verdict
            if verdict is None or loop.time() >= elsewhere:
                # Not known, or waiting where nothing goes on: perhaps that keeper is cut off from the others.
                elsewhere = loop.time() + ELSEWHERE
                verdict = await self._offer(known, proposed, new=verdict is not None)
                if verdict.code != 3 or loop.time() >= end:
                    return verdict
            await asyncio.sleep(max(LOOK, min(proposed.wait, end - loop.time())))
            proposed.wait = 0.0

    async def _is_waiting(self, proposed: _Proposed) -> bool:
        """Whether a keeper says that a change waits there, or is under way; one short call as long as it
        does.
        """
        for door in sorted(proposed.doors - proposed.refused.keys()):
            try:
                one = messages.decode(
                    await self.call(door, f"change/{proposed.id}", None), messages.ChangeReply
                )
            except (UnreachableError, RejectedError):
                continue
            if one.outcome in (messages.ChangeOutcome.QUEUED, messages.ChangeOutcome.UNDER_WAY):
                return True
        return False

    async def _became(self, known: ClusterView, proposed: _Proposed) -> Verdict | None:
        """What became of a change by what keepers say; None: it is to be proposed, again or for the first
        time.
        """
        if not proposed.doors:
            return None
        told: dict[str, messages.ChangeReply] = {}
        for door in known.keepers:
            try:
                told[door] = messages.decode(
                    await self.call(door, f"change/{proposed.id}", None), messages.ChangeReply
                )
            except (UnreachableError, RejectedError):
                continue
        for one in told.values():
            if one.outcome is messages.ChangeOutcome.IN_FORCE:
                return await self._in_force(known, one, proposed)
        for one in told.values():
            if one.outcome in (messages.ChangeOutcome.UNDER_WAY, messages.ChangeOutcome.QUEUED):
                return Verdict(3, one.policy or proposed.id, one.epoch, one.outcome.value)
        for door, one in told.items():
            if one.outcome is messages.ChangeOutcome.REFUSED:
                proposed.refused[door] = [str(problem) for problem in one.problems]
        return proposed.verdict()

    async def _in_force(self, known: ClusterView, one: messages.ChangeReply, proposed: _Proposed) -> Verdict:
        """A change that is decided: whether it is in force everywhere."""
        # Where the log does not reach back to it, the keepers of a later policy know as much.
        name = one.policy or (known.latest["policy"] if known.latest is not None else "")
        if name not in known.boards:
            policy = await self.policy(name)
            if policy is not None:
                known.boards[name] = list(policy.keepers)
        proposed.settled = min(proposed.settled or one.epoch, one.epoch)
        return everywhere(known, name, proposed.settled, proposed.settled)

    async def _offer(self, known: ClusterView, proposed: _Proposed, new: bool) -> Verdict:
        """Propose a change at the first keeper that takes it; new: at one where it has not been proposed."""
        verdict = Verdict(3, proposed.id, text="no keeper answers")
        doors = [door for door in self._in_order(known) if door not in proposed.refused]
        if new:
            doors = [door for door in doors if door not in proposed.doors]
        for door in sorted(doors, key=lambda door: door not in proposed.doors):
            proposed.doors.add(door)
            try:
                await self._offered(door, proposed)
                return Verdict(3, proposed.id, text="proposed")
            except RejectedError as error:
                verdict = Verdict(3, proposed.id, text=f"{door}: {error}")
            except UnreachableError as error:
                wait = _retry_after(error)
                if error.status:
                    proposed.doors.discard(door)  # it has said that it did not take it
                if error.status in (0, 507) or wait is not None:
                    proposed.wait = wait or 0.0
                    verdict = Verdict(3, proposed.id, text=f"{door}: {error}")
                    continue
                if error.status != 409:
                    return _bad_input(error).verdict()
                proposed.doors.add(door)
                proposed.refused[door] = _problems_of(error)
                # The others are asked before anything is said: it may have come to one of them.
                return Verdict(3, proposed.id, text="refused by a keeper")
        return verdict

    async def _offered(self, door: str, proposed: _Proposed) -> None:
        data = encode_change(proposed.change)
        if len(data) <= MAX_IN_ONE_CALL:
            words = messages.ChangeCall(base64.b64encode(data).decode())
        else:
            words = messages.ChangeCall(upload=await self.upload(door, data))
        messages.decode(await self.call(door, "change", messages.encode(words)), messages.ChangeReply)

    async def drop(self, change: str) -> str:
        """Give a change up; "" if a keeper will, else why not."""
        why = "no keeper answers"
        for door in list(dict.fromkeys([*self.known.keepers, *self.doors])):
            try:
                await self.call(door, "drop", messages.encode(messages.DropCall(change)))
                return ""
            except UnreachableError as error:
                why = str(error)
        return why


@dataclass
class _Proposed:
    """A change that is followed. doors: where it may have been proposed; refused: why, by door; wait: s.

    settled: the epoch since which it is in force; 0: it is not yet, as far as is known.
    """

    change: Change
    doors: set[str] = field(default_factory=set)
    refused: dict[str, list[str]] = field(default_factory=dict)
    wait: float = 0.0
    settled: int = 0

    @property
    def id(self) -> str:
        return self.change.id.hex()

    def verdict(self) -> Verdict | None:
        """It is refused if all say so where it may have been proposed; None: not all of them."""
        if not self.doors or not self.doors <= self.refused.keys():
            return None
        problems = [text for door in sorted(self.doors) for text in self.refused[door]]
        return Verdict(1, self.id, text="refused", reasons={"the keepers": list(dict.fromkeys(problems))})


def _told(error: UnreachableError) -> dict[str, Any]:
    """What a keeper said with its no."""
    try:
        told = msgspec.json.decode(str(error).encode("utf-8", "replace"))
    except msgspec.DecodeError:
        return {}
    return told if isinstance(told, dict) else {}


def _retry_after(error: UnreachableError) -> float | None:
    """In how many seconds a keeper says that it may be asked again; None: it does not say so."""
    wait = _told(error).get("retry_after_ms")
    return min(60.0, max(0.0, wait / 1000)) if isinstance(wait, int) and error.status == 503 else None


def _problems_of(error: UnreachableError) -> list[str]:
    found = _told(error).get("problems")
    if not isinstance(found, list):
        return [str(error)]
    return [
        ": ".join(str(part) for part in one if part) if isinstance(one, list) else str(one) for one in found
    ]


def _bad_input(error: UnreachableError) -> InvalidInputError:
    told = _told(error)
    code = 1 if error.status in (409, 422) else 2
    return InvalidInputError(
        code, str(told.get("refused", error)), _problems_of(error) if "problems" in told else ()
    )
