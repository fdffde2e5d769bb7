"""The operator's file on a running node: read at the start, and again at SIGHUP, whole or not at all.

Imported only where the file is named. What it says is decided in `routing`; here it is read.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from collections.abc import Callable
from pathlib import Path

from hollybay.balancing.interface import Settings
from hollybay.routing.admission_control import Gate
from hollybay.routing.problems import OperatorError, Problem
from hollybay.routing.route_table import Plan, compile_file

from . import system
from .config import ConfigError

__all__ = ["Operator"]

log = logging.getLogger("elderscale")

MAX_LOGGED = 20  # problems of one file that are logged
# A file that is being written is read until two readings this far apart (s) agree, so many times at most. The
# first half of a file can be sound TOML: it would be in force until the next SIGHUP. It does not help against
# a writer that ended half way; who renames a whole file into place needs neither.
SETTLE, SETTLE_READS = 0.05, 40
# How soon (s) the thread that compiles must let go of the interpreter while the loop waits for it. With the
# interpreter's own 5 ms each turn of the loop was that much late: a surge with a reload at every moment had
# answers 60 ms past their deadline. It costs switches, and only while a file is read.
YIELD = 0.0005


class Operator:
    """The file, and the gate that it sets up.

    Use from the node's loop only. A reload reads and compiles in a thread, so that requests are served
    meanwhile; one reload at a time, and of those asked for during one only the last is done.
    """

    def __init__(
        self,
        path: str,
        settings: Settings,
        seed: int,
        pause: Callable[[], None] = lambda: system.sleep(SETTLE),
    ) -> None:
        """Read the file; ConfigError tells all that does not hold. pause: what lies between two readings."""
        self.path = Path(path)
        self.pause = pause
        self.settings = settings
        try:
            plan = self._compiled()
        except OperatorError as error:
            raise ConfigError(str(error)) from None
        self.gate = Gate(plan, seed, settings.max_retry_after)
        self.accord = plan.accord
        if plan.accord is not None and not plan.bare:
            raise ConfigError(
                f"{path}: [accord]: routes and limits beside it would be this node's alone; "
                "`hollybay policy propose` puts them in force everywhere"
            )
        self.done = 0  # reloads that are over, whatever came of them
        self.changed = asyncio.Event()  # set with each of them
        self._work: asyncio.Task[None] | None = None
        self._again = False

    def _compiled(self) -> Plan:
        """The plan of what the file holds now; OperatorError tells all that is wrong."""
        try:
            data = system.read_bytes(self.path)
            for _ in range(SETTLE_READS):
                self.pause()
                again = system.read_bytes(self.path)
                if again == data:
                    break
                data = again
            else:
                raise ValueError("it keeps changing")
        except (OSError, ValueError) as error:
            raise OperatorError(str(self.path), [Problem("", "", None, f"cannot be read: {error}")]) from None
        return compile_file(data, self.settings, str(self.path))

    def reload(self) -> None:
        """Read the file again; one that does not hold is logged and changes nothing.

        Where nodes agree on the policy, this node alone changes nothing.
        """
        if self.accord is not None:
            log.error(
                "reload: %s: this node is in an accord, and takes over nothing; use: hollybay policy propose",
                self.path,
            )
            self.done += 1
            self.changed.set()
            return
        self._again = True
        if self._work is None:
            self._work = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        interval = sys.getswitchinterval()
        sys.setswitchinterval(YIELD)
        try:
            while self._again:
                self._again = False
                try:
                    plan = await asyncio.get_running_loop().run_in_executor(None, self._compiled)
                except OperatorError as error:
                    for problem in error.problems[:MAX_LOGGED]:
                        log.error("reload: %s: %s", error.file, problem)
                    log.error(
                        "reload: %s does not hold (%d problems); the old one stays in force",
                        error.file,
                        len(error.problems),
                    )
                except Exception:
                    # What nobody foresaw in a file costs this reload and nothing else.
                    log.exception("reload: %s cannot be read; the old one stays in force", self.path)
                else:
                    if plan.peers != self.gate.plan.peers:
                        log.warning("reload: [peers] differs, which takes a restart")
                    self.gate.take_over(plan)
                    log.info("reload: %s: %d routes in force", self.path, len(plan.routes))
                self.done += 1
                self.changed.set()
        finally:
            sys.setswitchinterval(interval)
            self._work = None

    async def close(self) -> None:
        """End a reload that is under way."""
        if self._work is not None:
            self._work.cancel()
            await asyncio.gather(self._work, return_exceptions=True)
