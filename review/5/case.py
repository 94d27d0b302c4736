"""Planned work while upstreams are full: a request that waits for its next attempt when the process ends gets no answer."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    FRONT,
    CouldNotRun,
    Node,
    Operator,
    Record,
    Site,
    Upstream,
    configuration,
    new_id,
    read_body,
    read_head,
    route,
    run_case,
)

REQUESTS = 3
DEADLINE_S, OBJECTIVE_MS = 30.0, 30_000
# The requests are sent in this time after the SIGTERM: the platform takes a machine out at its second question, so it still
# passes connections on for a second at least.
FIRST_S, LAST_S = 0.1, 0.8


class Full(Upstream):
    """All its slots and its queue are taken by others: it refuses at once, and is never at work on these requests."""

    async def handle(self, writer: asyncio.StreamWriter, first: str, headers: dict[str, str], body: bytes) -> bool:
        request = headers.get("x-request-id", "")
        self.site.record(f"{self.id}: refuses {request}")
        self.answer(writer, 503, request, b"full\n", {"X-Not-Executed": "full"})
        return True


class Asked:
    """One request as its client saw it."""

    def __init__(self) -> None:
        self.request = new_id()
        self.sent_s = self.ended_s = 0.0
        self.was_sent = False
        self.status = 0
        self.note = ""

    @property
    def is_lost(self) -> bool:
        """Sent whole, and the connection ended without a complete answer, well before the deadline."""
        return self.was_sent and not self.status and self.ended_s - self.sent_s < 0.9 * DEADLINE_S


async def ask(record: Record, node: Node, wait_s: float) -> Asked:
    await asyncio.sleep(wait_s)
    asked, writer = Asked(), None
    try:
        async with asyncio.timeout(DEADLINE_S):
            reader, writer = await asyncio.open_connection(node.ip, FRONT)
            head = f"POST /review/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {asked.request}\r\n"
            head += f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nContent-Length: 2\r\n\r\n{{}}"
            writer.write(head.encode())
            await writer.drain()
            asked.sent_s, asked.was_sent = record.now(), True
            record(f"client: {asked.request} sent to {node.name}")
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            asked.status = int(first.split()[1])
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        asked.note = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    asked.ended_s = record.now()
    record(f"client: {asked.request}: {asked.status or 'no answer'} {asked.note} after {asked.ended_s - asked.sent_s:.3f} s")
    return asked


async def main(record: Record, has_trouble: bool) -> bool:
    site = Site(record, core=3, front=2)
    upstreams = [Full(site, "claims", number) for number in range(3)]
    try:
        site.start()
        review = route("review", "claims", max_attempts=8, timeout_ms=DEADLINE_S * 1000, target_latency_ms=OBJECTIVE_MS)
        if (await Operator(site).replace(0, configuration(1, [review], ["claims"]))).status != 200:
            raise CouldNotRun("the configuration was not acknowledged")
        for upstream in upstreams:
            await upstream.start()
        await site.wait_ready()
        await asyncio.sleep(1.5 * BOUNDS["contact_ms"] / 1000)
        node, began = site.front[0], time.monotonic()
        if has_trouble:
            node.send(signal.SIGTERM)
        waits = [FIRST_S + (LAST_S - FIRST_S) * number / (REQUESTS - 1) for number in range(REQUESTS)]
        results = asyncio.gather(*(ask(record, node, wait_s) for wait_s in waits))
        if has_trouble:
            code = await node.ended(BOUNDS["grace_s"])
            record(f"{node.name} has ended with {code}, {time.monotonic() - began:.3f} s after the SIGTERM")
            if code is None:
                await node.kill()
        asked = await results
        lost = [each.request for each in asked if each.is_lost]
        arrived = {request for upstream in upstreams for _, request, _ in upstream.arrived}
        record(f"LOST: {len(lost)} of {len(asked)} requests were read whole and got no answer: {lost}")
        record(f"of these, {len(arrived.intersection(lost))} had been passed on to an upstream; none was at work on any")
        return bool(arrived.intersection(lost))
    finally:
        for upstream in upstreams:
            await upstream.close()
        site.close()


sys.exit(run_case(main, HERE))
