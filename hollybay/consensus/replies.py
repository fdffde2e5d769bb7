"""Construction of responses to requests."""

from __future__ import annotations

from collections.abc import Awaitable, Sequence

from hollybay.resources.model import ChangeRejectedError

from . import messages
from .errors import RejectedError
from .http_status import BAD_REQUEST, CONFLICT, INSUFFICIENT_STORAGE, OK, UNAVAILABLE, UNPROCESSABLE
from .interfaces import InvalidFileError, Response
from .reasons import NotPersisted
from .store import StoreError

__all__ = [
    "busy",
    "ok",
    "rejected",
    "respond",
]

# Requests for a change. Their rejections are conflicts with the policy in force (409, not 400).
CHANGING_PATHS = frozenset({"found", "propose", "drop", "draft"})


def ok(message: object, status: int = OK) -> Response:
    """A response that holds a message."""
    return Response(status, messages.encode(message))


def rejected(status: int, reason: str, problems: Sequence[str] | None = None) -> Response:
    """A response that rejects a request; problems: all problems found, if they are listed."""
    if problems is None:
        return ok({"refused": reason}, status)
    return ok({"refused": reason, "problems": problems}, status)


def busy(reason: str, seconds: float) -> Response:
    """A response that asks the client to repeat the request after some seconds."""
    return ok({"refused": reason, "retry_after_ms": max(1, int(1000 * seconds))}, UNAVAILABLE)


async def respond(path: str, work: Awaitable[Response]) -> Response:
    """The response to a request; errors that concern the client become responses, too."""
    try:
        return await work
    except InvalidFileError as error:
        return rejected(UNPROCESSABLE, "the file does not hold", error.problems)
    except ChangeRejectedError as error:
        return rejected(CONFLICT, str(error), [str(problem) for problem in error.problems])
    except RejectedError as error:
        return rejected(CONFLICT if path in CHANGING_PATHS else BAD_REQUEST, str(error))
    except StoreError as error:
        return rejected(INSUFFICIENT_STORAGE, str(NotPersisted(str(error))))
