"""Telling voters and leaseholders of a decided epoch."""

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
# A leaseholder that was last in contact longer ago than so many leases is taken for gone.
RECENT_LEASES = 3


def announcement(state: EpochState, own_address: str) -> bytes:
    """The body of the request that tells others of an epoch whose policies are to be had at an address."""
    return messages.encode(messages.DecidedNotice(messages.MESSAGE_VERSION, state, own_address))


class Announcer:
    """Announces epochs for one voter.

    Parameters
    ----------
    environment : Environment
    replica : LogReplica
    peers : PeerClient
    learn_as_voter_and_leaseholder : callable
        Lets this process itself learn of an epoch, from an address that has its policies.
    spawn : callable
        Starts a task.
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
        """Tell voters and leaseholders of an epoch, those first that were in contact last.

        Parameters
        ----------
        state : EpochState
        acceptor : DurableAcceptor
            The acceptor here, which knows the leaseholders.
        voters : list of str, optional
            The voters' addresses, where they are not those of the epoch.
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
        """Tell one process of an epoch."""
        self.spawn(self.peers.reaches(address, "know", announcement(state, self.own_address)))

    def _addresses(
        self, state: EpochState, acceptor: DurableAcceptor, voters: list[str] | None
    ) -> dict[str, None]:
        """Whom to tell, in order: voters, and leaseholders that serve under an epoch before."""
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
