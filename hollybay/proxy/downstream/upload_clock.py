"""Clock of an upload: the earliest time at which its client may have sent its last byte.

A client's time counts from that byte, which it writes to its own kernel. As long as the node reads everything
that arrives, the byte has not been written yet. Once the node lets bytes lie unread, the kernels hold more
and more, and the byte may be among them; what the node sees of them arrives only as it reads on.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["BLOCKED_BYTES", "CLIENT_BUFFER_BYTES", "GAP_S", "UploadClock"]

# Number of unread bytes from which on the kernel may accept no more, so that further ones wait at the client:
# half of the smallest receive buffer that Linux gives a connection, half of which it offers as window.
BLOCKED_BYTES = 32 << 10
# Number of bytes that wait at the client's kernel at most: the largest send buffer that Linux gives by
# default.
CLIENT_BUFFER_BYTES = 4 << 20
# If nothing arrives for this long (s) though the node reads, nothing waits at the client. It is several round
# trips between two data centres.
GAP_S = 0.01


class UploadClock:
    """Tracks the earliest time at which the client may have sent the last byte of its request.

    Times are in seconds, of the clock of the event loop.

    Parameters
    ----------
    now
        Time at which the request begins to be tracked.

    Attributes
    ----------
    started_at
        That earliest time.
    """

    __slots__ = (
        "_checkpoint_at",
        "_checkpoint_bytes",
        "_empty_since",
        "_is_client_ahead",
        "_read_bytes",
        "_was_paused",
        "started_at",
    )

    def __init__(self, now: float) -> None:
        self.started_at = now
        self._is_client_ahead = False  # bytes may wait at the client
        self._was_paused = True
        self._empty_since: float | None = None  # since when the node has read in vain
        self._read_bytes = 0
        # Everything that the client had sent at the time of the checkpoint is read with this number of bytes.
        self._checkpoint_at = now
        self._checkpoint_bytes = 0

    def restart(self, now: float) -> None:
        """Note that the client cannot have sent its last byte yet."""
        self.started_at = now

    def pause(self) -> None:
        """Note that the node stops reading."""
        self._was_paused = True
        self._empty_since = None

    def read(
        self,
        now: float,
        size: int,
        is_emptied: bool,
        unread_bytes: Callable[[], int],
        age_s: Callable[[], float],
    ) -> None:
        """Note a read.

        Parameters
        ----------
        now
            Time of the read.
        size
            Number of bytes that were read.
        is_emptied
            Whether it did not fill the buffer, so that the kernel had no more.
        unread_bytes, age_s
            Return the number of bytes that the kernel still has, and how long ago the last ones arrived.
        """
        self._read_bytes += size
        if not is_emptied and now - self.started_at >= GAP_S:
            # A read that has filled the buffer may have emptied the socket, too.
            is_emptied = not unread_bytes()
        if self._was_paused:
            self._was_paused = False
            unread = 0 if is_emptied else unread_bytes()
            if not self._is_client_ahead and size + unread >= BLOCKED_BYTES:
                self._is_client_ahead = True
                self._set_checkpoint(now, unread)
        if self._is_client_ahead:
            self._catch_up(now, unread_bytes, age_s)
        if is_emptied and not self._is_client_ahead:
            self.started_at = now
        self._empty_since = now if is_emptied else None

    def _catch_up(self, now: float, unread_bytes: Callable[[], int], age_s: Callable[[], float]) -> None:
        """Find out whether bytes may still wait at the client, or since when they have been sent."""
        if self._read_bytes > self._checkpoint_bytes:
            self.started_at = max(self.started_at, self._checkpoint_at)
            self._set_checkpoint(now, unread_bytes())
        if self._empty_since is not None and now - self._empty_since >= GAP_S:
            # The bytes may have arrived at once, and waited for the event loop.
            arrived_at = now - age_s()
            if arrived_at - self._empty_since >= GAP_S:
                self._is_client_ahead = False
                self.started_at = max(self.started_at, arrived_at - GAP_S)

    def _set_checkpoint(self, now: float, unread: int) -> None:
        self._checkpoint_at = now
        self._checkpoint_bytes = self._read_bytes + unread + CLIENT_BUFFER_BYTES
