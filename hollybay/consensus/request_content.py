"""Content of operators' requests: files, uploads, changes, and resources of an earlier policy."""

from __future__ import annotations

import base64

from hollybay.resources.model import Change, Operation
from hollybay.resources.state import ResourceState

from . import messages
from .change_builder import operations_to_match
from .environment import Environment, run_on_disk
from .errors import RejectedError
from .interfaces import OperatorFileChanges
from .log_replica import LogReplica
from .transfer import Uploads

__all__ = ["RequestContent"]


class RequestContent:
    """Reads the content that requests carry or refer to."""

    def __init__(self, environment: Environment, replica: LogReplica, uploads: Uploads) -> None:
        self.environment = environment
        self.replica = replica
        self.uploads = uploads

    def file(self, file: str, upload: str) -> bytes:
        """The operator file in a request: in base64, or uploaded before."""
        if upload:
            return self.uploads.content(upload)
        try:
            return base64.b64decode(file, validate=True)
        except ValueError as error:
            raise RejectedError(f"file: {error}") from None

    async def read_file(self, file: str, upload: str, state: ResourceState) -> OperatorFileChanges:
        """The differences between an operator file and resources. InvalidFileError: the file is invalid."""
        return await self.environment.data_plane.read_operator_file(self.file(file, upload), state)

    async def change(self, change: str, upload: str) -> Change:
        """The change in a request: in base64, or uploaded before."""
        if not upload:
            return messages.change_from_text(change)
        complete = self.uploads.content(upload)
        return await run_on_disk(self.environment.disk, lambda: messages.change_from_bytes(complete))

    async def operations_to_match(self, state: ResourceState, name: str) -> tuple[Operation, ...]:
        """The operations that restore the resources of an earlier policy."""
        wanted = self.replica.log.state(name)
        if wanted is None:
            raise RejectedError(f"like: the resources after {name} are not kept here")
        return await run_on_disk(self.environment.disk, lambda: operations_to_match(state, wanted))
