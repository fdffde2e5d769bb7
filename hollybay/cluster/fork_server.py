"""The fork server: forks all other processes of a run, so that modules are imported once and shared.

It reads lines of JSON from its standard input and replies on its standard output. When its input ends, as it
does whenever the harness dies, it kills all processes that it forked and exits; if it is killed itself, the
kernel kills them (PR_SET_PDEATHSIG). Processes are signalled only through it: as their parent it knows
whether a process ID still belongs to the same process.
"""

from __future__ import annotations

import contextlib
import ctypes
import gc
import importlib
import os
import select
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["main"]

PR_SET_PDEATHSIG = 1


class _ForkServer:
    def __init__(self) -> None:
        self.pids: dict[int, str] = {}
        self.names: dict[str, int] = {}
        self.wake, wake = os.pipe()
        os.set_blocking(self.wake, False)
        os.set_blocking(wake, False)
        signal.set_wakeup_fd(wake, warn_on_full_buffer=False)
        signal.signal(signal.SIGCHLD, lambda number, frame: None)
        signal.signal(signal.SIGINT, signal.SIG_IGN)  # sent by the terminal; the harness stops this process
        self.buffer = b""

    def say(self, **words: Any) -> None:
        data = msgspec.json.encode(words) + b"\n"
        while data:
            data = data[os.write(1, data) :]

    def run(self) -> int:
        """Serve commands until the input ends."""
        self.say(event="ready", pid=os.getpid())
        try:
            while True:
                ready, _, _ = select.select([0, self.wake], [], [])
                if self.wake in ready:
                    with contextlib.suppress(BlockingIOError):
                        os.read(self.wake, 4096)
                    self.reap()
                if 0 in ready:
                    data = os.read(0, 1 << 16)
                    if not data:
                        return 0
                    *lines, self.buffer = (self.buffer + data).split(b"\n")
                    for line in lines:
                        self.do(msgspec.json.decode(line))
        except BrokenPipeError:
            return 0
        finally:
            self.end_all()

    def do(self, words: dict[str, Any]) -> None:
        if words["do"] == "fork":
            self.fork(words)
        elif words["do"] == "signal":
            pid = self.names.get(words["name"])
            if pid is not None:
                os.kill(pid, words["number"])

    def fork(self, words: dict[str, Any]) -> None:
        sys.stdout.flush()
        parent = os.getpid()
        pid = os.fork()
        if pid == 0:
            _child(words, parent)  # does not return
        self.pids[pid] = words["name"]
        self.names[words["name"]] = pid
        self.say(event="forked", name=words["name"], pid=pid)

    def reap(self) -> None:
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return
            if pid == 0:
                return
            name = self.pids.pop(pid)
            if self.names.get(name) == pid:
                del self.names[name]
            self.say(event="ended", name=name, pid=pid, status=os.waitstatus_to_exitcode(status))

    def end_all(self) -> None:
        for pid in self.pids:
            os.kill(pid, signal.SIGKILL)  # children that were not yet waited for, so the IDs are still theirs
        for pid in self.pids:
            os.waitpid(pid, 0)


def _child(words: dict[str, Any], parent: int) -> None:
    """Set up a forked process and run its entry point; does not return."""
    status = 70
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(71)  # the parent died before prctl took effect
        signal.set_wakeup_fd(-1)
        for number in (signal.SIGCHLD, signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_DFL)
        folder = Path(words["folder"])
        log = os.open(folder / f"{words['name']}.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        null = os.open(os.devnull, os.O_RDONLY)
        os.dup2(null, 0)
        os.dup2(log, 1)
        os.dup2(log, 2)
        os.closerange(3, 64)  # inherited from the fork server: its pipe and other descriptors
        from .processes import run_process

        status = run_process(words["role"], words["name"], folder, words.get("words", {}))
    except BaseException:  # a child must never return into the fork server's loop
        import traceback

        traceback.print_exc()
    finally:
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)


def main() -> int:
    """Import the modules that all processes need and those named as arguments, then serve fork commands."""
    from . import processes

    for module in sys.argv[1:]:
        importlib.import_module(module)

    gc.collect()
    gc.freeze()  # a collection in a child would otherwise copy the shared pages
    return _ForkServer().run()


if __name__ == "__main__":
    sys.exit(main())
