"""One hollow node: a service of the accord behind a listener, with no data plane.

Its disk work goes to threads, as a real node's does. Policies that come into force are noted with their time.
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
    """See above. settings: a policy is compiled for these, as a real node does; None: it is taken as it is.

    in_force: by version of the policy, when the node began to serve under it alone (ns of
    hollybay.proxy.system.boot_time_ns).
    """

    def __init__(
        self, name: str, folder: Path, lease_ns: int, seed: int, settings: Settings | None = None
    ) -> None:
        self.name = name
        self.folder = folder
        self.lease_ns = lease_ns
        self.compiled_policies = CompiledPolicies(settings, self._in_use) if settings is not None else None
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
        """Take calls at an address of its own; the address."""
        found = await self._listener.open(host, port)
        self.address = f"{host}:{found}"
        return self.address

    async def start(self, keepers: tuple[str, ...]) -> None:
        """Take up what is on disk, and begin to ask for leases. StoreFailed, OSError: it cannot be used."""
        settings = MemberSettings(
            self.name, self.address, tuple(sorted(keepers)), self.lease_ns, 0, self.folder
        )
        (self.folder / self.name).mkdir(parents=True, exist_ok=True)
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        self.service = Service(
            settings,
            self._call,
            self,
            boot_time_ns,
            lambda: time.time_ns() // MS,
            self._disk,
            self._random,
            boot,
        )
        await self.service.start()

    def close(self) -> None:
        """Answer and ask no more, without a word to anybody."""
        if self.service is not None:
            self.service.close()
        self._listener.close()

    def _in_use(self) -> tuple[str, ...]:
        return self.service.policies_in_force if self.service is not None else ()

    def in_force_since(self, version: int) -> int | None:
        """When it began to serve under this version or a later one alone (ns); None: it did not yet."""
        return min((at for one, at in self.in_force.items() if one >= version), default=None)

    # What a service asks of its node

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile a policy as a real node does, where there are settings to compile it for."""
        if self.compiled_policies is None:
            return []
        return await self.compiled_policies.compile_policy(entry)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Which changes of a batch do not hold; by their ids."""
        if self.compiled_policies is None:
            return {}
        return await self.compiled_policies.find_invalid_changes(base, changes)

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        """What an operator file says, as differences to a state. BadFile: it does not hold."""
        return await read_operator_file(file, state)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Note since when a policy is in force alone."""
        if len(entries) == 1:
            self.in_force.setdefault(entries[0].policy.version, boot_time_ns())

    def log_event(self, event: str, **fields: object) -> None:
        """Keep what went wrong."""
        if event == "failed" or "error" in fields:
            self.problems.append(f"{event}: {fields.get('error')}")

    # Calls

    def _answer(self, request: AdminRequest) -> AdminResponse | Awaitable[AdminResponse]:
        if request.operation is not AdminOperation.POLICY or self.service is None:
            return AdminResponse.text(404, "no such call")
        return self._answered(self.service, request)

    async def _answered(self, service: Service, request: AdminRequest) -> AdminResponse:
        found = await service.answer(request.policy_path, request.body)
        return AdminResponse(found.status, found.body, "application/json")

    async def _call(self, door: str, path: str, body: bytes | None, limit: float) -> bytes:
        return await call_policy(door, path, body, limit, self.name)

    def _disk(self, work: Callable[[], None]) -> Awaitable[None]:
        return self._loop.run_in_executor(None, work)
