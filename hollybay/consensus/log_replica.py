"""The local replica of the policy log, and the voters that its policies name."""

from __future__ import annotations

from collections.abc import Callable

from .core import EpochState, VoterSets, policies_named
from .environment import Environment, run_on_disk
from .errors import RejectedError
from .log import PolicyLog
from .log_entry import Entry
from .log_events import LogEvent
from .log_fetch import Fetcher, FetchResult
from .messages import voter_number
from .policy import PolicyVersion
from .store import StoreError

__all__ = ["LogReplica", "voter_set"]


def voter_set(policy: PolicyVersion) -> frozenset[int]:
    """The process numbers of a policy's voters."""
    return frozenset(voter_number(address) for address in policy.voters)


class LogReplica:
    """The policies that this process has; fetches missing ones from other processes.

    Parameters
    ----------
    environment : Environment
    log : PolicyLog
    fetcher : Fetcher
        Fetches entries from other processes.
    latest_epoch : callable
        Returns the latest epoch that the leaseholder knows; its voters are asked before other addresses.
    """

    def __init__(
        self,
        environment: Environment,
        log: PolicyLog,
        fetcher: Fetcher,
        latest_epoch: Callable[[], EpochState | None],
    ) -> None:
        self.environment = environment
        self.log = log
        self.fetcher = fetcher
        self.latest_epoch = latest_epoch
        self.own_address = environment.settings.address
        self.known_addresses: set[str] = set(environment.settings.voters)

    # Voters

    def voter_addresses(self, state: EpochState | None) -> list[str]:
        """The addresses of an epoch's voters; all known voter addresses if its policies are not here."""
        addresses: set[str] = set()
        for name in policies_named(state) if state is not None else ():
            policy = self.log.policy(name)
            addresses |= set(policy.voters) if policy is not None else set()
        return sorted(addresses or self.known_addresses)

    def other_voters(self, state: EpochState) -> list[str]:
        """The addresses of an epoch's voters, except this process."""
        return [address for address in self.voter_addresses(state) if address != self.own_address]

    def voter_sets(self, state: EpochState) -> VoterSets:
        """The voter sets of the policies that an epoch names, as far as the log holds them."""
        policies = [self.log.policy(name) for name in policies_named(state)]
        return tuple(voter_set(policy) for policy in policies if policy is not None)

    # Entries

    async def fetch(self, name: str, source: str) -> FetchResult:
        """Get a policy from the local log, else from `source`, else from any known voter."""
        voters = self.voter_addresses(self.latest_epoch())
        addresses = dict.fromkeys([source, *voters, *sorted(self.known_addresses)])
        return await self.fetcher.fetch(
            name, [address for address in addresses if address != self.own_address]
        )

    async def fetch_all(self, state: EpochState, source: str) -> bool:
        """Store the policies that an epoch names on disk; False if one of them could not be fetched.

        Raises
        ------
        StoreError
            A policy was fetched but could not be written.
        """
        for name in policies_named(state):
            fetched = await self.fetch(name, source)
            if fetched.problem is not None:
                raise StoreError(str(fetched.problem))
            if fetched.policy is None:
                return False
        return True

    async def store(self, policy: PolicyVersion) -> Entry:
        """Store a locally created policy on disk. StoreError: it could not be written."""
        return await run_on_disk(self.environment.disk, lambda: self.log.append(policy))

    async def read(self, name: str) -> PolicyVersion | None:
        """Read a policy with its changes from disk; None if it is not there."""
        return await run_on_disk(self.environment.disk, lambda: self.log.read_entry(name))

    async def prune(self, needed: set[str]) -> None:
        """Remove entries that are no longer needed; a disk error is logged."""
        try:
            await self.environment.disk(lambda: self.log.prune(needed))
        except StoreError as error:
            self.environment.data_plane.log_event(LogEvent.PRUNING_FAILED, error=str(error))

    def base(self, state: EpochState) -> Entry:
        """The entry of the policy in force, with its resources: the one that the next policy follows.

        Raises
        ------
        RejectedError
            The entry or its resources are not in the log.
        """
        entry = self.log.entry(state.policy)
        if entry is None or entry.state is None:
            raise RejectedError(f"{state.policy} or its resources are missing in the local log")
        return entry
