"""Operator file of a running node: loaded at the start and at each SIGHUP, completely or not at all.

Imported only if an operator file is configured. `hollybay.routing` parses and compiles the file; this module
reads it and puts it in force.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from hollybay.balancing.interface import Settings
from hollybay.routing.admission_control import AdmissionControl
from hollybay.routing.compiled_policy import CompiledPolicy
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.problems import FileProblem, OperatorError

from . import system
from .config import ConfigError
from .thread_switching import short_switch_interval

__all__ = ["OperatorFile"]

log = logging.getLogger("hollybay.proxy")

MAX_LOGGED_PROBLEMS = 20  # per reload
# The file is read until two successive reads agree: the first part of a file that is being written can be
# valid TOML, and would stay in force until the next SIGHUP. A file that is renamed into place does not need
# this.
SETTLE_INTERVAL_S = 0.05
MAX_SETTLE_READS = 40


class OperatorFile:
    """The operator file and the admission control that it configures.

    To be used only in the thread of the event loop. A reload reads and compiles the file in another thread
    while requests are served. Reloads do not overlap; those requested during a reload are merged into one.

    Parameters
    ----------
    path
        Path of the file.
    settings
        Settings of the balancer, which limit the values in the file.
    seed
        Seed of the random numbers of admission control.
    settle_pause
        Called between two reads of the file.

    Attributes
    ----------
    admission
        Admission control by the file in force.
    consensus_table
        The [accord] table of the file; None if it has none.
    reloads_finished
        Number of finished reloads, whether successful or not.
    reload_finished
        Set when a reload has finished; a caller that waits for the next reload clears it first.

    Raises
    ------
    ConfigError
        The file cannot be read or is invalid; the message lists all problems.
    """

    def __init__(
        self,
        path: str,
        settings: Settings,
        seed: int,
        settle_pause: Callable[[], None] = lambda: system.sleep(SETTLE_INTERVAL_S),
    ) -> None:
        self.path = Path(path)
        self.settle_pause = settle_pause
        self.settings = settings
        try:
            policy = self._read_policy()
        except OperatorError as error:
            raise ConfigError(str(error)) from None
        if policy.consensus is not None and not policy.is_empty:
            raise ConfigError(
                f"{path}: [accord]: routes and limits in the same file would apply to this node only; "
                "put them in force at all nodes with `hollybay policy propose`"
            )
        self.admission = AdmissionControl(policy, seed, settings.max_retry_after)
        self.consensus_table = policy.consensus
        self.reloads_finished = 0
        self.reload_finished = asyncio.Event()
        self._reload_task: asyncio.Task[None] | None = None
        self._reload_requested = False

    def reload(self) -> None:
        """Request a reload; an invalid file is logged and has no effect.

        If the nodes replicate their policy, the file of one node has no effect either.
        """
        if self.consensus_table is not None:
            log.error(
                "reload: %s is ignored, as this node replicates its policy; use: hollybay policy propose",
                self.path,
            )
            self._finish_reload()
            return
        self._reload_requested = True
        if self._reload_task is None:
            self._reload_task = asyncio.get_running_loop().create_task(self._run_reloads())

    async def close(self) -> None:
        """Cancel a running reload."""
        if self._reload_task is not None:
            self._reload_task.cancel()
            await asyncio.gather(self._reload_task, return_exceptions=True)

    async def _run_reloads(self) -> None:
        try:
            with short_switch_interval():
                while self._reload_requested:
                    self._reload_requested = False
                    await self._reload_once()
                    self._finish_reload()
        finally:
            self._reload_task = None

    async def _reload_once(self) -> None:
        try:
            policy = await asyncio.get_running_loop().run_in_executor(None, self._read_policy)
        except OperatorError as error:
            _log_problems(error)
        except Exception:
            # An unexpected error fails only this reload.
            log.exception("reload: %s cannot be loaded; the old file stays in force", self.path)
        else:
            if policy.peers != self.admission.policy.peers:
                log.warning("reload: a change of [peers] requires a restart")
            self.admission.replace_policy(policy)
            log.info("reload: %s: %d routes in force", self.path, len(policy.routes))

    def _finish_reload(self) -> None:
        self.reloads_finished += 1
        self.reload_finished.set()

    def _read_policy(self) -> CompiledPolicy:
        """Read and compile the file; OperatorError lists all problems."""
        try:
            data = self._read_settled()
        except (OSError, ValueError) as error:
            raise OperatorError(
                str(self.path), [FileProblem("", "", None, f"cannot be read: {error}")]
            ) from None
        return compile_file(data, self.settings, str(self.path))

    def _read_settled(self) -> bytes:
        """Read the file until two successive reads agree; ValueError if it keeps changing."""
        data = system.read_bytes(self.path)
        for _ in range(MAX_SETTLE_READS):
            self.settle_pause()
            previous, data = data, system.read_bytes(self.path)
            if data == previous:
                return data
        raise ValueError("it keeps changing")


def _log_problems(error: OperatorError) -> None:
    for problem in error.problems[:MAX_LOGGED_PROBLEMS]:
        log.error("reload: %s: %s", error.file, problem)
    log.error(
        "reload: %s is invalid (%d problems); the old file stays in force",
        error.file,
        len(error.problems),
    )
