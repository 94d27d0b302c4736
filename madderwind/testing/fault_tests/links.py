"""The process of the connection relays: from some copies to all upstreams and to the discovery agents."""

from __future__ import annotations

import asyncio
import re

from madderwind.testing.fault_tests.part import RigProcess, run_process
from madderwind.testing.fault_tests.plan import DISCOVERY_HOST, Address
from madderwind.testing.fault_tests.relay import Relay, RelayedConnection
from madderwind.testing.fault_tests.scenario import LinkFault
from madderwind.testing.fault_tests.traces import ENDLESS_MS, AttemptTrace

TRACE_ID = re.compile(rb"\r\nx-trace-id: ([0-9a-f]+)\r\n", re.IGNORECASE)
NEVER_RAN = re.compile(rb"\r\nx-never-ran: 1\r\n", re.IGNORECASE)


class _Connection(RelayedConnection):
    """One connection of a copy, and the attempt in flight on it."""

    def __init__(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(link, reader, writer)
        self._link = link
        self._attempt: AttemptTrace | None = None
        self._accepted_ms = link.now_ms

    def wrote(self, piece: bytes) -> None:
        if self._attempt is None and (found := TRACE_ID.search(piece)):
            self._attempt = self._link.record_attempt(int(found[1], 16))

    def answered(self, piece: bytes) -> None:
        if self._attempt is not None:
            self._attempt.turned_away = NEVER_RAN.search(piece) is not None
        self.ended()

    def ended(self) -> None:
        if self._attempt is not None:
            self._attempt.ended_ms = self._link.now_ms
            self._attempt = None

    def may_connect(self) -> bool:
        """Not if the upstream's process was replaced since the connection was accepted."""
        return not self._link.restarted_since(self._accepted_ms)


class Link(Relay):
    """The relay from one copy to one upstream, or to its discovery agent."""

    def __init__(self, part: Links, copy: int, upstream: int, target: Address) -> None:
        super().__init__(part.plan.link(copy, upstream), target, part.plan.source(copy))
        self._part, self._copy, self._upstream = part, copy, upstream

    def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> RelayedConnection:
        return _Connection(self, reader, writer)

    @property
    def now_ms(self) -> float:
        return self._part.clock.now_ms

    def record_attempt(self, number: int) -> AttemptTrace:
        """Record the start of an attempt."""
        sent = AttemptTrace(self._copy, self._upstream, number, self.now_ms)
        self._part.seen.sent.append(sent)
        return sent

    def restarted_since(self, at_ms: float) -> bool:
        """Whether the upstream's process has been replaced since that time."""
        return any(at_ms < back_ms <= self.now_ms for back_ms in self._part.restarts.get(self._upstream, ()))


class Links(RigProcess):
    """The links of the copies of one shard."""

    async def start(self) -> None:
        plan = self.plan
        self.restarts = plan.starts_ms()
        self._links: dict[tuple[int, int], Link] = {}
        for copy in range(self.shard, plan.scenario.copies, plan.shards):
            for upstream in plan.upstreams():
                self._links[copy, upstream] = Link(self, copy, upstream, plan.upstream(upstream))
            self._links[copy, DISCOVERY_HOST] = Link(self, copy, DISCOVERY_HOST, plan.agents)
        for link in self._links.values():
            link.listen()

    def begin(self) -> None:
        self._turns = self.turns(LinkFault)
        self.at_edges(self._turns, self._apply_faults)

    def _apply_faults(self) -> None:
        """Apply the faults that are active now to the links; the latest begun takes effect on a link."""
        now_ms = self.clock.now_ms + 0.5  # a timer may fire slightly early
        states: dict[tuple[int, int], tuple[str, float]] = {}
        for turn in self._turns:
            fault = self.plan.scenario.faults[turn.fault]
            if not isinstance(fault, LinkFault) or not turn.on(now_ms):
                continue
            for copy in turn.copies:
                for end in (*turn.upstreams, *((DISCOVERY_HOST,) if fault.discovery else ())):
                    states[copy, end] = (fault.kind, fault.late_ms if fault.kind == "slow" else 0.0)
        for ends, link in self._links.items():
            link.be(*states.get(ends, ("", 0.0)))

    async def finish(self) -> None:
        """Mark attempts that are still in flight as having no observed end."""
        for sent in self.seen.sent:
            if sent.ended_ms > self.clock.now_ms:
                sent.ended_ms = ENDLESS_MS


if __name__ == "__main__":
    run_process(Links)
