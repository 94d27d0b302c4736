"""A client disconnects while the body of its request is still being written to an upstream."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from tests.dataplane.fleet import Fleet, Writer, document, served, until
from tests.standins import Upstream, run, within

DISCONNECT_DETECTION_S = 0.5
LONGER_THAN_BUFFERS_BYTES = 16 * 1024 * 1024


class AbandonedRequestBody(unittest.TestCase):
    def test_incomplete_request_never_reaches_an_upstream_that_reads_late(self) -> None:
        async def scenario() -> None:
            may_read = asyncio.Event()
            serve = Upstream._serve

            async def read_late(upstream: Upstream, reader: asyncio.StreamReader, writer: Writer) -> None:
                await may_read.wait()
                await serve(upstream, reader, writer)

            limits = {**document()["limits"], "max_body_bytes": 2 * LONGER_THAN_BUFFERS_BYTES}
            with mock.patch.object(Upstream, "_serve", read_late):
                async with Fleet(served(), document=document(limits=limits)) as fleet:
                    client = await fleet.client()
                    client.write("/unsafe/x", body=b"x" * LONGER_THAN_BUFFERS_BYTES)
                    await until(lambda: fleet.plane.pool.in_use("i-0") == 1)
                    client.caller.close()
                    async with asyncio.timeout(DISCONNECT_DETECTION_S):
                        while fleet.plane.pool.in_use("i-0"):
                            await asyncio.sleep(0)
                    may_read.set()
                    self.assertEqual(await within(fleet.upstreams[0].ended.get()), 1)
                    self.assertEqual(fleet.upstreams[0].asked, [])  # it never received the complete request

        run(scenario())


if __name__ == "__main__":
    unittest.main()
