"""Tests of the bounded frame queues of connections and of the shared byte budget."""

from __future__ import annotations

import asyncio
import unittest

from madderwind.controlplane.frames import ByteBudget, FrameQueue

DEADLINE_S = 10.0


class FrameQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_offer_reports_an_overfull_queue_unless_it_holds_a_single_frame(self) -> None:
        queue = FrameQueue(max_bytes=10)
        self.assertTrue(queue.offer(0.0, b"x" * 50))
        self.assertFalse(queue.offer(0.0, b"y"))
        queue.drop_oldest()
        self.assertTrue(queue.offer(0.0, b"z"))
        self.assertEqual(len(queue), 2)

    async def test_old_frames_are_dropped(self) -> None:
        queue = FrameQueue(max_bytes=10)
        for second in range(4):
            queue.offer(float(second), b"x")
        queue.drop_older_than(2.0)
        self.assertEqual(len(queue), 2)

    async def test_frames_are_sent_in_order(self) -> None:
        queue = FrameQueue(max_bytes=10)
        sent: asyncio.Queue[bytes] = asyncio.Queue()
        queue.offer(0.0, b"a")
        send_task = asyncio.create_task(queue.send_all(sent.put))
        async with asyncio.timeout(DEADLINE_S):
            self.assertEqual(await sent.get(), b"a")
            queue.offer(1.0, b"b")
            queue.offer(1.0, b"c")
            self.assertEqual([await sent.get(), await sent.get()], [b"b", b"c"])
        send_task.cancel()


class ByteBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_reservation_over_the_limit_waits_for_a_release(self) -> None:
        budget = ByteBudget(max_bytes=10)
        events: list[str] = []
        first_reserved, release = asyncio.Event(), asyncio.Event()

        async def first() -> None:
            async with budget.reserved(8):
                events.append("first began")
                first_reserved.set()
                await release.wait()
                events.append("first ended")

        async def second() -> None:
            async with budget.reserved(8):
                events.append("second began")

        async with asyncio.timeout(DEADLINE_S), asyncio.TaskGroup() as tasks:
            tasks.create_task(first())
            await first_reserved.wait()
            tasks.create_task(second())
            async with budget.reserved(2):
                events.append("small")
            release.set()
        self.assertEqual(events, ["first began", "small", "first ended", "second began"])

    async def test_a_single_reservation_may_exceed_the_limit(self) -> None:
        budget = ByteBudget(max_bytes=10)
        async with asyncio.timeout(DEADLINE_S), budget.reserved(50):
            pass

    async def test_a_cancelled_reservation_holds_no_bytes(self) -> None:
        budget = ByteBudget(max_bytes=10)
        async with asyncio.timeout(DEADLINE_S):
            async with budget.reserved(8):
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(0), budget.reserved(8):
                        self.fail("reserved more bytes than the budget has left")
            async with budget.reserved(10):
                pass


if __name__ == "__main__":
    unittest.main()
