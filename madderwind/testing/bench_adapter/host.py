"""Serves batches from standard input on standard output, for the balancer instances it hosts."""

from __future__ import annotations

from typing import BinaryIO, TextIO

from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.settings import SettingsError, read_settings
from madderwind.testing.bench_adapter.wire import (
    BatchReader,
    InstanceKilled,
    InstanceStarted,
    ReplyWriter,
    WireError,
    read_batch,
)


class Host:
    """Hosts one balancer per instance; the balancers share no state."""

    def __init__(self) -> None:
        self._reader = BatchReader()
        self._balancers: dict[int, Balancer] = {}

    def answer(self, number: int, count: int, clock_ms: float, body: bytes) -> bytes:
        """Process one batch and return the reply frame."""
        reply = ReplyWriter()
        killed: set[int] = set()
        for instance, item in self._reader.items(number, count, body):
            if isinstance(item, InstanceStarted):
                killed.discard(instance)
                self._balancers[instance] = Balancer(read_settings(item.setup), item.seed)
            elif isinstance(item, InstanceKilled):
                self._balancers.pop(instance, None)
                killed.add(instance)
            elif instance in self._balancers:
                try:
                    for action in self._balancers[instance].handle(clock_ms, item):
                        reply.add(instance, action)
                except Exception as error:  # the simulator expects the module's failures in the reply
                    reply.panic(instance, f"{type(error).__name__}: {error}")
            elif instance not in killed:
                raise WireError(
                    f"batch {number}: {type(item).__name__} for instance {instance}, which never started"
                )
        return reply.frame(number)


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Serve until the input ends and return 0; on an invalid input, print one line and return 1."""
    host = Host()
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(host.answer(*batch))
            sink.flush()
    except (WireError, SettingsError) as error:
        print(f"madderwind.testing.bench_adapter: {error}", file=errors)
        return 1
    return 0
