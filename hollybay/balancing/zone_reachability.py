"""Reachability of zones, judged by failed connects: this is faster than discovery's report of a lost zone."""

from __future__ import annotations

__all__ = ["ZoneReachability"]

# The share of failed connects above which a zone counts as unreachable.
UNREACHABLE_FAILURE_RATE = 0.25
# The largest share of traffic that is diverted from an unreachable zone; the rest detects its recovery.
MAX_DIVERTED_SHARE = 0.95
# The factor by which a successful connect reduces the share of failed ones.
SUCCESS_DECAY = 0.8
# A zone is unreachable only if its share of failed connects is above this many times that of the other zones.
UNREACHABLE_RATIO = 2.0


class ZoneReachability:
    """The share of connects that fail, for the node's own zone (local) and for all others (remote).

    A single server that is down shows in its own failure rate. If a whole zone is lost, a node with few
    requests sends to each of its servers only once in several seconds, and would try one after another
    without this class. If many servers of a zone fail at once but the others could carry the load, traffic
    leaves it needlessly.

    Attributes
    ----------
    local_failure_rate, remote_failure_rate
        Moving shares (0 to 1) of failed connects.
    """

    __slots__ = ("local_failure_rate", "remote_failure_rate")

    def __init__(self) -> None:
        self.local_failure_rate = 0.0
        self.remote_failure_rate = 0.0

    def observe_connect(self, local: bool, failed: bool, weight: float) -> None:
        """Record the result of a connect.

        A success has more weight than a failure, so that a zone with some servers down does not count as
        unreachable, and the recovery of a zone is detected at once.

        Parameters
        ----------
        local
            Whether the server is in the node's own zone.
        failed
            Whether the connect failed.
        weight
            The weight of one failure in the moving share, 0 to 1.
        """
        rate = self.local_failure_rate if local else self.remote_failure_rate
        rate = rate + weight * (1.0 - rate) if failed else rate * SUCCESS_DECAY
        if local:
            self.local_failure_rate = rate
        else:
            self.remote_failure_rate = rate

    @property
    def remote_unreachable(self) -> bool:
        """Whether connects to remote zones fail often, and far more often than local ones."""
        rate = self.remote_failure_rate
        return rate > UNREACHABLE_FAILURE_RATE and rate > UNREACHABLE_RATIO * self.local_failure_rate

    def remote_first_share(self, load_share: float) -> float:
        """Return the share (0 to 1) of requests that are sent to remote zones first.

        Parameters
        ----------
        load_share
            The share that load alone would send there.
        """
        if self.remote_unreachable:
            return (1.0 - MAX_DIVERTED_SHARE) * load_share
        rate = self.local_failure_rate
        if rate > UNREACHABLE_FAILURE_RATE and rate > UNREACHABLE_RATIO * self.remote_failure_rate:
            diverted = (rate - UNREACHABLE_FAILURE_RATE) / UNREACHABLE_FAILURE_RATE
            return max(load_share, min(MAX_DIVERTED_SHARE, diverted))
        return load_share
