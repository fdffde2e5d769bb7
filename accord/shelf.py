"""Policies on disk, each under its name; its digest tells whether it is whole."""

from __future__ import annotations

import os
import re
from collections.abc import Callable, Iterable
from pathlib import Path
from threading import Lock

import msgspec

from .policy import Policy, Refused, parse
from .store import StoreFailed

__all__ = ["KEPT", "Shelf", "is_name"]

KEPT = 32  # the newest policies, which are never taken off the shelf
_NAME = re.compile(r"[0-9]{1,12}-[0-9a-f]{12}")


def is_name(text: str) -> bool:
    """Whether this is the name of a policy."""
    return _NAME.fullmatch(text) is not None


def _version(name: str) -> int:
    return int(name.partition("-")[0])


class Shelf:
    """A folder of policies. step: as in store.Store."""

    def __init__(self, folder: Path, step: Callable[[str], None] = lambda word: None) -> None:
        self.folder = folder
        self.step = step
        self._read: dict[str, Policy] = {}
        # A process is node and keeper, and both may bring the same policy here, each in a thread.
        self._putting = Lock()

    def names(self) -> list[str]:
        """What stands there, the oldest first."""
        try:
            found = [path.name for path in self.folder.iterdir() if is_name(path.name)]
        except OSError:
            found = []
        return sorted({*found, *self._read}, key=lambda name: (_version(name), name))

    def get(self, name: str) -> Policy | None:
        """A policy; None: it is not there, or what stands there is another, and is set aside."""
        known = self._read.get(name)
        if known is not None or not is_name(name):
            return known
        path = self.folder / name
        try:
            policy = parse(path.read_bytes())
        except OSError:
            return None
        except Refused:
            policy = None
        if policy is None or policy.name != name:
            os.replace(path, path.with_name(f"{name}.torn"))
            return None
        self._read[name] = policy
        return policy

    def put(self, policy: Policy) -> None:
        """Bring a policy to the disk; once this returns it may be relied on. StoreFailed: it may not."""
        with self._putting:
            self._put(policy)

    def _put(self, policy: Policy) -> None:
        if self.get(policy.name) is not None:
            return
        fresh = self.folder / f"{policy.name}.new"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.step("write policy")
            with fresh.open("wb") as file:
                file.write(msgspec.msgpack.encode(policy))
                file.flush()
                self.step("flush policy")
                os.fsync(file.fileno())
            os.replace(fresh, self.folder / policy.name)
            handle = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(handle)
            finally:
                os.close(handle)
        except OSError as error:
            raise StoreFailed(f"{fresh}: {error}") from None
        self._read[policy.name] = policy

    def prune(self, needed: Iterable[str]) -> None:
        """Take off all but what is needed and the newest."""
        names = self.names()
        for name in set(names[:-KEPT]) - set(needed):
            self._read.pop(name, None)
            (self.folder / name).unlink(missing_ok=True)
