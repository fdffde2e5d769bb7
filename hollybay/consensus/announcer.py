"""Announcement of decided epochs to voters and leaseholders."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from . import messages
from .core import EpochState
from .durable_acceptor import DurableAcceptor
from .environment import Environment
from .log_replica import LogReplica
from .outgoing_requests import PeerClient

__all__ = ["Announcer", "announcement"]

MAX_CONCURRENT_ANNOUNCEMENTS = 32
# Leaseholders without contact for this many lease and grace times are presumed gone and not notified.
RECENT_LEASES = 3


def announcement(state: EpochState, own_address: str) -> bytes:
    """Encode the notice of a decided epoch; its policies can be fetched from `own_address`."""
    return messages.encode(messages.DecidedNotice(messages.MESSAGE_VERSION, state, own_address))


class Announcer:
    """Announces epochs for one voter.

    Parameters
    ----------
    environment : Environment
    replica : LogReplica
    peers : PeerClient
    learn_as_voter_and_leaseholder : callable
        Passes an epoch to the voter and leaseholder of this process, with an address that has its policies.
    spawn : callable
        Starts a background task.
    """

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        peers: PeerClient,
        learn_as_voter_and_leaseholder: Callable[[EpochState, str], Coroutine[Any, Any, None]],
        spawn: Callable[[Coroutine[Any, Any, Any]], object],
    ) -> None:
        self.environment = environment
        self.replica = replica
        self.peers = peers
        self.learn_as_voter_and_leaseholder = learn_as_voter_and_leaseholder
        self.spawn = spawn
        self.own_address = environment.settings.address

    def announce(self, state: EpochState, acceptor: DurableAcceptor, voters: list[str] | None = None) -> None:
        """Notify voters, then leaseholders by most recent contact, of an epoch.

        Parameters
        ----------
        state : EpochState
        acceptor : DurableAcceptor
            The local acceptor, which knows the leaseholders.
        voters : list of str, optional
            The addresses of the voters; by default those of the epoch.
        """
        body = announcement(state, self.own_address)
        addresses = self._addresses(state, acceptor, voters)
        remaining = iter(addresses)

        async def notify_next() -> None:
            for address in remaining:
                await self.peers.reaches(address, "know", body)

        self.spawn(self.learn_as_voter_and_leaseholder(state, self.own_address))
        for _ in range(min(MAX_CONCURRENT_ANNOUNCEMENTS, len(addresses))):
            self.spawn(notify_next())

    def notify(self, address: str, state: EpochState) -> None:
        """Notify one process of an epoch."""
        self.spawn(self.peers.reaches(address, "know", announcement(state, self.own_address)))

    def _addresses(
        self, state: EpochState, acceptor: DurableAcceptor, voters: list[str] | None
    ) -> dict[str, None]:
        """The addresses to notify, in order: voters, then leaseholders that serve under an earlier epoch."""
        settings = self.environment.settings
        recent = self.environment.clock() - RECENT_LEASES * (settings.lease_ns + settings.grace_ns)
        members = sorted(acceptor.reports.members.values(), key=lambda member: -member.last_contact)
        addresses = dict.fromkeys(voters or self.replica.voter_addresses(state))
        addresses |= dict.fromkeys(
            member.address
            for member in members
            if member.last_contact > recent and member.serving_epoch < state.epoch
        )
        addresses.pop(self.own_address, None)
        return addresses
