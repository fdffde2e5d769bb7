"""Consensus member of the node: runs `hollybay.consensus.service` over sockets and applies its decisions.

Imported only if the operator file has an [accord] table. `hollybay.consensus` implements the protocol; this
module sends its calls to other nodes, compiles the decided policies and puts them in force.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import random
import time
from collections.abc import Callable
from pathlib import Path

import structlog

from hollybay.admin.requests import AdminRequest
from hollybay.admin.responses import JSON_CONTENT_TYPE, AdminResponse
from hollybay.balancing.interface import Settings
from hollybay.consensus.interfaces import DataPlane, MemberSettings, OperatorFileChanges
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.log_events import LogEvent
from hollybay.consensus.service import Service
from hollybay.consensus.store import StoreError
from hollybay.resources.model import Change
from hollybay.resources.state import ResourceState
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.policy_intersection import PolicyIntersection
from hollybay.units import MS

from . import system
from .admin_client import call_policy
from .admin_service import AdminService
from .compiled_policies import CompiledPolicies, read_operator_file
from .config import ConfigError
from .gc_pauses import paused
from .policy_requests import PolicyRequestHandler

__all__ = ["ConsensusMember"]

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
LOCK_FILE_NAME = "lock"
LOCK_FILE_MODE = 0o600


class ConsensusMember(DataPlane, PolicyRequestHandler):
    """The node's member of the replicated log, and the data plane that the log configures.

    Parameters
    ----------
    settings
        Settings of the member.
    balancer_settings
        Settings of the balancer, which limit the values in a policy.
    admission
        Admission control, to which policies are applied.
    admin_service
        Admin service, to which the drained servers of the policies are applied.

    Attributes
    ----------
    on_request_begun
        Called for each request that begins, with the time (ns of `system.boot_time_ns`) and the names of the
        policies that it begins under; None if no callback is needed.
    """

    def __init__(
        self,
        settings: MemberSettings,
        balancer_settings: Settings,
        admission: AdmissionControl,
        admin_service: AdminService,
    ) -> None:
        self.settings = settings
        self.balancer_settings = balancer_settings
        self.admission = admission
        self.admin_service = admin_service
        self.on_request_begun: Callable[[int, tuple[str, ...]], None] | None = None
        self.loop = asyncio.get_running_loop()
        self.compiled_policies = CompiledPolicies(balancer_settings, lambda: self.service.policies_in_force)
        self.log = structlog.wrap_logger(
            logging.getLogger("hollybay.accord"),
            processors=[structlog.processors.TimeStamper(fmt="iso"), structlog.processors.JSONRenderer()],
        ).bind(node=settings.name)
        self._lock_descriptor: int | None = None  # set while this process holds the lock, and may vote
        self.service = Service(
            settings,
            self.call,
            self,
            system.boot_time_ns,
            lambda: time.time_ns() // MS,
            self._run_on_disk,
            random.Random(),
            BOOT_ID_FILE.read_text().strip(),
            may_vote_here=self._may_vote_here,
        )

    async def start(self) -> None:
        """Read the state on disk, and begin to call the voters.

        Raises
        ------
        ConfigError
            The folder cannot be used.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            await self.service.start()
        except (OSError, StoreError) as error:
            raise ConfigError(f"[accord] folder: {error}") from None

    def close(self) -> None:
        """Stop the service and release the right to vote."""
        self.service.close()
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    @property
    def _folder(self) -> Path:
        return self.settings.folder / self.settings.name

    def _may_vote_here(self) -> bool:
        """Lock the member's folder; False if another process of the same name holds the lock."""
        if self._lock_descriptor is not None:
            return True
        path = self._folder / LOCK_FILE_NAME
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            self.log_event(LogEvent.VOTER_FOLDER_LOCKED)
            return False
        self._lock_descriptor = descriptor
        return True

    async def _run_on_disk(self, work: Callable[[], None]) -> None:
        with paused():
            await self.loop.run_in_executor(None, work)

    # Client requests: the protocol `PolicyAgreement`

    def begin_request(self) -> bool:
        """Return whether a request may begin, which then begins under the policies in force."""
        may_begin = self.service.may_begin_request()
        if may_begin and self.on_request_begun is not None:
            self.on_request_begun(system.boot_time_ns(), self.service.policies_in_force)
        return may_begin

    def may_begin_request(self) -> bool:
        """Return whether a request could begin now, without recording one."""
        return self.service.may_begin_request()

    # Data plane of the service

    async def compile_policy(self, entry: Entry) -> list[str]:
        """Compile a policy for this node's settings; see `DataPlane`."""
        return await self.compiled_policies.compile_policy(entry)

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        """Find the changes of a batch that are invalid by themselves; see `DataPlane`."""
        return await self.compiled_policies.find_invalid_changes(base, changes)

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        """Compare an operator file with the resources of a policy; see `DataPlane`."""
        return await read_operator_file(file, state)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Put policies in force for the requests that begin from now on; see `DataPlane`."""
        if not entries:
            return
        compiled = [self.compiled_policies.policy_of(entry) for entry in entries]
        if len(compiled) > 1:
            self.admission.replace_policy(
                PolicyIntersection(compiled[0], compiled[1], self.balancer_settings)
            )
        else:
            self.admission.replace_policy(compiled[0])
        self.admin_service.set_policy_drains(
            {server for entry in entries for server in entry.drained_servers}
        )

    def log_event(self, event: LogEvent, **fields: object) -> None:
        """Write an event of the protocol to the log."""
        self.log.info(event, **fields)

    # Calls between nodes

    async def handle_policy_request(self, request: AdminRequest) -> AdminResponse:
        """Handle a policy request that came to the admin server."""
        response = await self.service.answer(request.policy_path, request.body)
        return AdminResponse(response.status, response.body, JSON_CONTENT_TYPE)

    async def call(self, address: str, path: str, body: bytes | None, timeout_s: float) -> bytes:
        """Call another member at its admin address; see `call_policy`."""
        return await call_policy(address, path, body, timeout_s, self.settings.name)
