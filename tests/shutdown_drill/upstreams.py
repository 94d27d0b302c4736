"""The drill's upstreams: they do what the plan of each request says, and remember what they ran."""

from __future__ import annotations

import asyncio
from collections import Counter

from tests.dataplane.fleet import SIGNATURE, event, stream_head
from tests.shutdown_drill.plans import STREAM_ROUTES, RequestPlan, Step
from tests.standins import Message, Writer, answer

LAST_CHUNK = b"0\r\n\r\n"


class PlannedUpstreams:
    """The behaviour of all upstreams of a round.

    Attributes:
        arrivals: How often each request has arrived whole.
        runs: How often each request has been run, whatever became of the answer.
    """

    def __init__(self, plans: dict[str, RequestPlan]) -> None:
        """`plans`: by request id; may grow during the round."""
        self._plans = plans
        self.arrivals: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self._closed = asyncio.Event()

    def close(self) -> None:
        """End the work under way."""
        self._closed.set()

    async def behave(self, message: Message, writer: Writer) -> None:
        """Answer one attempt."""
        request_id = message.header("X-Request-Id") or ""
        plan = self._plans[request_id]
        step = plan.step(self.arrivals[request_id])
        self.arrivals[request_id] += 1
        if step is Step.REFUSE:
            writer.write(answer(503, X_Request_Id=request_id, X_Not_Executed="1"))
            return
        self.runs[request_id] += 1
        await self._run(plan, step, message, writer)

    async def _run(self, plan: RequestPlan, step: Step, message: Message, writer: Writer) -> None:
        request_id = message.header("X-Request-Id") or ""
        is_stream = plan.route in STREAM_ROUTES
        match step:
            case Step.CLAIM:
                writer.write(answer(503, X_Request_Id=request_id))
            case Step.HANG:
                return
            case Step.RESET:
                await self._work(plan.work_s)
                writer.transport.abort()
            case Step.BREAK_OFF if is_stream:
                await self._stream(plan, message, writer, is_whole=False)
            case _ if is_stream:
                await self._stream(plan, message, writer, is_whole=True)
            case _:
                await self._work(plan.work_s)
                writer.write(answer(200, b"yes", X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE))

    async def _stream(self, plan: RequestPlan, message: Message, writer: Writer, is_whole: bool) -> None:
        """Send the events behind the last one that the client has, up to the end or to the middle."""
        first = int(message.header("Last-Event-Id") or 0) + 1
        last = plan.events if is_whole else (first + plan.events) // 2
        writer.write(stream_head(message))
        for number in range(first, last + 1):
            await self._work(plan.work_s / plan.events)
            data = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        if is_whole:
            writer.write(LAST_CHUNK)
            return
        data = event(last + 1)
        writer.write(b"%x\r\n%s" % (len(data), data[:5]))
        await writer.drain()
        writer.transport.abort()

    async def _work(self, duration_s: float) -> None:
        """Work for a while; ConnectionResetError once the round is over."""
        try:
            async with asyncio.timeout(duration_s):
                await self._closed.wait()
        except TimeoutError:
            return
        raise ConnectionResetError
