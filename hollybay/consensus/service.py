"""One process's part in an accord: a node holds a lease, a keeper grants them, and any keeper drives.

It speaks to others through a `Transport` that it is given, and puts policies in force through `DataPlane`;
so the same
code runs a node over sockets (hollybay.proxy.consensus_member) and a whole tier on a virtual clock
(hollybay.simulation.accord_rehearsal).
Times are ns of a clock that goes on while a process is stopped.
"""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from hollybay.resources.model import CHANGE_ID_BYTES, Change, ChangeRefused, Operation, Upsert
from hollybay.resources.state import EMPTY, ResourceState
from hollybay.resources.wire import encode_change

from . import messages
from .change_builder import (
    deletions,
    founding_change,
    operations_like,
    proposed_change,
    server_operations,
    servers_out,
    shown_operations,
)
from .coordinator import IDLE, ChangeCoordinator, announcement
from .core import Decided, EpochState, Leaseholder, Stage, VoterSets, has_quorum, policies_named
from .durable_acceptor import Disk, DurableAcceptor
from .group_commit import Busy, Queued, RejectedNow
from .interfaces import DataPlane, FileRead, InvalidFileError, MemberSettings, Response
from .log import Entry, NotReached, PolicyLog, is_name
from .log_fetch import NOT_REACHED, Fetcher, FetchResult
from .log_server import LogServer
from .messages import number_of
from .outgoing_requests import CALL_LIMIT, PeerClient
from .policy import Policy, RejectedError, first, successor
from .proposals import Proposals
from .requests import Transport, UnreachableError
from .status import keeper_status, node_status
from .store import Store, StoreError
from .transfer import Uploads
from .waiting import wait_at_most

__all__ = ["Service"]

SECOND = 1_000_000_000
# Calls to each keeper that an accord begins with, until it answers.
FOUND_TRIES = 4
# Seconds that a keeper may take to fetch the first policy, which may be long, and to begin.
FOUND_CALL_LIMIT = 5.0
# Seconds after which what takes long is answered by a time to come again (s), and how many calls may take so
# long.
LONG_ANSWER, LONG_RETRY, MAX_LONG = 1.0, 0.5, 4
# Bytes of a change that an answer holds, and of lines for people beside it.
MAX_DRAFT_BYTES = 64 << 10
MAX_LINES_BYTES = 128 << 10


@dataclass(frozen=True, slots=True)
class _Unfit:
    """Why this node cannot serve a policy. culprits: by the ids of changes; whole: whatever it holds."""

    reasons: list[str]
    culprits: Mapping[str, list[str]] = field(default_factory=dict)
    whole: bool = False


class _Remembered(msgspec.Struct, frozen=True, array_like=True):
    """What a node leaves to the process after it. boot: the machine's; late: ns of its clock."""

    boot: str
    state: EpochState
    boards: list[list[str]]
    late: int


