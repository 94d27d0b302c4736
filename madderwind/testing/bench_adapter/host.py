"""The loop over standard input and output, and the instances it hosts."""

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
    """Keeps one balancer an instance; they share nothing."""

    def __init__(self) -> None:
        self._reader = BatchReader()
        self._balancers: dict[int, Balancer] = {}

    def answer(self, number: int, count: int, clock_ms: float, body: bytes) -> bytes:
        """The reply to one batch."""
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
                except Exception as error:  # the simulator wants the module's failure on its wire
                    reply.panic(instance, f"{type(error).__name__}: {error}")
            elif instance not in killed:
                raise WireError(
                    f"batch {number}: {type(item).__name__} for instance {instance}, which never started"
                )
        return reply.frame(number)


def main(source: BinaryIO, sink: BinaryIO, complaints: TextIO) -> int:
    """Serve until the input ends; 0 then, 1 after a plain line on what was wrong."""
    host = Host()
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(host.answer(*batch))
            sink.flush()
    except (WireError, SettingsError) as error:
        print(f"madderwind.testing.bench_adapter: {error}", file=complaints)
        return 1
    return 0
