"""Client of the voters for operators: polls of their status, uploads, and requests that take long."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, TypeVar

import msgspec

from .cluster_view import ClusterView, parse_history, parse_status
from .http_status import CONFLICT, UNAVAILABLE, UNPROCESSABLE
from .messages import CHUNK_BYTES, encode
from .policy import PolicyVersion
from .reasons import ReportedReason
from .requests import CallFailedError, fetch_policy
from .transfer import upload_calls
from .verdict import ExitStatus, InvalidInputError

__all__ = [
    "MAX_INLINE_BYTES",
    "POLL_INTERVAL_S",
    "Call",
    "FileArgument",
    "VoterClient",
    "invalid_input",
    "problems_in",
    "reason_in",
    "retry_after_s",
]

# Time between two polls of the outcome of a change.
POLL_INTERVAL_S = 0.05
# How long a long-running request is repeated.
LONG_CALL_LIMIT_S = 300.0
# Consecutive attempts at such a request without a response after which it fails.
MAX_UNANSWERED_ATTEMPTS = 5
# Upper limit for the time that a voter may ask a client to wait.
MAX_RETRY_AFTER_S = 60.0
# Longer files and changes are uploaded in chunks.
MAX_INLINE_BYTES = CHUNK_BYTES // 2
UPLOAD_ID_BYTES = 16

T = TypeVar("T")
# Sends a request, given address, path and body.
Call = Callable[[str, str, bytes | None], Awaitable[bytes]]


@dataclass(frozen=True, slots=True)
class FileArgument:
    """A file as an argument of a request.

    Parameters
    ----------
    text
        The file in base64; None if there is none or it was uploaded.
    upload
        The id under which the file was uploaded, or "".
    """

    text: str | None = None
    upload: str = ""


class VoterClient:
    """Sends requests of an operator to the voters, any of which may fail at any time.

    Parameters
    ----------
    call
        Sends a request, given address, path and body. CallFailedError: no response, or an error.
    addresses
        Addresses of the processes to poll first.
    on_update
        Called with the view after each refresh, if given.
    """

    def __init__(
        self,
        call: Call,
        addresses: Iterable[str],
        on_update: Callable[[ClusterView], None] | None = None,
    ) -> None:
        self.call = call
        self.addresses = list(dict.fromkeys(addresses))
        self.on_update = on_update
        self.view = ClusterView()

    async def refresh(self) -> ClusterView:
        """Poll all known processes, and the voters that they name."""
        view = self.view
        view.statuses = {}
        view.documents = {}
        polled: set[str] = set()
        while True:
            addresses = [address for address in self.addresses if address not in polled]
            if not addresses:
                break
            polled |= set(addresses)
            for address, document, status in await self._poll(addresses, "", parse_status):
                view.documents[address] = document
                view.statuses[address] = status
                self.addresses += [other for other in status.voter_addresses if other not in self.addresses]
        for _, _, history in await self._poll(list(view.voters), "history", parse_history):
            for record in history:
                view.epochs[record.epoch] = record
        if self.on_update is not None:
            self.on_update(view)
        return view

    async def _poll(
        self, addresses: list[str], path: str, parse: Callable[[object], T]
    ) -> list[tuple[str, Any, T]]:
        """Address, JSON document and parsed value of each response, in the order of the addresses."""

        async def poll(address: str) -> tuple[str, Any, T] | None:
            try:
                document = msgspec.json.decode(await self.call(address, path, None))
                return address, document, parse(document)
            except (CallFailedError, msgspec.DecodeError):
                return None

        answers = await asyncio.gather(*map(poll, addresses))
        return [answer for answer in answers if answer is not None]

    def voters_in_order(self, view: ClusterView) -> list[str]:
        """The voters that responded, those of the latest policy first, so most operators use the same one."""
        current = view.latest.voters if view.latest is not None else ()
        return sorted(view.voters, key=lambda address: (address not in current, address))

    async def fetch_policy(self, name: str) -> PolicyVersion | None:
        """A policy without its changes, from any process that has it."""
        return await fetch_policy(self.call, self.addresses, name)

    async def learn_voters(self, name: str) -> None:
        """Add the voters that a policy names to the view, if a process has the policy."""
        if name in self.view.voters_by_policy:
            return
        policy = await self.fetch_policy(name)
        if policy is not None:
            self.view.voters_by_policy[name] = list(policy.voters)

    async def file_argument(self, address: str, file: bytes | None) -> FileArgument:
        """Turn a file into an argument of a request to a voter; uploads it if it is long."""
        if file is None:
            return FileArgument()
        if len(file) <= MAX_INLINE_BYTES:
            return FileArgument(text=base64.b64encode(file).decode())
        return FileArgument(upload=await self.upload(address, file))

    async def upload(self, address: str, data: bytes) -> str:
        """Upload data that is too long for a request; returns its id. CallFailedError: a chunk failed."""
        upload_id = blake2b(data, digest_size=UPLOAD_ID_BYTES).hexdigest()
        for chunk in upload_calls(upload_id, data):
            await self.call(address, "upload", encode(chunk))
        return upload_id

    async def call_until_done(self, address: str, path: str, body: bytes) -> bytes:
        """Send a long-running request; repeats it while the voter works on it or does not respond."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LONG_CALL_LIMIT_S
        unanswered_attempts = 0
        while True:
            try:
                return await self.call(address, path, body)
            except CallFailedError as error:
                wait_s = retry_after_s(error)
                unanswered_attempts = unanswered_attempts + 1 if not error.status else 0
                may_retry = wait_s is not None or 0 < unanswered_attempts < MAX_UNANSWERED_ATTEMPTS
                if not may_retry or loop.time() > deadline:
                    raise
            await asyncio.sleep(wait_s or POLL_INTERVAL_S)


def _details(error: CallFailedError) -> dict[str, Any]:
    """The JSON object that a voter sent with an error; empty if it sent none."""
    try:
        details = msgspec.json.decode(str(error).encode("utf-8", "replace"))
    except msgspec.DecodeError:
        return {}
    return details if isinstance(details, dict) else {}


def reason_in(error: CallFailedError) -> str:
    """Why a voter rejected a request."""
    return str(_details(error).get("refused", error))


def retry_after_s(error: CallFailedError) -> float | None:
    """After how many seconds a voter asks for the request to be repeated; None if it does not."""
    wait_ms = _details(error).get("retry_after_ms")
    if not isinstance(wait_ms, int) or error.status != UNAVAILABLE:
        return None
    return min(MAX_RETRY_AFTER_S, max(0.0, wait_ms / 1000))


def problems_in(error: CallFailedError) -> list[ReportedReason]:
    """The problems that a voter listed with an error; the text of the error if it listed none."""
    problems = _details(error).get("problems")
    if not isinstance(problems, list):
        return [ReportedReason(str(error))]
    return [_reported(problem) for problem in problems]


def _reported(problem: object) -> ReportedReason:
    """Decode a problem from JSON: an array of resource, field and reason, or a text."""
    if isinstance(problem, list):
        return ReportedReason(": ".join(str(part) for part in problem if part))
    return ReportedReason(str(problem))


def invalid_input(error: CallFailedError) -> InvalidInputError:
    """The error to report to an operator whose input a voter rejected."""
    is_conflict = error.status in (CONFLICT, UNPROCESSABLE)
    status = ExitStatus.NOT_IN_FORCE if is_conflict else ExitStatus.BAD_INPUT
    problems = problems_in(error) if "problems" in _details(error) else ()
    return InvalidInputError(status, reason_in(error), problems)