class Service:
    """See above. disk: runs what touches the disk; boot: names the machine's time since its start."""

    def __init__(
        self,
        terms: MemberSettings,
        way: Transport,
        hands: DataPlane,
        clock: Callable[[], int],
        wall: Callable[[], int],
        disk: Disk,
        chance: random.Random,
        boot: str,
        step: Callable[[str], None] = lambda word: None,
        keeps: Callable[[], bool] = lambda: True,
    ) -> None:
        self.terms = terms
        self.hands = hands
        self.clock = clock
        self.wall = wall
        self.disk = disk
        self.chance = chance
        self.boot = boot
        self.step = step
        self.keeps = keeps  # whether this process may be the keeper of its name: another one may be it still
        self.process = chance.getrandbits(48)
        self.folder = terms.folder / terms.name
        self.log = PolicyLog(self.folder / "policies", step)
        self.opened = False  # whether what is on disk was taken up
        self.memory = Store(self.folder, "node", step)
        self.node = Leaseholder(self.process)
        self.unfit: dict[str, _Unfit] = {}
        self.under: tuple[str, ...] = ()  # as it was put in force last
        self.until = 0  # requests may begin under it until then without another look
        self.known_doors: set[str] = set(terms.keepers)
        self.keeping: DurableAcceptor | None = None
        self.proposals = Proposals(self.log, clock)
        self.long: dict[bytes, asyncio.Task[Response]] = {}  # what takes long, by the digest of its call
        self.uploads = Uploads()
        self.serving = LogServer(self.log, disk)
        self.loop = asyncio.get_running_loop()
        self.poked = asyncio.Event()
        self.keeper_lock = asyncio.Lock()
        self.learning = asyncio.Lock()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.outgoing = PeerClient(terms.door, way, self.answer)
        self.driver = ChangeCoordinator(
            self,
            terms,
            self.process,
            hands,
            self.proposals,
            self.outgoing,
            clock,
            chance,
            self._spawn,
        )
        self.fetcher = Fetcher(
            self.log, lambda door, path: self.outgoing.call(door, path, None), self.disk, self._spawn
        )
        self._kept: EpochState | None = (
            None  # what it left to the process after it, and until when that counts
        )
        self._kept_late = 0
        self.calls_in = 0

    # Start and end

    async def start(self) -> None:
        """Take up what is on disk, and begin to ask. StoreError: the folder cannot be used."""
        try:
            await self.disk(self.log.open)
        except StoreError as error:
            self.hands.say("log", error=str(error))
        for file, reason in self.log.aside.items():
            self.hands.say("set aside", file=file, reason=reason)
        self.opened = True
        try:
            found = self.memory.open()
            if found is not None:
                self._inherit(found)
        except StoreError as error:
            self.hands.say("memory", error=str(error))
        self.become_keeper()
        self._apply()
        self._spawn(self._renew())
        self._spawn(self.driver.run())

    def close(self) -> None:
        """End all that is under way."""
        for task in list(self.tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._over)
        return task

    def _over(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.hands.say("failed", error=repr(task.exception()))

    def _inherit(self, data: bytes) -> None:
        """Go on in the late time of the process before, if there was one: keepers still count on it."""
        try:
            one: _Remembered = msgspec.msgpack.decode(data, type=_Remembered)
        except msgspec.DecodeError:
            return
        self.known_doors |= {door for board in one.boards for door in board}
        if one.boot == self.boot and self.clock() < one.late:
            self._spawn(self._inherited(one))

    async def _inherited(self, one: _Remembered) -> None:
        for name in policies_named(one.state):
            entry = self.log.entry(name)
            if entry is None or entry.state is None or await self._compiled(entry):
                return
        if self.node.at is None:
            # As late as the one before was, not as one that holds a lease.
            self.node = self.node._replace(at=one.state, until=0, late=one.late)
            self._apply()

    # The node: what requests begin under

    def look(self) -> bool:
        """Whether a request may begin now; what is in force is put so."""
        if self.clock() < self.until:
            return True
        self._apply()
        return bool(self.under)

    def _apply(self) -> None:
        """Put in force what the node serves under now."""
        now = self.clock()
        under = self.node.serves(now)
        node = self.node
        strict = now < node.until
        if under != self.under:
            entries = tuple(entry for name in under if (entry := self.log.entry(name)) is not None)
            if len(entries) < len(under):
                under = entries = ()
            self.under = under
            self.hands.put(entries)
            at = node.at
            self.hands.say(
                "serves" if under else "serves nothing",
                epoch=at.epoch if at is not None else -1,
                stage=at.stage.name if at is not None else "",
                policies=list(under),
                late=bool(under) and not strict,
            )
        self.until = (node.until if strict else node.late) if under else 0

    async def _compiled(self, entry: Entry) -> list[str]:
        """Why this node cannot serve a policy that is on its disk; what it can serve is ready."""
        name = entry.policy.name
        known = self.unfit.get(name)
        if known is not None:
            return known.reasons
        problems = await self.hands.compile(entry)
        if problems:
            problems = _shortened(problems)
            self._cannot(name, _Unfit(problems, await self._culprits(entry, problems)))
        return problems

    async def _culprits(self, entry: Entry, problems: list[str]) -> dict[str, list[str]]:
        """The changes of a batch by which it cannot be served, and why; none: they are not known."""
        policy = await self._from_disk(entry.policy.name)
        base = self.log.entry(entry.policy.parent_name)
        if policy is None or policy.changes is None or base is None or base.state is None:
            return {}
        if len(policy.changes) == 1:
            return {policy.changes[0].id.hex(): problems[: messages.MAX_CULPRIT_REASONS]}
        found = await self.hands.culprits(base, policy.changes)
        named_changes = list(found.items())[: messages.MAX_CULPRITS]
        return {
            change.hex(): _shortened(texts)[: messages.MAX_CULPRIT_REASONS] for change, texts in named_changes
        }

    async def _from_disk(self, name: str) -> Policy | None:
        """A policy with its changes."""
        found: list[Policy | None] = []
        await self.disk(lambda: found.append(self.log.read(name)))
        return found[0]

    def _forgive(self, name: str) -> None:
        """Forget that this node cannot serve a policy."""
        self.unfit.pop(name, None)
        self.node = self.node._replace(unfit=self.node.unfit - {name})

    def _cannot(self, name: str, why: _Unfit) -> None:
        self.unfit[name] = why
        self.node = self.node._replace(unfit=self.node.unfit | {name})
        while len(self.unfit) > 64:
            self.unfit.pop(next(iter(self.unfit)))

    async def _renew(self) -> None:
        """Ask for a lease, again and again."""
        period = self.terms.lease / SECOND / 2
        while True:
            before = self.node.at
            self.poked.clear()
            await self._round()
            moved = self.node.at != before and self.node.at is not None
            if moved or self.poked.is_set():
                continue  # at once: keepers let go of the lease before when they hear what it serves under
            granted = self.node.at is not None and has_quorum(self.node.boards, self.node.grants)
            if granted or self.node.want is None:
                wait = period * self.chance.uniform(0.85, 1.0)
            else:
                # While the lease lasts there is time for a few.
                wait = period / 5 * self.chance.uniform(0.5, 1.0)
            wait -= (self.clock() - self.node.asked) / SECOND
            await wait_at_most(self.poked, max(0.02, wait))

    def doors_of(self, state: EpochState | None) -> list[str]:
        """The keepers whose leases it needs for an epoch; of what it does not know, all that it knows of."""
        doors: set[str] = set()
        for name in policies_named(state) if state is not None else ():
            policy = self.log.get(name)
            doors |= set(policy.keepers) if policy is not None else set()
        return sorted(doors or self.known_doors)

    def _others(self, state: EpochState) -> list[str]:
        """The same without this process."""
        return [door for door in self.doors_of(state) if door != self.terms.door]

    async def _round(self) -> None:
        """One call to all keepers; over when a majority has granted, all have answered, or there is news."""
        self.node, ask = self.node.begin(self.clock())
        why = _Unfit([])
        if ask.state is not None and ask.state.new:
            why = self.unfit.get(ask.state.new, why)
        doors = self.doors_of(ask.state)
        asking = messages.LeaseCall(
            messages.FORM,
            ask,
            self.terms.name,
            self.terms.door,
            self.terms.lease,
            self.terms.late,
            why.reasons,
            dict(why.culprits),
            why.whole,
        )
        body = messages.encode(asking)
        limit = min(CALL_LIMIT, self.terms.lease / SECOND / 3)
        calls = {self._spawn(self._ask(door, body, limit)) for door in doors}
        waiting: set[asyncio.Task[Any]] = set(calls)
        poked = self.loop.create_task(self.poked.wait())
        try:
            while waiting and not poked.done():
                done, waiting = await asyncio.wait({*waiting, poked}, return_when=asyncio.FIRST_COMPLETED)
                waiting.discard(poked)
                if self.node.at == ask.state and has_quorum(self.node.boards, self.node.grants):
                    break
        finally:
            poked.cancel()

    async def _ask(self, door: str, body: bytes, limit: float) -> None:
        try:
            answer = messages.decode(await self.outgoing.call(door, "ask", body, limit), messages.LeaseReply)
        except (UnreachableError, RejectedError):
            return
        if answer.grant is not None:
            grant = answer.grant._replace(keeper=number_of(door))
            before = self.node
            self.node = self.node.hear_grant(grant, self.terms.lease, self.terms.late)
            if self.node.at is not before.at or self.node.until != before.until:
                self._apply()
                self._remember()
        elif answer.know is not None:
            await self.learn(answer.know, door)

    async def learn(self, state: EpochState, by: str) -> None:
        """Hear of a later epoch: get its policies, make them ready, and ask for a lease on it."""
        if self.node.want is not None and state.epoch <= self.node.want.epoch:
            return
        async with self.learning:
            if self.node.want is not None and state.epoch <= self.node.want.epoch:
                return
            boards: list[frozenset[int]] = []
            if state.stage is Stage.PREPARE and state.new in self.unfit:
                # It may hold now, as a disk that was full may have room.
                self._forgive(state.new)
            for name in policies_named(state):
                brought = await self._fetched(name, by)
                if brought.policy is None:
                    return  # it will be told again
                self.known_doors |= set(brought.policy.keepers)
                boards.append(_board(brought.policy))
                entry = self.log.entry(name)
                if entry is not None:
                    await self._compiled(entry)
                else:
                    # Not kept on this disk: it cannot serve it now, and may later.
                    self._cannot(name, _Unfit(_shortened([brought.problem]), whole=True))
            self.node = self.node.hear_know(Decided(state), tuple(boards))
            self.hands.say(
                "hears", epoch=state.epoch, stage=state.stage.name, policies=list(policies_named(state))
            )
            self.become_keeper()
            if state.stage is Stage.SETTLED and self.keeping is None:
                self._spawn(self._pruned({state.policy, *self.under}))
        self.poked.set()

    async def _fetched(self, name: str, by: str) -> FetchResult:
        """A policy, from its own disk or from whoever has it."""
        doors = dict.fromkeys([by, *self.doors_of(self.node.want), *sorted(self.known_doors)])
        return await self.fetcher.bring(name, [door for door in doors if door != self.terms.door])

    def _remember(self) -> None:
        """Leave to the process after this one what it may go on with; seldom, as each is a write."""
        node = self.node
        if not self.terms.late or node.at is None:
            return
        same = self.memory.data and self._kept_late > node.late - self.terms.late // 2
        if same and self._kept == node.at:
            return
        self._kept = node.at
        self._kept_late = node.late
        boards = [
            list(p.keepers) for name in policies_named(node.at) if (p := self.log.get(name)) is not None
        ]
        data = msgspec.msgpack.encode(_Remembered(self.boot, node.at, boards, node.late))

        async def keep() -> None:
            try:
                await self.disk(lambda: self.memory.put(data))
            except StoreError as error:
                self.hands.say("memory", error=str(error))

        self._spawn(keep())

    # The keeper

    def become_keeper(self) -> None:
        """Be a keeper, if a board that it knows of names its door."""
        if self.keeping is not None or not self.opened or self.terms.door not in self.known_doors:
            return
        if not self.keeps():
            return
        keeping = DurableAcceptor(
            number_of(self.terms.door),
            Store(self.folder, "keeper", self.step),
            self.log,
            self.clock,
            self.wall,
            self.terms.lease + self.terms.late,
            self.disk,
        )
        try:
            keeping.open()
        except StoreError as error:
            keeping.failed = str(error)
            self.hands.say("keeper", error=str(error))
        self.keeping = keeping
        knows = keeping.keeper
        self.hands.say("keeper", epoch=knows.decided.epoch if knows is not None else -1)

    async def learn_all(self) -> None:
        """A keeper that knows nothing asks all others what they know."""
        keeping = self.keeping
        if keeping is None or keeping.keeper is not None:
            return
        doors = sorted(self.known_doors - {self.terms.door})
        told = dict(await self.outgoing.all_answers(doors, "tell", None, messages.KnowledgeReply))
        heard = {door: one for door, one in told.items() if one.founded and one.state is not None}
        if not heard:
            return
        latest = max(one.state for one in heard.values() if one.state is not None)
        by = next(door for door, one in heard.items() if one.state == latest)
        try:
            if not await self._on_disk(latest, by):
                return
            boards = self.boards(latest)
            self.known_doors |= set(self.doors_of(latest))
            if not has_quorum(boards, (number_of(door) for door in heard)):
                return
            async with self.keeper_lock:
                await keeping.learn_all(
                    (one.state, one.accepted) for one in heard.values() if one.state is not None
                )
        except StoreError as error:
            self.hands.say("keeper", error=str(error))
            return
        assert keeping.keeper is not None
        self.hands.say("keeper learned", epoch=keeping.keeper.decided.epoch, mute=keeping.keeper.mute)

    async def _on_disk(self, state: EpochState, by: str) -> bool:
        """Bring the policies that an epoch names to the disk; whether all are there. StoreError: it took
        none.
        """
        for name in policies_named(state):
            brought = await self._fetched(name, by)
            if brought.problem:
                raise StoreError(brought.problem)
            if brought.policy is None:
                return False
        return True

    def boards(self, state: EpochState) -> VoterSets:
        """The boards of the policies that an epoch names, as far as these are here."""
        policies = [self.log.get(name) for name in policies_named(state)]
        return tuple(_board(policy) for policy in policies if policy is not None)

    async def learn_keeper(self, state: EpochState, by: str) -> bool:
        """What is decided reaches the keeper here, once it has the policies; whether that was news."""
        keeping = self.keeping
        if keeping is None or keeping.keeper is None or state.epoch <= keeping.keeper.decided.epoch:
            return False
        if not await self._on_disk(state, by):
            return False
        async with self.keeper_lock:
            new = await keeping.know(state)
        if new and state.stage is Stage.PREPARE:
            keeping.forget_refusals(state.new)  # of an earlier time that it was proposed
        if new and state.stage is Stage.SETTLED:
            self._settled(keeping, state)
        elif new:
            self.proposals.begun(state)
        if new:
            keeping.heard = self.clock()
            self.driver.wake()
        return new

    def _settled(self, keeping: DurableAcceptor, state: EpochState) -> None:
        """A change has come to its end, one way or another."""
        given_up = self.driver.end_drops()
        self._spawn(self._pruned({state.policy, *self.under}))
        self.proposals.settled(keeping, state, given_up)

    async def _pruned(self, needed: set[str]) -> None:
        try:
            await self.disk(lambda: self.log.prune(needed))
        except StoreError as error:
            self.hands.say("snapshot", error=str(error))

    # Calls that come in

    async def answer(self, path: str, body: bytes | None) -> Response:
        """Answer a call at the door. body: None for GET."""
        self.calls_in += 1
        return await self._guarded(path, self._answer(path, body))

    @staticmethod
    async def _guarded(path: str, work: Coroutine[Any, Any, Response]) -> Response:
        """The answer, also where it is a no."""
        try:
            return await work
        except InvalidFileError as error:
            return Response(
                422, messages.encode({"refused": "the file does not hold", "problems": error.problems})
            )
        except ChangeRefused as error:
            return Response(
                409, messages.encode({"refused": str(error), "problems": [str(p) for p in error.problems]})
            )
        except RejectedError as error:
            return _told(409 if path in ("found", "propose", "drop", "draft") else 400, str(error))
        except StoreError as error:
            return _told(507, f"cannot be kept: {error}")

    async def _answer(self, path: str, body: bytes | None) -> Response:
        if body is None:
            return await self._got(path)
        if path == "know":
            knowing = messages.decode(body, messages.DecidedNotice)
            self._spawn(self.heard(knowing.state, knowing.by))
            return Response(200, b"{}")
        if path == "propose":
            return await self.propose(messages.decode(body, messages.ProposeCall))
        if path == "change":
            return await self.change(messages.decode(body, messages.ChangeCall))
        if path == "draft":
            drafting = messages.decode(body, messages.DraftCall)
            return await self._long(body, lambda: self.draft(drafting))
        if path == "upload":
            self.uploads.take(messages.decode(body, messages.UploadCall), self.clock())
            return Response(200, b"{}")
        if path == "drop":
            return await self.drop(messages.decode(body, messages.DropCall))
        if path == "found":
            founding = messages.decode(body, messages.BootstrapCall)
            return await self._long(body, lambda: self._found(founding))
        if path == "join":
            return await self._joined(messages.decode(body, messages.DecidedNotice))
        if path not in ("ask", "prepare", "accept"):
            return _told(404, "no such call")
        keeping = self._keeper()
        if path == "ask":
            asking = messages.decode(body, messages.LeaseCall)
            if asking.ask.state is not None:
                await self.learn_keeper(asking.ask.state, asking.door)
            async with self.keeper_lock:
                return Response(200, messages.encode(keeping.ask(asking)))
        if path == "prepare":
            preparing = messages.decode(body, messages.PrepareCall)
            async with self.keeper_lock:
                return Response(200, messages.encode(await keeping.prepare(preparing.call)))
        accepting = messages.decode(body, messages.AcceptCall)
        await self._on_disk(accepting.call.state, accepting.by)
        async with self.keeper_lock:
            return Response(200, messages.encode(await keeping.accept(accepting.call)))

    def _keeper(self) -> DurableAcceptor:
        if self.keeping is None:
            raise RejectedError("no keeper here")
        return self.keeping

    async def heard(self, state: EpochState, by: str) -> None:
        try:
            await self.learn_keeper(state, by)
        except StoreError as error:
            self.hands.say("keeper", error=str(error))
        await self.learn(state, by)

    async def _got(self, path: str) -> Response:
        if path == "":
            return Response(200, messages.encode(self.status()))
        if path == "tell":
            return Response(200, messages.encode(self._keeper().tell()))
        if path == "history":
            history = self.keeping.history if self.keeping is not None else []
            return Response(200, messages.encode([self._entry(one) for one in history]))
        kind, _, name = path.partition("/")
        if kind == "entry" and is_name(name):
            policy = self.log.get(name)
            if policy is not None:
                return Response(200, messages.packed(policy).encode())
            return _told(404, f"no policy {name} here")
        if kind == "change":
            return Response(200, messages.encode(self.proposals.became_of(name, self._keeper())))
        if kind == "diff":
            return await self._difference(name)
        if kind in ("since", "snapshot", "draft"):
            try:
                piece = await self.serving.piece(path)
            except NotReached as error:
                return _told(NOT_REACHED, str(error))
            if piece is not None:
                return Response(200, messages.encode(piece))
        return _told(404, "no such call")

    async def _difference(self, names: str) -> Response:
        """What differs between two policies (diff/NAME/NAME), as lines for people."""
        one, _, other = names.partition("/")
        before, after = self.log.state(one), self.log.state(other)
        old, new = self.log.get(one), self.log.get(other)
        if before is None or after is None or old is None or new is None:
            return _told(404, f"not both of {one} and {other} are kept here")
        found: list[list[str]] = []
        await self.disk(lambda: found.append(shown_operations(before, operations_like(before, after))))
        keepers = [
            *(f"-keeper {one}" for one in old.keepers if one not in new.keepers),
            *(f"+keeper {one}" for one in new.keepers if one not in old.keepers),
        ]
        return Response(200, messages.encode([*found[0], *keepers]))

    def _entry(self, one: messages.HistoryEntry) -> dict[str, object]:
        found: dict[str, object] = {
            "epoch": one.state.epoch,
            "stage": one.state.stage.name,
            "policy": one.state.policy,
            "new": one.state.new,
            "at": one.at,
        }
        policy = self.log.get(one.state.new or one.state.policy)
        if policy is not None:
            found |= {"reason": policy.reason, "author": policy.author}
        return found

    # Operators' calls

    async def _found(self, founding: messages.BootstrapCall) -> Response:
        """Begin the accord: from an operator, told on to all keepers; or from the keeper that was told."""
        keeping = self._keeper()
        if founding.policy:
            return await self._found_by(keeping, founding)
        doors = sorted(self.terms.keepers)
        others = [door for door in doors if door != self.terms.door]
        told = dict(await self.outgoing.all_answers(others, "tell", None, messages.KnowledgeReply))
        mine = keeping.tell()
        # Only what this very keeper began, and nobody has gone on with, may be brought to its end.
        begun = [
            door for door, one in told.items() if one.founded and (one.promised or one.state != mine.state)
        ]
        if begun or mine.promised or (mine.state is not None and mine.state.epoch):
            where = ", ".join(begun) or self.terms.door
            raise RejectedError(f"founded already at {where}; a keeper learns from the others by itself")
        if len(told) < len(others):
            silent = ", ".join(door for door in others if door not in told)
            raise RejectedError(f"keepers: {silent} did not answer; all must be there when an accord begins")
        read = await self.hands.read(self._file(founding.file, founding.upload), EMPTY)
        changes = (founding_change(read.operations),) if read.operations else ()
        policy = first(changes, doors)
        problems = await self._compiled(await self._stored(policy))
        if problems:
            raise RejectedError("file: " + "; ".join(problems))
        async with self.keeper_lock:
            await keeping.found(policy)
        entry = messages.packed(policy)
        short = len(entry) <= messages.PIECE_BYTES
        words = messages.BootstrapCall(policy=policy.name, entry=entry if short else "", by=self.terms.door)
        body = messages.encode(words)
        limit = CALL_LIMIT if short else FOUND_CALL_LIMIT
        # A keeper that is not reached learns from the others, and has no vote on the first change.
        left = others
        for _ in range(FOUND_TRIES):
            reached = await asyncio.gather(
                *(self.outgoing.reaches(door, "found", body, limit) for door in left)
            )
            left = [door for door, heard in zip(left, reached, strict=True) if not heard]
        answers = [door for door in others if door not in left]
        self.uploads.done(founding.upload)
        self.hands.say("founded", policy=policy.name, keepers=doors)
        return Response(200, messages.encode({"policy": policy.name, "keepers": [self.terms.door, *answers]}))

    async def _found_by(self, keeping: DurableAcceptor, founding: messages.BootstrapCall) -> Response:
        """Begin under the first policy of another keeper."""
        state = EpochState(0, Stage.SETTLED, founding.policy)
        knows = keeping.keeper
        if knows is not None and knows.decided != state:
            raise RejectedError(f"founded already: epoch {knows.decided.epoch}, {knows.decided.policy}")
        if founding.by is None or founding.by not in self.terms.keepers:
            raise RejectedError(f"keepers: {', '.join(self.terms.keepers)} here, not {founding.by}")
        if founding.entry:
            await self._stored(messages.unpacked(founding.entry, founding.policy))
        brought = await self.fetcher.bring(founding.policy, [founding.by])
        if brought.problem:
            raise StoreError(brought.problem)
        policy = brought.policy
        if policy is None:
            raise RejectedError(
                f"policy: {founding.policy} is not to be had: {self.fetcher.reasons.get(founding.by)}"
            )
        if self.terms.door not in policy.keepers or set(policy.keepers) != set(self.terms.keepers):
            raise RejectedError(
                f"keepers: {', '.join(self.terms.keepers)} here, not {', '.join(policy.keepers)}"
            )
        async with self.keeper_lock:
            await keeping.found(policy)
        return Response(200, messages.encode({"policy": policy.name}))

    async def _stored(self, policy: Policy) -> Entry:
        """A policy that was made here, on disk. StoreError: it is not."""
        found: list[Entry] = []
        await self.disk(lambda: found.append(self.log.put(policy)))
        return found[0]

    def _file(self, file: str, upload: str) -> bytes:
        """An operator file out of a call, or one that was uploaded before it."""
        return self.uploads.whole(upload) if upload else _from_base64(file)

    async def _long(self, body: bytes, work: Callable[[], Coroutine[Any, Any, Response]]) -> Response:
        """Answer what may take longer than a call may: who makes the call again hears what came of it."""
        key = blake2b(body, digest_size=16).digest()
        task = self.long.get(key)
        if task is None:
            for done in [key for key, one in self.long.items() if one.done()]:
                del self.long[done]
            if len(self.long) >= MAX_LONG:
                return _busy("others are worked on", LONG_RETRY)
            task = self.long[key] = self._spawn(self._guarded("found", work()))
        await asyncio.wait({task}, timeout=LONG_ANSWER)
        if not task.done():
            return _busy("it is worked on", LONG_RETRY)
        self.long.pop(key, None)
        return task.result()

    async def _joined(self, knowing: messages.DecidedNotice) -> Response:
        """Be a keeper of the next policy: learn all from the present ones before it is proposed."""
        for name in policies_named(knowing.state):
            brought = await self._fetched(name, knowing.by)
            if brought.policy is not None:
                self.known_doors |= set(brought.policy.keepers)
        self.known_doors.add(self.terms.door)
        self.become_keeper()
        await self.learn_all()
        if self.keeping is None or self.keeping.keeper is None:
            raise RejectedError("it does not hear a majority of the keepers")
        return Response(200, b"{}")

    async def propose(self, words: messages.ProposeCall) -> Response:
        """A change, checked here; from now on the keepers bring it to its end."""
        keeping = self._keeper()
        if keeping.keeper is None:
            raise RejectedError("this keeper knows nothing yet; `hollybay policy found` begins an accord")
        await self._catch_up()
        state = keeping.keeper.decided
        base = self._base(state)
        old, resources = base.policy, base.state
        assert resources is not None
        parent = bytes.fromhex(words.parent)
        if parent != old.digest:
            raise RejectedError(f"parent: made on {parent.hex()[:12] or 'nothing'}, in force is {old.name}")
        wanted = await self._wanted(words, resources)
        keepers = self._keepers(words.keepers, wanted.keepers)
        change = proposed_change(resources, wanted.operations, words.reason, words.author, parent)
        policy, _ = successor(
            old, resources, (change,) if wanted.operations else (), keepers, words.reason, words.author
        )
        if state.stage is not Stage.SETTLED:
            if state.new == policy.name:  # asked for again, by one who does not know what came of it
                return Response(202, messages.encode(messages.ProposeReply(policy.name, state.epoch)))
            raise RejectedError(f"{state.new} is under way; `status` ends it, `drop` gives it up")
        other = self.driver.other_pending(policy.name)
        if other:
            raise RejectedError(f"{other} is about to begin")
        strangers = [door for door in policy.keepers if door not in old.keepers]
        doors = {member.door for member in keeping.members.values()}
        missing = [door for door in strangers if door not in doors]
        if missing:
            raise RejectedError(f"keepers: {', '.join(missing)} is no node that holds a lease here")
        for door in strangers:
            try:
                await self.outgoing.call(door, "join", announcement(state, self.terms.door))
            except UnreachableError as error:
                raise RejectedError(f"keepers: {door}: {error}") from None
        problems = await self._compiled(await self._stored(policy))
        if problems:
            return Response(
                422, messages.encode({"refused": f"{policy.name} does not hold here", "problems": problems})
            )
        if keeping.keeper.decided != state or self.driver.other_pending(policy.name):
            raise RejectedError("another change came first")
        self.driver.begin(policy, state.epoch + 1)
        self.driver.refused.pop(policy.name, None)
        self.hands.say("proposed", change=policy.name, reason=policy.reason, author=policy.author)
        self.driver.wake()
        return Response(202, messages.encode(messages.ProposeReply(policy.name, state.epoch + 1)))

    def _base(self, state: EpochState) -> Entry:
        """The policy that the next one follows, with its resources."""
        base = self.log.entry(state.policy)
        if base is None or base.state is None:
            raise RejectedError(f"{state.policy} is not on this disk")
        return base

    async def _wanted(self, words: messages.ProposeCall, state: ResourceState) -> FileRead:
        """What a proposal of a whole policy changes, and the keepers that its file names."""
        operations: tuple[Operation, ...] = ()
        keepers = None
        if words.like:
            operations = await self._like(state, words.like)
        elif words.file is not None or words.upload:
            read = await self.hands.read(self._file(words.file or "", words.upload), state)
            operations, keepers = read.operations, read.keepers
        if words.out is not None:
            operations += server_operations(state, words.out)
        return FileRead(operations, keepers)

    async def _like(self, state: ResourceState, name: str) -> tuple[Operation, ...]:
        """What makes the resources what they were after a policy."""
        wanted = self.log.state(name)
        if wanted is None:
            raise RejectedError(f"like: the resources after {name} are not kept here")
        found: list[tuple[Operation, ...]] = []
        await self.disk(lambda: found.append(operations_like(state, wanted)))
        return found[0]

    def _keepers(self, keepers: list[str] | None, named_in_file: list[str] | None) -> list[str] | None:
        """The keepers that a proposal names, by its call or in its file."""
        if keepers is not None and named_in_file is not None and set(keepers) != set(named_in_file):
            raise RejectedError("keepers: the file's [accord] names others")
        return keepers if keepers is not None else named_in_file

    # Changes of resources

    async def draft(self, words: messages.DraftCall) -> Response:
        """The change that an operator wants, made on what is in force; nothing is proposed."""
        keeping = self._keeper()
        if keeping.keeper is None:
            raise RejectedError("this keeper knows nothing yet; `hollybay policy found` begins an accord")
        await self._catch_up()
        base = self._base(keeping.keeper.decided)
        state = base.state
        assert state is not None
        operations: tuple[Operation, ...] = ()
        if words.like:
            operations = await self._like(state, words.like)
        elif words.file is not None or words.upload:
            read = await self.hands.read(self._file(words.file or "", words.upload), state)
            if read.keepers is not None and set(read.keepers) != set(base.policy.keepers):
                raise RejectedError("keepers: the file's [accord] names others; they change by --keeper")
            operations = read.operations
            if words.partial:
                operations = tuple(one for one in operations if isinstance(one, Upsert))
        operations += deletions(state, words.delete)
        if words.out or words.back_in:
            out = (set(servers_out(state)) | set(words.out)) - set(words.back_in)
            operations += server_operations(state, out)
        name = base.policy.name
        if not operations:
            return Response(200, messages.encode(messages.DraftReply(name, "", 0)))
        change = Change(
            self.chance.randbytes(CHANGE_ID_BYTES), state.revision, words.reason, words.author, operations
        )
        state.check(change)
        lines = shown_operations(state, operations)
        data = encode_change(change)
        if len(data) <= MAX_DRAFT_BYTES:
            text = base64.b64encode(data).decode()
            return Response(
                200, messages.encode(messages.DraftReply(name, text, len(operations), _bounded(lines)))
            )
        draft = change.id.hex()
        self.serving.keep(f"draft/{draft}", draft, data)
        return Response(
            200, messages.encode(messages.DraftReply(name, "", len(operations), _bounded(lines), draft))
        )

    async def change(self, words: messages.ChangeCall) -> Response:
        """Somebody proposes a change of resources: it waits for the next batch."""
        keeping = self._keeper()
        if keeping.keeper is None:
            return _busy("this keeper knows nothing yet", IDLE)
        if self.proposals.full:
            raise StoreError("the disk took no entry a moment ago")
        change = (
            messages.change_from(words.change) if not words.upload else await self._uploaded(words.upload)
        )
        state = self._base(keeping.keeper.decided).state
        assert state is not None
        if change.made_on > state.revision:
            await self._catch_up()
            state = self._base(keeping.keeper.decided).state
            assert state is not None
            if change.made_on > state.revision:
                return _busy(f"made on {change.made_on}, and this keeper knows of {state.revision}", IDLE)
        offered = self.proposals.offer(change, state)
        self.uploads.done(words.upload)
        change_id = change.id.hex()
        if isinstance(offered, Busy):
            return _busy("too many changes wait", offered.retry_after_ns / SECOND)
        if isinstance(offered, RejectedNow):
            refused = messages.ChangeReply(
                change_id, messages.ChangeOutcome.REFUSED, problems=list(offered.problems)
            )
            return Response(409, messages.encode(refused))
        if isinstance(offered, Queued):
            self.hands.say("queued", change=change_id, reason=change.reason, author=change.author)
            self.driver.wake()
        return Response(202, messages.encode(self.proposals.became_of(change_id, keeping)))

    async def _uploaded(self, upload: str) -> Change:
        """A change that was uploaded."""
        found: list[Change] = []
        whole = self.uploads.whole(upload)
        await self.disk(lambda: found.append(messages.change_from_bytes(whole)))
        return found[0]

    async def propose_next(self) -> bool:
        """Make the next policy of the changes that wait, where the tier is settled; whether there was
        anything.
        """
        keeping = self.keeping
        if keeping is None or keeping.keeper is None or self.proposals.busy:
            return False
        decided = keeping.keeper.decided
        base = self.log.entry(decided.policy)
        if decided.stage is not Stage.SETTLED or base is None or base.state is None:
            return False
        batch = self.proposals.take(base.state)
        if batch is None:
            return False
        policy, _ = successor(base.policy, base.state, batch.changes)
        try:
            entry = await self._stored(policy)
        except StoreError:
            self.proposals.cannot_store()
            raise
        problems = await self._compiled(entry)
        if problems:
            why = self.unfit[policy.name]
            self._forgive(policy.name)  # proposed again it is another one, or holds
            self.proposals.refuse(batch, why.culprits, problems)
            return True
        if keeping.keeper.decided != decided or self.driver.pending is not None:
            self.proposals.lost(batch, keeping.keeper.decided.policy)
            return True
        self.driver.begin(entry.policy, decided.epoch + 1)
        self.proposals.propose(policy.name, batch)
        self.hands.say("proposed", change=policy.name, reason=policy.reason, author=policy.author)
        return True

    async def _catch_up(self) -> None:
        """Hear from the other keepers whether there is something later."""
        keeping = self._keeper()
        assert keeping.keeper is not None
        doors = self._others(keeping.keeper.decided)
        for door, one in await self.outgoing.all_answers(
            doors, "tell", None, messages.KnowledgeReply, limit=0.3
        ):
            if one.state is not None:
                await self.learn_keeper(one.state, door)

    async def drop(self, words: messages.DropCall) -> Response:
        """Give a change up, unless it is decided already."""
        keeping = self._keeper()
        if keeping.keeper is None:
            raise RejectedError("this keeper knows nothing yet")
        # One that is about to begin does, and is then dropped: so all keepers know what became of it.
        about = self.driver.is_pending(words.change)
        state = keeping.keeper.decided
        if state.new != words.change and not about and not words.passed:
            raise RejectedError(f"{words.change or 'nothing'} is not under way; {state.policy} is in force")
        self.driver.dropping.add(words.change)
        if not words.passed:
            self._spawn(self._passed(words.change, state))
        self.driver.wake()
        return Response(202, b"{}")

    async def _passed(self, change: str, state: EpochState) -> None:
        """Tell the other keepers to give a change up: whoever drives it does. If one of them cannot be told,
        which may be the one that drives, this one drives; were all of them to, each would take back what the
        others were promised."""
        body = messages.encode(messages.DropCall(change, True))
        reached = await asyncio.gather(
            *(self.outgoing.reaches(door, "drop", body) for door in self._others(state))
        )
        if not all(reached) and change in self.driver.dropping:
            self.driver.take_over(change)

    def status(self) -> dict[str, object]:
        """What this process knows, for people and for `hollybay policy`."""
        now = self.clock()
        found = node_status(
            self.terms,
            self.node,
            now,
            process=self.process,
            keepers=self.doors_of(self.node.want),
            unfit={name: why.reasons for name, why in self.unfit.items()},
            refused_fetches=self.fetcher.reasons,
            calls_in=self.calls_in,
            calls_out=self.outgoing.calls,
        )
        return found | keeper_status(self.keeping, self.log, self.driver.progress(), self.terms.late, now)


def _board(policy: Policy) -> frozenset[int]:
    """The numbers of a policy's keepers."""
    return frozenset(number_of(door) for door in policy.keepers)


def _told(status: int, reason: str) -> Response:
    return Response(status, messages.encode({"refused": reason}))


def _busy(reason: str, seconds: float) -> Response:
    """An answer that says when to come again."""
    return Response(503, messages.encode({"refused": reason, "retry_after_ms": max(1, int(1000 * seconds))}))


def _bounded(lines: list[str]) -> list[str]:
    """Lines for people, as many as an answer holds."""
    left = MAX_LINES_BYTES
    for place, line in enumerate(lines):
        left -= len(line) + 4
        if left < 0:
            return [*lines[:place], f"and {len(lines) - place} more lines"]
    return lines


def _shortened(problems: Sequence[str]) -> list[str]:
    """Problems as they are told."""
    return [text[:400] for text in problems[: messages.MOST_REASONS]]


def _from_base64(text: str) -> bytes:
    """A file out of a call."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise RejectedError(f"file: {error}") from None
