"""Client request: its head, its class, and the limits of the operator file that apply to it."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, cast

import h11

from hollybay.balancing import interface as api
from hollybay.units import MS, SECOND

from ..config import Config
from ..http_messages import ForwardedRequest, end_to_end_headers, lowercase_headers, names_not_forwarded
from ..interfaces import PolicyAgreement
from ..message_limits import MAX_BODY_BYTES, MAX_HELD_BODY_BYTES
from ..request_ids import NOT_CLAIMED
from ..streaming_body import StreamingBody
from .request_validation import RequestProblem, class_index_of, is_health_check, validate_head

if TYPE_CHECKING:
    # Imported at run time only by nodes with an operator file.
    from hollybay.routing.admission_control import AdmissionControl
    from hollybay.routing.compiled_policy import Rejection
    from hollybay.routing.limits import EffectiveLimits

__all__ = ["MIN_BODY_BYTES_PER_S", "ClientRequest"]

# Minimum rate of a request body. A slower body would occupy a descriptor, and also a connection to a server
# if it is streamed.
MIN_BODY_BYTES_PER_S = 48_000
# Maximum time for the rest of a streamed body, whatever its length.
MAX_UPLOAD_TIME_NS = 30 * SECOND
MAX_HINT_DIGITS = 9  # of X-Weight-Hint
COST_PER_HINT = 1000

# Headers that are not forwarded: they are meant for the node only, or the node writes its own.
_NOT_FORWARDED = names_not_forwarded(
    (
        b"x-account",
        b"x-session-key",
        b"x-time-left-ms",
        b"x-repeat",
        b"x-weight-hint",
        b"x-facts",
    )
)


class ClientRequest:
    """A request of a client.

    Parameters
    ----------
    event
        Head of the request.

    Attributes
    ----------
    headers
        All headers, with names in lower case.
    values
        One value of each header.
    body
        Parts of the body that are buffered; see `body_blocks`.
    size
        Number of bytes of the body that were read.
    class_index
        Index of the class in the settings.
    time_left
        How long (ns) the client waits for its response.
    limits
        Limits of the operator file; None if it sets none.
    counted_limits
        Limits under which admission control counts the request as in flight; None if it does not.
    max_body
        Length (bytes) of the longest body that is accepted.
    claimed_id
        Number of its id in `RequestIds`, until the dispatcher has the request.
    is_policy_known
        Whether the node knows which policy is in force; if not, the request must not be forwarded.
    """

    __slots__ = (
        "body",
        "claimed_id",
        "class_index",
        "counted_limits",
        "event",
        "headers",
        "is_policy_known",
        "limits",
        "max_body",
        "size",
        "time_left",
        "values",
    )

    def __init__(self, event: h11.Request) -> None:
        self.event = event
        self.headers = lowercase_headers(event)
        self.values = dict(self.headers)
        self.body: list[bytes | bytearray] = []
        self.size = 0
        self.class_index = 0
        self.time_left = 0
        self.limits: EffectiveLimits | None = None
        self.counted_limits: EffectiveLimits | None = None
        self.max_body = MAX_BODY_BYTES
        self.claimed_id = NOT_CLAIMED
        self.is_policy_known = True

    def resolve(
        self, config: Config, admission: AdmissionControl | None, agreement: PolicyAgreement | None
    ) -> RequestProblem | None:
        """Find the class and limits of the request, and validate its head.

        Parameters
        ----------
        config
            Configuration of the node.
        admission
            Admission control by the operator file; None without an operator file.
        agreement
            Tells whether its policy is in force at all nodes; None if nodes do not replicate the policy.

        Returns
        -------
        RequestProblem or None
            Why the request is rejected; None if it is valid.
        """
        if admission is None:
            class_index = class_index_of(self.event.target, config.names)
            problem = validate_head(
                self.event, self.headers, self.values, config, class_index, MAX_BODY_BYTES
            )
        else:
            self.is_policy_known = agreement is None or agreement.begin_request()
            class_index, problem = self._resolve_with_policy(config, admission)
        if problem is None and class_index is not None:
            self.class_index = class_index
            self.time_left = self._find_time_left(config.settings.classes[class_index].deadline)
        return problem

    def _resolve_with_policy(
        self, config: Config, admission: AdmissionControl
    ) -> tuple[int | None, RequestProblem | None]:
        """Find the class by the policy of the operator file, and set the limits."""
        target, policy = self.event.target, admission.policy
        inspected = policy.inspected_headers
        if is_health_check(target):
            return None, self._validate(config, None, MAX_HELD_BODY_BYTES, inspected)
        if not self.is_policy_known:
            # Validated without a policy; it is rejected once it is complete, and never forwarded.
            class_index = class_index_of(target, config.names)
            return class_index, self._validate(config, class_index, MAX_BODY_BYTES, inspected)
        resolved = policy.resolve(self.event.method, target, self.values)
        if resolved is None:
            return None, self._validate(config, None, MAX_HELD_BODY_BYTES, inspected)
        if resolved.class_index < 0:
            rejection = cast("Rejection", resolved)
            return None, RequestProblem(rejection.status, rejection.reason)
        limits = self.limits = cast("EffectiveLimits", resolved)
        if limits.max_body >= 0:
            self.max_body = limits.max_body
        problem = self._validate(config, limits.class_index, self.max_body, inspected)
        return limits.class_index, problem

    def _validate(
        self,
        config: Config,
        class_index: int | None,
        max_body: int,
        inspected_headers: frozenset[bytes],
    ) -> RequestProblem | None:
        return validate_head(
            self.event, self.headers, self.values, config, class_index, max_body, inspected_headers
        )

    def _find_time_left(self, deadline: int) -> int:
        stated = self.values.get(b"x-time-left-ms")
        time_left = deadline if stated is None else int(stated) * MS
        if self.limits is not None and self.limits.request_timeout:
            return min(time_left, self.limits.request_timeout)
        return time_left

    @property
    def path(self) -> bytes:
        """The target without its query string."""
        return self.event.target.split(b"?", 1)[0]

    @property
    def is_head(self) -> bool:
        """Whether it is a HEAD request, whose response has no body."""
        return self.event.method == b"HEAD"

    @property
    def content_length(self) -> int | None:
        """Length (bytes) of the body; None if not stated."""
        length = self.values.get(b"content-length")
        return None if length is None else int(length)

    @property
    def account(self) -> str:
        """Name of the tenant; empty if not stated."""
        return self.values.get(b"x-account", b"").decode("latin-1")

    @property
    def session_hash(self) -> int:
        """Hash of the session key, the same at all nodes and after restarts; 0 if it has none."""
        key = self.values.get(b"x-session-key", b"")
        return int.from_bytes(blake2b(key, digest_size=8).digest(), "little") or 1 if key else 0

    @property
    def cost(self) -> int:
        """The cost that the client expects, in the balancer's unit; 0 if not stated."""
        hint = self.values.get(b"x-weight-hint", b"").strip()
        return int(hint) * COST_PER_HINT if hint.isdigit() and len(hint) <= MAX_HINT_DIGITS else 0

    @property
    def is_repeat(self) -> bool:
        """Whether the client marks it as a retry."""
        return self.values.get(b"x-repeat", b"").strip() == b"1"

    def message(self, host: bytes, streaming_body: StreamingBody | None) -> ForwardedRequest:
        """Return the request as it is forwarded.

        Parameters
        ----------
        host
            Value of the Host header if the client sent none.
        streaming_body
            The streamed body; None if the body is complete.
        """
        headers = end_to_end_headers(self.headers, _NOT_FORWARDED)
        if b"host" not in self.values:
            headers.append((b"host", host))
        return ForwardedRequest(
            self.event.method, self.event.target, headers, self.body, self.size, streaming_body
        )

    def balancer_event(
        self, time_left: int, tenant: int, queued_time: int, body_pending: bool
    ) -> api.Request:
        """Return the balancer's event for the request, whose number the dispatcher sets.

        Parameters are as in `api.Request`.
        """
        return api.Request(
            0,
            self.class_index,
            time_left,
            tenant,
            self.session_hash,
            self.cost,
            self.is_repeat,
            queued_time,
            self.limits.balancer_limits if self.limits is not None else None,
            body_pending=body_pending,
        )

    def remaining_body_time(self, streaming_body: StreamingBody) -> int:
        """Return the time limit (ns) for the rest of a streamed body; the client's wait begins after it."""
        if streaming_body.length is None:
            return MAX_UPLOAD_TIME_NS
        return min(MAX_UPLOAD_TIME_NS, (streaming_body.length - self.size) * SECOND // MIN_BODY_BYTES_PER_S)
