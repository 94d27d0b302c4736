"""Stories of bounded queues before connections."""

from __future__ import annotations

import asyncio
import unittest

from madderwind.controlplane.frames import ByteBudget, FrameQueue

DEADLINE_S = 10.0


class AQueueIsBounded(unittest.IsolatedAsyncioTestCase):
    async def test_it_tells_when_there_is_too_much_but_for_one_frame_alone(self) -> None:
        queue = FrameQueue(max_bytes=10)
        self.assertTrue(queue.offer(0.0, b"x" * 50))
        self.assertFalse(queue.offer(0.0, b"y"))
        queue.drop_oldest()
        self.assertTrue(queue.offer(0.0, b"z"))
        self.assertEqual(len(queue), 2)

    async def test_old_frames_are_given_up(self) -> None:
        queue = FrameQueue(max_bytes=10)
        for second in range(4):
            queue.offer(float(second), b"x")
        queue.drop_older_than(2.0)
        self.assertEqual(len(queue), 2)

    async def test_frames_go_out_in_order_as_they_come(self) -> None:
        queue = FrameQueue(max_bytes=10)
        sent: asyncio.Queue[bytes] = asyncio.Queue()
        queue.offer(0.0, b"a")
        sending = asyncio.create_task(queue.send_all(sent.put))
        async with asyncio.timeout(DEADLINE_S):
            self.assertEqual(await sent.get(), b"a")
            queue.offer(1.0, b"b")
            queue.offer(1.0, b"c")
            self.assertEqual([await sent.get(), await sent.get()], [b"b", b"c"])
        sending.cancel()


class ABudgetOfBytes(unittest.IsolatedAsyncioTestCase):
    async def test_who_would_pass_the_bound_waits_for_others_to_end(self) -> None:
        budget = ByteBudget(max_bytes=10)
        command: list[str] = []
        began, release = asyncio.Event(), asyncio.Event()

        async def first() -> None:
            async with budget.reserved(8):
                command.append("first began")
                began.set()
                await release.wait()
                command.append("first ended")

        async def second() -> None:
            async with budget.reserved(8):
                command.append("second began")

        async with asyncio.timeout(DEADLINE_S), asyncio.TaskGroup() as tasks:
            tasks.create_task(first())
            await began.wait()
            tasks.create_task(second())
            async with budget.reserved(2):
                command.append("small")
            release.set()
        self.assertEqual(command, ["first began", "small", "first ended", "second began"])

    async def test_one_alone_may_be_longer_than_the_bound(self) -> None:
        budget = ByteBudget(max_bytes=10)
        async with asyncio.timeout(DEADLINE_S), budget.reserved(50):
            pass

    async def test_who_gives_up_holds_nothing(self) -> None:
        budget = ByteBudget(max_bytes=10)
        async with asyncio.timeout(DEADLINE_S):
            async with budget.reserved(8):
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(0), budget.reserved(8):
                        self.fail("there is no room")
            async with budget.reserved(10):
                pass


if __name__ == "__main__":
    unittest.main()
