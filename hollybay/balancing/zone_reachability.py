"""Which zones are reachable, judged by how connects end: sooner than discovery reports a lost zone."""

from __future__ import annotations

__all__ = ["ZoneReachability"]

# The share of failed connects above which a zone is taken for unreachable.
UNREACHABLE_FAILURE_RATE = 0.25
# The largest share of traffic diverted from an unreachable zone; the rest finds out when it is back.
MAX_DIVERTED_SHARE = 0.95
# What one successful connect leaves of the share of failed ones.
SUCCESS_DECAY = 0.8
# A zone is unreachable only if its share of failed connects is this many times that of the other zones.
UNREACHABLE_RATIO = 2.0


class ZoneReachability:
    """The share of connects that fail, for the node's own zone (local) and for all others (remote).

    A single server that is down shows in its own failure rate. When a whole zone goes, a node with few
    requests meets each of the zone's servers only once in seconds, and would try one after another.
    Where many servers of a zone fail at once and its others could carry the load, traffic crosses in vain.

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
        """Record how a connect ended.

        A success weighs more than a failure, so that a zone with some servers down is not taken for
        unreachable, and one that comes back is seen at once.

        Parameters
        ----------
        local
            Whether it went to the node's own zone.
        failed
            Whether it failed.
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
        """Whether sending requests to other zones is useless."""
        rate = self.remote_failure_rate
        return rate > UNREACHABLE_FAILURE_RATE and rate > UNREACHABLE_RATIO * self.local_failure_rate

    def remote_first_share(self, load_share: float) -> float:
        """Return the share (0 to 1) of requests that try remote zones first.

        Parameters
        ----------
        load_share
            The share that would go there by load alone.
        """
        if self.remote_unreachable:
            return (1.0 - MAX_DIVERTED_SHARE) * load_share
        rate = self.local_failure_rate
        if rate > UNREACHABLE_FAILURE_RATE and rate > UNREACHABLE_RATIO * self.remote_failure_rate:
            diverted = (rate - UNREACHABLE_FAILURE_RATE) / UNREACHABLE_FAILURE_RATE
            return max(load_share, min(MAX_DIVERTED_SHARE, diverted))
        return load_share
