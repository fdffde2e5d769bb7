"""Accounts: what a node counts, and what each count must equal.

A count that is kept by additions and subtractions stays wrong if one of them is missed, and what it limits is
then too small or too large until the process ends. `ACCOUNTS` lists these counts. Each is compared with a
value that is derived anew from the objects that it stands for, so that the two agree only if every change was
counted. Nothing here is called on the way of a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from .downstream.states import READING_STATES
from .pending_request import FINISHED, PendingRequest
from .request_ids import NOT_CLAIMED
from .upstream.attempt import UpstreamAttempt
from .upstream.connection import ServerConnection

if TYPE_CHECKING:
    from .downstream.connection import ClientConnection
    from .downstream.listener import ClientListener
    from .request_dispatcher import RequestDispatcher

__all__ = ["ACCOUNTS", "Account", "AccountedNode", "Balance", "Discrepancy", "DiscrepancyTracker", "balances"]

MAX_ENTRIES_SHOWN = 5


class AccountedNode(Protocol):
    """The parts of a node that keep accounts."""

    @property
    def clients(self) -> ClientListener:
        """Downstream side of the node."""

    @property
    def dispatcher(self) -> RequestDispatcher:
        """Request dispatcher of the node, with its connections to servers."""


@dataclass(frozen=True, slots=True)
class Balance:
    """An account at one moment.

    Attributes
    ----------
    counted
        What the node counts.
    expected
        What the count must equal.
    wrong
        Entries that were counted and should not be, or the other way round, if they can be told; all of them
        for an account that lags.
    """

    counted: int
    expected: int
    wrong: Sequence[object] = ()


@dataclass(frozen=True, slots=True)
class Account:
    """A count that the node keeps.

    Attributes
    ----------
    name
        Its name, for operators and in reports.
    must_equal
        What it must equal, in words.
    balance
        Returns its balance for a node.
    lags
        Whether entries may be wrong for a moment, as the event loop calls back later about what has ended.
    """

    name: str
    must_equal: str
    balance: Callable[[AccountedNode], Balance]
    lags: bool = False


@dataclass(frozen=True, slots=True)
class Discrepancy:
    """An account whose values differ."""

    account: str
    counted: int
    expected: int
    entries: tuple[str, ...] = ()

    def __str__(self) -> str:
        shown = f": {', '.join(self.entries)}" if self.entries else ""
        return f"{self.account}: counted {self.counted}, expected {self.expected}{shown}"


def _describe(entry: object) -> str:
    match entry:
        case ServerConnection():
            return f"connection to {entry.endpoint.id}"
        case UpstreamAttempt():
            return f"attempt at {entry.server}"
        case PendingRequest():
            return f"request {entry.id}"
        case int():
            return str(entry)
        case _:
            return type(entry).__name__


def _of_entries(entries: Iterable[object], is_right: Callable[[Any], bool]) -> Balance:
    """Return the balance of a collection all of whose entries must meet a condition."""
    known = list(entries)
    wrong = [entry for entry in known if not is_right(entry)]
    return Balance(len(known), len(known) - len(wrong), wrong)


def _is_open(connection: Any) -> bool:
    return not connection.transport.is_closing()


def _client_connections(node: AccountedNode) -> Balance:
    return _of_entries(node.clients.connections, _is_open)


def _client_phases(node: AccountedNode) -> Balance:
    clients = node.clients
    phases = (clients.silent, clients.unfinished, clients.idle, clients.writing, clients.ending)
    listed = [connection for phase in phases for connection in phase]
    in_phase = [connection for connection in clients.connections if connection.phase is not None]
    return Balance(len(listed), len(in_phase), [*set(listed).symmetric_difference(in_phase)])


def _parse_turns(node: AccountedNode) -> Balance:
    connections = (*node.clients.connections, *node.dispatcher.pools.connections)
    waiting = [connection for connection in connections if connection.is_waiting_for_turn]
    return Balance(len(node.clients.parse_turns), len(waiting))


def _body_bytes(node: AccountedNode) -> Balance:
    budget = node.clients.body_budget
    held = {reader: size for reader, size in budget.charged.items() if reader in node.clients.connections}
    wrong = [reader for reader in budget.charged if reader not in held]
    return Balance(budget.used, sum(held.values()), wrong)


def _streamed_body_bytes(node: AccountedNode) -> Balance:
    bodies = (connection.streaming_body for connection in node.clients.connections)
    return Balance(
        node.clients.streaming_budget.used, sum(body.reserved_bytes for body in bodies if body is not None)
    )


def _memory(node: AccountedNode) -> Balance:
    memory = node.clients.memory
    open_connections = (*node.clients.connections, *node.dispatcher.pools.connections)
    open_accounts = {connection.account for connection in open_connections}
    bodies = node.clients.body_budget.used + node.clients.streaming_budget.used
    expected = bodies + sum(account.charged for account in open_accounts)
    return Balance(memory.used, expected, [*memory.accounts.symmetric_difference(open_accounts)])


def _limited_requests(node: AccountedNode) -> Balance:
    admission = node.clients.admission
    if admission is None:
        return Balance(0, 0)
    counted = sum(counters.in_flight for counters in admission.counters.values())
    requests = (connection.request for connection in node.clients.connections)
    return Balance(counted, sum(one is not None and one.counted_limits is not None for one in requests))


def _requests(node: AccountedNode) -> Balance:
    requests = node.dispatcher.requests.values()
    return _of_entries(requests, lambda request: request.state is not FINISHED or request.in_flight > 0)


def _unfinished_requests(node: AccountedNode) -> Balance:
    requests = node.dispatcher.requests.values()
    unfinished = sum(request.state is not FINISHED for request in requests)
    return Balance(node.dispatcher.unfinished_requests, unfinished)


def _attempts(node: AccountedNode) -> Balance:
    requests = node.dispatcher.requests.values()
    open_attempts = sum(
        attempt is not None and attempt.result is None for request in requests for attempt in request.attempts
    )
    return Balance(sum(request.in_flight for request in requests), open_attempts)


def _is_claim_pending(connection: ClientConnection) -> bool:
    """Whether the connection reads a request that has claimed its id and was not submitted yet."""
    request = connection.request
    if request is None or connection.state not in READING_STATES or connection.transport.is_closing():
        return False
    return request.claimed_id != NOT_CLAIMED


def _request_ids(node: AccountedNode) -> Balance:
    expected = [
        request.claimed_id
        for request in node.dispatcher.requests.values()
        if request.claimed_id != NOT_CLAIMED
    ]
    for connection in node.clients.connections:
        if connection.request is not None and _is_claim_pending(connection):
            expected.append(connection.request.claimed_id)
    known = node.dispatcher.request_ids.open
    return Balance(len(known), len(expected), [*known.symmetric_difference(expected)])


def _server_connections(node: AccountedNode) -> Balance:
    return _of_entries(node.dispatcher.pools.connections, _is_open)


def _opening_connections(node: AccountedNode) -> Balance:
    return _of_entries(
        node.dispatcher.pools.opening,
        lambda attempt: attempt.connecting is not None and not attempt.connecting.done(),
    )


def _idle_connections(node: AccountedNode) -> Balance:
    pools = node.dispatcher.pools
    idle = [one for one in pools.connections if one in one.endpoint.idle]
    return Balance(len(pools.idle_since), len(idle), [*set(pools.idle_since).symmetric_difference(idle)])


ACCOUNTS: tuple[Account, ...] = (
    Account("client_connections", "connections from clients that are open", _client_connections, lags=True),
    Account("client_phases", "connections from clients that are in a phase", _client_phases),
    Account("parse_turns", "connections that wait for their turn", _parse_turns),
    Account("body_bytes", "bytes of buffered bodies of open connections", _body_bytes, lags=True),
    Account("streamed_body_bytes", "bytes reserved by bodies of open connections", _streamed_body_bytes),
    Account("memory", "bytes charged to open connections and for bodies", _memory, lags=True),
    Account("limited_requests", "requests that limits of the operator file count", _limited_requests),
    Account("requests", "requests without final response, or with attempts in flight", _requests),
    Account("unfinished_requests", "requests without final response", _unfinished_requests),
    Account("attempts", "attempts without a result", _attempts),
    Account("request_ids", "ids of requests that are open", _request_ids, lags=True),
    Account("server_connections", "connections to servers that are open", _server_connections, lags=True),
    Account("opening_connections", "connects that are under way", _opening_connections, lags=True),
    Account("idle_connections", "connections to servers that are in an idle list", _idle_connections),
)


def balances(node: AccountedNode) -> dict[Account, Balance]:
    """Return the balance of each account."""
    return {account: account.balance(node) for account in ACCOUNTS}


class DiscrepancyTracker:
    """Reports each account whose values differ, once for as long as they do.

    Parameters
    ----------
    tolerance_s
        For how long an entry of an account that lags may be wrong before the account is reported.
    """

    def __init__(self, tolerance_s: float) -> None:
        self.tolerance_s = tolerance_s
        # Of each account that lags: its wrong entries, and the time (s) at which each was first seen.
        self._wrong_since: dict[str, dict[object, float]] = {}
        self._reported: set[str] = set()

    def check(self, node: AccountedNode, now: float) -> list[Discrepancy]:
        """Return the accounts that are to be reported at a monotonic time (s)."""
        found = []
        for account, balance in balances(node).items():
            if not self._differs(account, balance, now):
                self._reported.discard(account.name)
            elif account.name not in self._reported:
                self._reported.add(account.name)
                entries = tuple(_describe(entry) for entry in balance.wrong[:MAX_ENTRIES_SHOWN])
                found.append(Discrepancy(account.name, balance.counted, balance.expected, entries))
        return found

    def _differs(self, account: Account, balance: Balance, now: float) -> bool:
        """Whether the values differ, and have done so for longer than the account may lag."""
        if not account.lags or not balance.wrong:
            return balance.counted != balance.expected
        known = self._wrong_since.get(account.name, {})
        since = {entry: known.get(entry, now) for entry in balance.wrong}
        self._wrong_since[account.name] = since
        return any(now - first_seen >= self.tolerance_s for first_seen in since.values())
