"""The node's consensus member over sockets: runs consensus.service and puts its decisions in force.

Imported only where the operator file has [accord]. What is decided is decided in
hollybay.consensus; here it is called, compiled and put in force.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import cast

import h11
import structlog

from hollybay.admin.requests import AdminRequest
from hollybay.consensus.interfaces import MemberSettings, OperatorFileChanges
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.messages import MOST_CALL
from hollybay.consensus.policy import RejectedError
from hollybay.consensus.requests import UnreachableError
from hollybay.consensus.service import Service
from hollybay.consensus.store import StoreError
from hollybay.proxy.downstream.listener import ClientListener
from hollybay.resources.model import Change
from hollybay.resources.state import ResourceState
from hollybay.routing.policy_intersection import PolicyIntersection
from hollybay.routing.schema import AccordTable

from .admin_server import AdminResponse
from .admin_service import AdminService
from .compiled_policies import CompiledPolicies, read_file
from .config import Config, ConfigError
from .consensus_port import PolicyRequestHandler
from .gc_pauses import paused
from .operator_file import OperatorFile

__all__ = ["Accord", "descriptors", "join", "terms_of"]

# Descriptors that it takes: callers at the door, and calls that are out at once.
LEAST_CALLERS, MOST_CALLERS, OUT = 16, 256, 40
MOST_ANSWER = MOST_CALL
BACKLOG = 1024


def clock() -> int:
    """ns that go on while a process, or its machine, is stopped."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def callers(sockets: int) -> int:
    """How many may call at the door at once: all nodes of a large tier do when an epoch is decided."""
    return min(MOST_CALLERS, max(LEAST_CALLERS, sockets // 4))


def descriptors(sockets: int) -> int:
    """How many of a node's descriptors an accord takes."""
    return callers(sockets) + OUT


def terms_of(table: AccordTable, config: Config) -> MemberSettings:
    """What is set up; ConfigError names what does not hold."""
    if config.admin is None:
        raise ConfigError("admin: missing, and the operator file's [accord] needs it")
    host, port = config.admin
    if table.door is None and (host in ("0.0.0.0", "::") or not port):
        raise ConfigError(f"admin: {host}:{port}: other nodes call there, and it is no address of one node")
    if not config.name or "/" in config.name or config.name.startswith("."):
        raise ConfigError(f"name: {config.name!r} names no folder, which the operator file's [accord] needs")
    door = table.door or (f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
    late = table.narrow_for if table.when_unsure == "narrow" else 0
    return MemberSettings(
        config.name, door, tuple(sorted(table.keepers)), table.lease, late, Path(table.folder)
    )


class Accord(PolicyRequestHandler):
    """Connects a consensus Service with this node. began: notified of each request that begins, with the
    clock's time and the policies.
    """

    def __init__(
        self,
        terms: MemberSettings,
        config: Config,
        operator: OperatorFile,
        clients: ClientListener,
        desk: AdminService,
    ) -> None:
        self.terms = terms
        self.admission = operator.admission
        self.settings = config.settings
        self.desk = desk
        self.clients = clients
        self.began: Callable[[int, tuple[str, ...]], None] | None = None
        self.loop = asyncio.get_running_loop()
        self.plans = CompiledPolicies(self.settings, lambda: self.service.policies_in_force)
        self.log = structlog.wrap_logger(
            logging.getLogger("hollybay.accord"),
            processors=[structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        ).bind(node=terms.name)
        self._lock = -1
        self.service = Service(
            terms,
            self.call,
            self,
            clock,
            lambda: time.time_ns() // 1_000_000,
            self._disk,
            random.Random(),
            Path("/proc/sys/kernel/random/boot_id").read_text().strip(),
            may_vote_here=self._keeps,
        )

    async def start(self) -> None:
        """Take up what is on disk, and ask the keepers. ConfigError: the folder cannot be used."""
        try:
            (self.terms.folder / self.terms.name).mkdir(parents=True, exist_ok=True)
            await self.service.start()
        except (OSError, StoreError) as error:
            raise ConfigError(f"[accord] folder: {error}") from None

    def close(self) -> None:
        """End all that is under way."""
        self.service.close()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _keeps(self) -> bool:
        """Whether this process may be the keeper of its name, as no other one is."""
        if self._lock >= 0:
            return True
        path = self.terms.folder / self.terms.name / "lock"
        held = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(held)
            self.log_event("another process of this name is its keeper")
            return False
        self._lock = held
        return True

    async def _disk(self, work: Callable[[], None]) -> None:
        with paused():
            await self.loop.run_in_executor(None, work)

    # Requests

    def look(self) -> bool:
        """Whether a request may begin now; what is in force then is in admission
        control."""
        sure = self.service.may_begin_request()
        if sure and self.began is not None:
            self.began(clock(), self.service.policies_in_force)
        return sure

    def sure(self) -> bool:
        """Whether a request might begin now."""
        return self.service.may_begin_request()

    # What the service does to the node

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile a policy for this node's settings; why it does not hold."""
        return await self.plans.compile_policy(entry)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Which changes of a batch do not hold, each on those before it that do; by their ids."""
        return await self.plans.find_invalid_changes(base, changes)

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        """What an operator file says, as differences to a state. InvalidFileError: it is invalid."""
        return await read_file(file, state)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Put the intersection of these in force; requests that have begun go on under what they began
        with.
        """
        if not entries:
            return
        plans = [self.plans.plan_of(entry) for entry in entries]
        both = PolicyIntersection(plans[0], plans[1], self.settings) if len(plans) > 1 else plans[0]
        self.admission.replace_policy(both)
        self.desk.set_policy_drains({server for entry in entries for server in entry.drained_servers})

    def log_event(self, event: str, **fields: object) -> None:
        """Log a transition."""
        self.log.info(event, **fields)

    # Calls

    async def answer(self, request: AdminRequest) -> AdminResponse:
        """Answer a call that came to the admin server."""
        found = await self.service.answer(request.policy_path, request.body)
        return AdminResponse(found.status, found.body, "application/json")

    async def call(self, door: str, path: str, body: bytes | None, limit: float) -> bytes:
        """Call another process at its door."""
        return await call(door, path, body, limit, self.terms.name)


async def call(door: str, path: str, body: bytes | None, limit: float, name: str = "operator") -> bytes:
    """One call for a policy at a door. name: who calls. UnreachableError: no answer within so many seconds,
    or one that says no."""
    host, _, port = door.rpartition(":")
    loop = asyncio.get_running_loop()
    caller = _Call(door, path, body, name)
    try:
        async with asyncio.timeout(limit):
            await loop.create_connection(lambda: caller, host.strip("[]"), int(port))
            return await caller.answer
    except (OSError, TimeoutError, ValueError, h11.ProtocolError) as error:
        raise UnreachableError(f"{door}: {type(error).__name__}: {error}") from None
    finally:
        caller.close()


class _Call(asyncio.Protocol):
    """One call, and its answer."""

    def __init__(self, door: str, path: str, body: bytes | None, name: str) -> None:
        self.door = door
        self.name = name
        self.path = path
        self.body = body
        self.http = h11.Connection(h11.CLIENT)
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.status = 0
        self.pieces: list[bytes] = []
        self.size = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        headers = [
            ("Host", self.door),
            ("User-Agent", f"hollybay {self.name}"),
            ("Content-Length", str(len(self.body or b""))),
        ]
        target = f"/-/policy/{self.path}" if self.path else "/-/policy"
        request = h11.Request(method="GET" if self.body is None else "POST", target=target, headers=headers)
        data = self.http.send(request) or b""
        if self.body:
            data += self.http.send(h11.Data(data=self.body)) or b""
        self.transport.write(data + (self.http.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        if self.answer.done():
            return
        try:
            self.http.receive_data(data)
            while not self.answer.done():
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    return
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.pieces.append(bytes(event.data))
                    self.size += len(event.data)
                    if self.size > MOST_ANSWER:
                        raise RejectedError("the answer is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                else:
                    raise RejectedError("no whole answer")
        except (h11.ProtocolError, RejectedError) as error:
            if not self.answer.done():
                self.answer.set_exception(UnreachableError(f"{self.door}: {error}"))

    def _whole(self) -> None:
        body = b"".join(self.pieces)
        if self.status == 200 or self.status == 202:
            self.answer.set_result(body)
        else:
            self.answer.set_exception(UnreachableError(body.decode("utf-8", "replace"), self.status))

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_exception(UnreachableError(f"{self.door}: closed before it answered"))

    def close(self) -> None:
        """End the connection; what nobody waits for any more raises nowhere."""
        if self.answer.done() and not self.answer.cancelled():
            self.answer.exception()
        else:
            self.answer.cancel()
        if self.transport is not None:
            self.transport.abort()


async def join(
    terms: MemberSettings, config: Config, operator: OperatorFile, clients: ClientListener, desk: AdminService
) -> Accord:
    """Bring a node into its accord."""
    desk.server.max_policy_request_bytes = MOST_CALL
    desk.server.max_connections = callers(config.sockets)
    # Hundreds call at once when an epoch is decided; a connect that finds the queue full is tried again a
    # second later.
    desk.server.backlog = BACKLOG
    accord = Accord(terms, config, operator, clients, desk)
    desk.policy_handler = clients.accord = accord
    return accord
