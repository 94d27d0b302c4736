"""The process of the stand-in upstreams: the simulation's upstream model behind sockets."""

from __future__ import annotations

import asyncio

from madderwind.standalone.policy.api import Outcome
from madderwind.testing.fault_tests.part import RigProcess, run_process
from madderwind.testing.fault_tests.plan import Plan, copy_of
from madderwind.testing.fault_tests.scenario import UpstreamFault
from madderwind.testing.fault_tests.schedule import FaultOccurrence, zone_of
from madderwind.testing.fault_tests.traces import OverloadTrace, UpstreamTrace
from madderwind.testing.fault_tests.wire import Message, answer, read_message
from madderwind.testing.simulation import experiment as lab
from madderwind.testing.simulation.upstream import LONG_AGO_MS, Job, Upstream

OVERLOAD_RESTART_S = 1.0  # delay until an upstream that crashed from overload restarts
STATUS = {Outcome.OK: 200, Outcome.ERROR: 500, Outcome.FULL: 503}


class _PendingRequest(Job):
    """A request at an upstream, with the connection for its answer."""

    __slots__ = ("ran", "writer")

    def __init__(self, ran: UpstreamTrace, writer: asyncio.StreamWriter) -> None:
        super().__init__(0, 0.0, self._reply)
        self.ran, self.writer = ran, writer

    def _reply(self, outcome: Outcome) -> None:
        self.ran.outcome = outcome.name.lower()
        if outcome not in STATUS:
            self.writer.transport.abort()
            return
        body = f'{{"number":{self.ran.number},"upstream":{self.ran.upstream}}}'.encode()
        if outcome is Outcome.FULL:
            self.writer.write(answer(503, body, X_Never_Ran="1"))
        else:
            self.writer.write(answer(STATUS[outcome], body))


class UpstreamStandIns(RigProcess):
    """All stand-in upstreams; implements `Surroundings` of the simulation's model."""

    def __init__(self, plan: Plan, shard: int) -> None:
        super().__init__(plan, shard)
        scenario, model = self.plan.scenario, self.plan.scenario.upstreams
        self.seed, self.timeline, self.checker = self.plan.schedule.seed, self.clock, self
        self.experiment = lab.Experiment(
            name=scenario.name,
            question=scenario.question,
            tiers=(
                lab.Tier(
                    upstreams=len(self.plan.upstreams()),
                    cores=model.cores,
                    work_ms=model.work_ms,
                    work=model.work,
                    queue=model.queue,
                ),
            ),
            load=lab.Load(per_s=0),
            rules=lab.Rules(
                start_capacity=scenario.rules.start_capacity,
                warm_after_ms=scenario.rules.warm_after_ms,
                fall_multiple=scenario.rules.fall_multiple,
                fall_ms=scenario.rules.fall_ms,
            ),
        )
        self._open: dict[int, set[asyncio.StreamWriter]] = {u: set() for u in self.plan.upstreams()}

    async def start(self) -> None:
        self._upstreams = [
            Upstream(self, 0, u, 1.0, zone_of(u, self.plan.scenario), LONG_AGO_MS)
            for u in self.plan.upstreams()
        ]
        self._servers: dict[int, asyncio.Server] = {}
        for upstream in self._upstreams:
            await self._listen(upstream)

    async def _listen(self, upstream: Upstream) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(upstream, reader, writer)

        self._servers[upstream.number] = await asyncio.start_server(
            serve, *self.plan.upstream(upstream.number)
        )

    def begin(self) -> None:
        turns = self.turns(UpstreamFault)
        for turn in turns:
            fault = self.plan.scenario.faults[turn.fault]
            assert isinstance(fault, UpstreamFault)
            for number in turn.upstreams:
                upstream = self._upstreams[number]
                if fault.kind == "restart":
                    self.clock.at(turn.begin_ms, upstream.crash)
                    self.clock.at(turn.end_ms, lambda u=upstream: self._restart(u))  # type: ignore[misc]
        self._lasting = [
            t for t in turns if getattr(self.plan.scenario.faults[t.fault], "kind", "") != "restart"
        ]
        self.at_edges(self._lasting, self._update_faults)

    def _update_faults(self) -> None:
        """Set the slowdown and error rate of each upstream from the faults that are active now."""
        now_ms = self.clock.now_ms + 0.5
        for upstream in self._upstreams:
            upstream.slow, upstream.error_part = 1.0, 0.0
        for turn in self._lasting:
            self._apply(turn, now_ms)

    def _apply(self, turn: FaultOccurrence, now_ms: float) -> None:
        fault = self.plan.scenario.faults[turn.fault]
        if not isinstance(fault, UpstreamFault) or not turn.on(now_ms):
            return
        for number in turn.upstreams:
            if fault.kind == "slow":
                self._upstreams[number].slow = fault.factor
            elif fault.kind == "err":
                self._upstreams[number].error_part = fault.rate

    async def _serve(
        self, upstream: Upstream, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = upstream.number
        self._open[number].add(writer)
        copy = copy_of(writer.get_extra_info("peername"))
        try:
            while True:
                self._handle_request(upstream, copy, await read_message(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()  # its requests keep running: the upstream cannot know that nobody waits for them
        finally:
            self._open[number].discard(writer)

    def _handle_request(
        self, upstream: Upstream, copy: int, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        trace_id = message.header("X-Trace-Id") or "0"
        ran = UpstreamTrace(upstream.number, int(trace_id, 16), copy, self.clock.now_ms)
        self.seen.ran.append(ran)
        job = _PendingRequest(ran, writer)
        if len(self._open[upstream.number]) > self.plan.scenario.upstreams.connections:
            job.reply(Outcome.FULL)
        else:
            upstream.arrive(job, str(copy), ran.number)

    def fell(self, at_ms: float, copy: str, request: int, upstream: int, got: int, can: float) -> None:
        self.seen.fell.append(OverloadTrace(upstream, at_ms, request, got, can))
        self.clock.after(OVERLOAD_RESTART_S * 1000, lambda: self._restart(self._upstreams[upstream]))

    def forget_connections(self, upstream: Upstream) -> None:
        """The upstream's process died: its connections are reset and new ones refused."""
        self._servers[upstream.number].close()
        for writer in list(self._open[upstream.number]):
            writer.transport.abort()

    def _restart(self, upstream: Upstream) -> None:
        if upstream.down:
            upstream.restart()
            asyncio.get_running_loop().create_task(self._listen(upstream))


if __name__ == "__main__":
    run_process(UpstreamStandIns)
