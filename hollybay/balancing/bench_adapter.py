"""Hosts balancers behind the wire protocol of the platform's simulator (the bench), which starts it.

It makes no decisions. Nodes on sockets do not speak this protocol, and discovery uses another one.
"""

from __future__ import annotations

import gc
import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

from . import bench_wire as wire
from .balancer import Balancer
from .bench_codec import EventDecoder, EventRecord, Start, encode_action, encode_text
from .interface import Settings
from .settings_parser import parse_settings

__all__ = ["BalancerHost", "main", "serve"]


class BalancerHost:
    """Hosts the balancers of one process, and replies to batches of events.

    Parameters
    ----------
    create_balancer
        Creates a balancer from settings, a seed and the time (ns).

    Attributes
    ----------
    instances
        Balancers by the number that the simulator assigned to them.
    """

    def __init__(self, create_balancer: Callable[[Settings, int, int], Balancer] = Balancer) -> None:
        self.create_balancer = create_balancer
        self.instances: dict[int, Balancer] = {}
        self.decoder = EventDecoder()

    def reply(self, batch: wire.Batch) -> bytes:
        """Pass a batch's events to their instances in order, and return the reply frame.

        Raises
        ------
        WireError
            If a record is malformed.
        """
        records: list[bytes] = []
        tail = bytearray()
        for offset in range(0, len(batch.records), wire.EVENT_SIZE):
            try:
                event = self.decoder.decode(batch.records, offset, batch)
            except KeyError as error:
                raise wire.WireError(f"malformed record at byte {offset}: unknown value {error}") from None
            try:
                self._apply(event, batch.now, records, tail)
            except Exception:
                records.append(encode_text(wire.BUG, event.instance, traceback.format_exc(), tail))
        return wire.write_reply(batch.number, records, bytes(tail))

    def _apply(self, event: EventRecord, now: int, records: list[bytes], tail: bytearray) -> None:
        """Start or stop an instance, or pass it an event and append the records of its actions."""
        if event.code == wire.RETIRE:
            self.instances.pop(event.instance, None)
            return
        content = event.content
        if isinstance(content, Start):
            self.instances[event.instance] = self.create_balancer(
                parse_settings(content.settings), content.seed, now
            )
            return
        instance = self.instances.get(event.instance)
        if instance is None or content is None:
            return
        for action in instance.handle(now, content):
            records.append(encode_action(event.instance, action, tail))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends."""
    host = BalancerHost()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(host.reply(batch))
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output: 0 at a clean end of input, 1 after a malformed frame."""
    # Reference counting frees all objects of the decision module; the cyclic collector would only cost CPU.
    gc.disable()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
