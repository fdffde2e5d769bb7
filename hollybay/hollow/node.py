"""A hollow node: the consensus service behind an admin server, without a data plane.

Disk operations run in threads, as in a real node. The times at which policies come into force are recorded.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from hollybay.admin.requests import AdminOperation, AdminRequest
from hollybay.admin.responses import AdminResponse
from hollybay.balancing.interface import Settings
from hollybay.consensus.interfaces import MemberSettings, OperatorFileChanges
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.log_events import LogEvent
from hollybay.consensus.messages import MAX_CALL_BYTES
from hollybay.consensus.service import Service
from hollybay.proxy.admin_client import call_policy
from hollybay.proxy.admin_server import AdminServer
from hollybay.proxy.compiled_policies import CompiledPolicies, read_operator_file
from hollybay.proxy.consensus_setup import MAX_POLICY_CONNECTIONS, POLICY_BACKLOG
from hollybay.proxy.system import boot_time_ns
from hollybay.resources.model import Change
from hollybay.resources.state import ResourceState
from hollybay.units import MS

__all__ = ["HollowNode"]


class HollowNode:
    """A hollow node.

    settings: policies are compiled for these, as in a real node; None: they are accepted without compilation.

    in_force: by policy version, when it came into force as the only one (ns of
    hollybay.proxy.system.boot_time_ns).
    """

    def __init__(
        self, name: str, folder: Path, lease_ns: int, seed: int, settings: Settings | None = None
    ) -> None:
        self.name = name
        self.folder = folder
        self.lease_ns = lease_ns
        self.compiled_policies = (
            CompiledPolicies(settings, self._policies_in_force) if settings is not None else None
        )
        self.address = ""
        self.in_force: dict[int, int] = {}
        self.problems: list[str] = []
        self.service: Service | None = None
        self._random = random.Random(f"{seed}/{name}")
        self._loop = asyncio.get_running_loop()
        self._listener = AdminServer(self._answer)
        self._listener.max_policy_request_bytes = MAX_CALL_BYTES
        self._listener.max_connections = MAX_POLICY_CONNECTIONS
        self._listener.backlog = POLICY_BACKLOG

    async def listen(self, host: str, port: int = 0) -> str:
        """Listen at its own address; returns the address."""
        bound_port = await self._listener.open(host, port)
        self.address = f"{host}:{bound_port}"
        return self.address

    async def start(self, voters: tuple[str, ...]) -> None:
        """Load the stored state and start to request leases; StoreFailed or OSError if it is unusable."""
        settings = MemberSettings(
            self.name, self.address, tuple(sorted(voters)), self.lease_ns, 0, self.folder
        )
        (self.folder / self.name).mkdir(parents=True, exist_ok=True)
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        self.service = Service(
            settings,
            self._call,
            self,
            boot_time_ns,
            lambda: time.time_ns() // MS,
            self._run_in_thread,
            self._random,
            boot,
        )
        await self.service.start()

    def close(self) -> None:
        """Stop without notice to other members: no more replies and requests."""
        if self.service is not None:
            self.service.close()
        self._listener.close()

    def _policies_in_force(self) -> tuple[str, ...]:
        return self.service.policies_in_force if self.service is not None else ()

    def in_force_since(self, version: int) -> int | None:
        """When this policy version or a later one came into force alone (ns); None if none did yet."""
        return min((at for known, at in self.in_force.items() if known >= version), default=None)

    # Callbacks of the consensus service

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile a policy as a real node does, if there are settings; returns the problems."""
        if self.compiled_policies is None:
            return []
        return await self.compiled_policies.compile_policy(entry)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Find the invalid changes of a batch; returns their problems by change id."""
        if self.compiled_policies is None:
            return {}
        return await self.compiled_policies.find_invalid_changes(base, changes)

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        """Read an operator file as changes to a state. Raises BadFile if it is invalid."""
        return await read_operator_file(file, state)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Record the time at which a policy comes into force alone."""
        if len(entries) == 1:
            self.in_force.setdefault(entries[0].policy.version, boot_time_ns())

    def log_event(self, event: LogEvent, **fields: object) -> None:
        """Record errors."""
        if event is LogEvent.TASK_FAILED or "error" in fields:
            self.problems.append(f"{event}: {fields.get('error')}")

    # Requests and responses

    def _answer(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        if request.operation is not AdminOperation.POLICY or self.service is None:
            return AdminResponse.text(404, "no such call")
        return self._answer_policy_request(self.service, request)

    async def _answer_policy_request(self, service: Service, request: AdminRequest) -> AdminResponse:
        reply = await service.answer(request.policy_path, request.body)
        return AdminResponse(reply.status, reply.body, "application/json")

    async def _call(self, address: str, path: str, body: bytes | None, limit: float) -> bytes:
        return await call_policy(address, path, body, limit, self.name)

    def _run_in_thread(self, work: Callable[[], None]) -> Awaitable[None]:
        return self._loop.run_in_executor(None, work)
