"""Hand-over of the listening address between two processes of one node.

During an upgrade, the old and the new process listen on the same address with SO_REUSEPORT. Locked files in a
shared folder show how many processes are listening. The newest process gets all new connections: a classic
BPF program on the group of sockets selects its socket by its index in the group. The accept queue of the old
process is therefore empty when it closes its socket; without the program, the connections in that queue would
be reset.

A process that dies releases its lock and its index. If the program selects no existing socket, the kernel
ignores it and distributes connections by hash among the remaining sockets.
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

from .request_ids import RequestIds
from .shared_ended_ids import SharedEndedIds
from .shared_request_ids import SharedRequestIds

__all__ = ["ListenerGroup"]

log = logging.getLogger("hollybay.proxy")

# From linux/filter.h and asm-generic/socket.h; Python has no names for them.
SO_ATTACH_REUSEPORT_CBPF = 51
BPF_RETURN = 0x06

FILE_MODE = 0o600
IDS_SUFFIX = ".ids"
ENDED_IDS_SUFFIX = ".ended"
MEMBER_ID_BYTES = 8


class ListenerGroup:
    """Membership of this process in the group of processes that listen on one address.

    Parameters
    ----------
    folder
        Folder that the processes share; None if there is none, and other processes are then unknown.
    name
        Name of the node, which is the same in all of its processes.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        self.folder = folder
        self.name = name
        self._lock: int | None = None  # file descriptor
        self._path: Path | None = None
        self._request_ids: RequestIds | None = None

    def share_ids(self, request_ids: RequestIds, capacity: int) -> None:
        """Share the ids of open requests, and of those that ended, with the other processes, until `close`.

        Parameters
        ----------
        request_ids
            Ids of this process; none may have been claimed yet.
        capacity
            Maximum number of open ids that are shared at a time.
        """
        if self.folder is None:
            return
        path = self.folder / f"{self.name}.{secrets.token_hex(MEMBER_ID_BYTES)}"
        try:
            request_ids.shared = SharedRequestIds(path.with_name(path.name + IDS_SUFFIX), capacity)
            ended_path = path.with_name(path.name + ENDED_IDS_SUFFIX)
            request_ids.share_ended(SharedEndedIds(ended_path, request_ids.reserved_bytes))
        except OSError as error:
            log.warning("hand-over: ids of requests cannot be shared: %s", error)
        self._request_ids = request_ids
        self.look_up_ids()

    def look_up_ids(self) -> None:
        """Look up ids of requests at the processes that share theirs by now, too."""
        if self.folder is None or self._request_ids is None:
            return
        shared, shared_ended = self._request_ids.shared, self._request_ids.shared_ended
        if shared is not None:
            shared.open_others(self.folder.glob(f"{self.name}.*{IDS_SUFFIX}"))
        if shared_ended is not None:
            shared_ended.open_others(self.folder.glob(f"{self.name}.*{ENDED_IDS_SUFFIX}"))

    def close(self) -> None:
        """Stop sharing ids, as the process ends."""
        if self._request_ids is None:
            return
        if self._request_ids.shared is not None:
            self._request_ids.shared.close()
            self._request_ids.shared = None
        if self._request_ids.shared_ended is not None:
            self._request_ids.shared_ended.close()
            self._request_ids.shared_ended = None

    def join(self) -> None:
        """Register as a listening process, until `leave` or the end of the process."""
        if self.folder is None or self._lock is not None:
            return
        path = self.folder / f"{self.name}.{secrets.token_hex(MEMBER_ID_BYTES)}.listens"
        new_path = path.with_suffix(".new")
        try:
            self._lock = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
            # Locked before it is renamed, as an unlocked file is taken for that of a dead process.
            fcntl.flock(self._lock, fcntl.LOCK_EX)
            new_path.rename(path)
            self._path = path
        except OSError as error:
            log.warning("hand-over: this process cannot be registered as listening: %s", error)

    def count_others(self) -> int:
        """Count the other listening processes, and remove the files of dead ones."""
        if self.folder is None:
            return 0
        paths = self.folder.glob(f"{self.name}.*.listens")
        return sum(path != self._path and self._is_alive(path) for path in paths)

    @staticmethod
    def _is_alive(path: Path) -> bool:
        """Whether the process of a file holds its lock; the file of a dead process is removed."""
        try:
            lock = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:  # removed meanwhile
            return False
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink(missing_ok=True)
        except BlockingIOError:
            return True
        except OSError as error:
            log.warning("hand-over: cannot lock or remove %s: %s", path, error)
        finally:
            os.close(lock)
        return False

    def leave(self) -> None:
        """Unregister as a listening process."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
        if self._path is not None:
            self._path.unlink(missing_ok=True)
            self._path = None

    @staticmethod
    def take_new_connections(listener: socket.socket, index: int) -> bool:
        """Direct all new connections of the group to one of its sockets.

        Parameters
        ----------
        listener
            Any listening socket of the group.
        index
            Index of the socket that gets the connections, from 0 in the order in which they began to listen.

        Returns
        -------
        bool
            Whether the kernel accepted the program; otherwise it distributes connections by hash.
        """
        code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, index))
        program = struct.pack("@HP", 1, ctypes.addressof(code))
        try:
            listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError as error:
            log.warning("hand-over: new connections are distributed by hash, as BPF failed: %s", error)
            return False
        return True
