"""GET requests: status, log entries, the history of epochs, outcomes of changes, and policy differences."""

from __future__ import annotations

from collections.abc import Callable

from . import messages
from .change_builder import format_operations, operations_to_match
from .environment import Environment, run_on_disk
from .http_status import NOT_FOUND, OK
from .interfaces import Response
from .log import LogTruncatedError
from .log_entry import is_policy_name
from .log_fetch import LOG_TRUNCATED_STATUS
from .log_replica import LogReplica
from .log_server import LogServer
from .messages import stage_label
from .proposals import Proposals
from .replies import ok, rejected
from .voter import Voter

__all__ = ["Queries"]

CHUNKED_KINDS = frozenset({"since", "snapshot", "draft"})


class Queries:
    """Handles requests that only read state.

    Parameters
    ----------
    environment : Environment
    replica : LogReplica
    voter : Voter
    proposals : Proposals
    log_server : LogServer
    status : callable
        Returns the status of this process.
    """

    def __init__(
        self,
        environment: Environment,
        replica: LogReplica,
        voter: Voter,
        proposals: Proposals,
        log_server: LogServer,
        status: Callable[[], dict[str, object]],
    ) -> None:
        self.environment = environment
        self.replica = replica
        self.log = replica.log
        self.voter = voter
        self.proposals = proposals
        self.log_server = log_server
        self.status = status

    async def answer(self, path: str) -> Response:
        """Handle a request, given its path below /-/policy/."""
        if path == "":
            return ok(self.status())
        if path == "tell":
            return self.voter.knowledge()
        if path == "history":
            return self._history()
        kind, _, name = path.partition("/")
        if kind == "entry" and is_policy_name(name):
            return self._entry(name)
        if kind == "change":
            return ok(self.proposals.change_status(name, self.voter.require_acceptor()))
        if kind == "diff":
            return await self._difference(name)
        if kind in CHUNKED_KINDS:
            return await self._chunk(path)
        return rejected(NOT_FOUND, "no such call")

    def _entry(self, name: str) -> Response:
        policy = self.log.policy(name)
        if policy is None:
            return rejected(NOT_FOUND, f"no policy {name} here")
        return Response(OK, messages.policy_to_text(policy).encode())

    async def _chunk(self, path: str) -> Response:
        try:
            chunk = await self.log_server.chunk(path)
        except LogTruncatedError as error:
            return rejected(LOG_TRUNCATED_STATUS, str(error))
        return ok(chunk) if chunk is not None else rejected(NOT_FOUND, "no such call")

    async def _difference(self, names: str) -> Response:
        """The differences between two policies (diff/NAME/NAME) as human-readable lines."""
        old_name, _, new_name = names.partition("/")
        before, after = self.log.state(old_name), self.log.state(new_name)
        old, new = self.log.policy(old_name), self.log.policy(new_name)
        if before is None or after is None or old is None or new is None:
            return rejected(NOT_FOUND, f"not both of {old_name} and {new_name} are kept here")
        lines = await run_on_disk(
            self.environment.disk, lambda: format_operations(before, operations_to_match(before, after))
        )
        removed = [f"-keeper {address}" for address in old.voters if address not in new.voters]
        added = [f"+keeper {address}" for address in new.voters if address not in old.voters]
        return ok([*lines, *removed, *added])

    def _history(self) -> Response:
        acceptor = self.voter.acceptor
        entries = acceptor.history if acceptor is not None else []
        return ok([self._history_line(entry) for entry in entries])

    def _history_line(self, entry: messages.HistoryEntry) -> dict[str, object]:
        state = entry.state
        line: dict[str, object] = {
            "epoch": state.epoch,
            "stage": stage_label(state.stage),
            "policy": state.policy,
            "new": state.new,
            "at": entry.learned_at,
        }
        policy = self.log.policy(state.new or state.policy)
        if policy is not None:
            line |= {"reason": policy.reason, "author": policy.author}
        return line
