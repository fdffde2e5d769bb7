"""Administrative drains of servers on a running node, which are shared between its processes.

`hollybay.admin.administrative_drains` implements the drains; this module connects them to the request
dispatcher and to the drain file. Imported only with the admin service.
"""

from __future__ import annotations

import logging

from hollybay.admin.administrative_drains import AdministrativeDrains, DrainFileError
from hollybay.balancing.interface import ListKind, ServerId, ServerList, ServerState

from . import system
from .addresses import Address
from .discovery_list import DiscoveryUpdate
from .drain_file import DrainFile
from .request_dispatcher import RequestDispatcher

__all__ = ["DrainNotPersistedError", "ServerDrains", "UnknownServerError"]

log = logging.getLogger("hollybay.proxy")


class UnknownServerError(Exception):
    """The server is neither discovered nor drained."""


class DrainNotPersistedError(Exception):
    """The drain file cannot be written; no drain has changed."""


class ServerDrains:
    """The administrative drains of a node.

    Parameters
    ----------
    dispatcher
        Request dispatcher of the node, to which changes of servers are applied.
    drain_file
        File that the processes of the node share.

    Attributes
    ----------
    drains
        The discovered and the drained servers.
    """

    def __init__(self, dispatcher: RequestDispatcher, drain_file: DrainFile) -> None:
        self.dispatcher = dispatcher
        self.drain_file = drain_file
        self.drains = AdministrativeDrains()
        self._addresses: dict[str, Address] = {}  # of the discovered servers, by id

    def apply(self, update: DiscoveryUpdate) -> DiscoveryUpdate:
        """Record an update of discovery and return it with the drains applied."""
        if update.servers.kind != ListKind.CHANGES:
            self._addresses.clear()
        self._addresses.update(update.addresses)
        for server in update.servers.servers:
            if server.state == ServerState.GONE:
                self._addresses.pop(str(server.id), None)
        return DiscoveryUpdate(self.drains.update(update.servers), update.addresses)

    def set_drained(self, drained: set[ServerId]) -> None:
        """Drain exactly the given servers, without writing the file."""
        changed = self.drains.set_drained(drained, system.monotonic_ns())
        if changed:
            addresses = {str(server.id): self._addresses[str(server.id)] for server in changed}
            self.dispatcher.apply_update(DiscoveryUpdate(ServerList(ListKind.CHANGES, changed), addresses))

    def change(self, server_id: str, drained: bool) -> None:
        """Begin or end the drain of one server, here and in the other processes of the node.

        Raises
        ------
        UnknownServerError
            The server is neither discovered nor drained.
        DrainNotPersistedError
            The file cannot be written.
        """
        with self.drain_file.locked():
            self.read_file()
            if not self.drains.is_known(server_id):
                raise UnknownServerError(server_id)
            in_force = self.drains.drained
            wanted = in_force | {server_id} if drained else in_force - {server_id}
            if wanted == in_force:
                return
            # Written before it is applied, so that a confirmed drain also applies to the next process.
            try:
                self.drain_file.write(wanted)
            except OSError as error:
                log.error("administrative drains cannot be written: %s", error)
                raise DrainNotPersistedError(str(error)) from None
            self.set_drained(wanted)
            log.info("administrative drain %s: server=%s", "began" if drained else "ended", server_id)

    def read_file(self) -> None:
        """Apply the drain file if it has changed; an invalid file is logged and has no effect."""
        try:
            drained = self.drain_file.read_if_changed()
        except (OSError, DrainFileError) as error:
            log.error("drain file %s is ignored, the old drains stay: %s", self.drain_file.path, error)
            return
        if drained is not None:
            self.set_drained(set(drained))

    def describe(self) -> list[dict[str, object]]:
        """Return the state of each discovered or drained server as JSON objects."""
        server_ids = sorted({*self.drains.discovered, *self.drains.drained}, key=str)
        return [self._describe_server(server_id) for server_id in server_ids]

    def _describe_server(self, server_id: ServerId) -> dict[str, object]:
        server = self.drains.discovered.get(server_id)
        drained = server_id in self.drains.drained
        return {
            "id": str(server_id),
            "state": server.state.name if server is not None else "UNKNOWN",
            "disabled": drained,
            "avoided": drained or self.dispatcher.balancer.avoids(server_id),
        }
