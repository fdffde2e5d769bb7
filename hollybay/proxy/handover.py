"""Two processes of one node on one address, while a new version takes over from an old one.

Both listen by SO_REUSEPORT, and locked files in a folder that both see tell how many there are. The newest
claims all new connections: a classic BPF program on the group of sockets names its place in it. The old
one's queue is then empty when it closes; without the program, what is queued there at the close would be
reset.

A process that dies leaves its lock and its place: the kernel takes a program that names no socket for none,
and deals connections out by hash among those that are left.
"""

from __future__ import annotations

import ctypes
import fcntl
import logging
import os
import secrets
import socket
import struct
from pathlib import Path

__all__ = ["Place"]

log = logging.getLogger("elderscale")

# linux/filter.h and asm-generic/socket.h; Python has no names for them.
SO_ATTACH_REUSEPORT_CBPF = 51
BPF_RETURN = 0x06


class Place:
    """One process among those that listen on an address, told apart by locked files in a folder."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self.folder = folder
        self.name = name
        self._held: int | None = None
        self._path: Path | None = None

    def join(self) -> None:
        """Count as one that listens, from now until leave() or the end of the process."""
        if self.folder is None or self._held is not None:
            return
        path = self.folder / f"{self.name}.{secrets.token_hex(8)}.listens"
        new = path.with_suffix(".new")
        try:
            self._held = os.open(new, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            # Locked before anybody looks for it: an unlocked one is taken for a dead process's.
            fcntl.flock(self._held, fcntl.LOCK_EX)
            new.rename(path)
            self._path = path
        except OSError as error:
            log.warning("hand-over: %s", error)

    def others(self) -> int:
        """How many other processes listen. Files that a dead process left are removed."""
        if self.folder is None:
            return 0
        count = 0
        for path in self.folder.glob(f"{self.name}.*.listens"):
            if path == self._path:
                continue
            try:
                held = os.open(path, os.O_RDWR | os.O_CLOEXEC)
            except OSError:  # it has gone meanwhile
                continue
            try:
                fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                path.unlink(missing_ok=True)
            except BlockingIOError:
                count += 1
            except OSError as error:
                log.warning("hand-over: %s: %s", path, error)
            finally:
                os.close(held)
        return count

    def leave(self) -> None:
        """Count no longer."""
        if self._held is not None:
            os.close(self._held)
            self._held = None
        if self._path is not None:
            self._path.unlink(missing_ok=True)
            self._path = None

    @staticmethod
    def claim(sock: socket.socket, place: int) -> bool:
        """Have the kernel give all new connections to the socket in this place of its group, from 0 in the
        order in which they began to listen; False where the kernel does not take it."""
        code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, place))
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("@HP", 1, ctypes.addressof(code))
            )
        except OSError as error:
            log.warning("hand-over: the kernel deals connections out by hash: %s", error)
            return False
        return True
