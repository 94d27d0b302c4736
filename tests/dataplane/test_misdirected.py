"""Requests that an upstream rejects with 421: they were not executed, and count as attempts."""

from __future__ import annotations

import unittest

from tests.dataplane.fleet import Fleet, Message, Writer, answer, document, served
from tests.standins import Behaviour, run


def respond_421(instance: str | None) -> Behaviour:
    """Answer 421, with the instance in X-Upstream-Instance unless it is None."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = message.header("X-Request-Id") or ""
        if instance is None:
            writer.write(answer(421, X_Request_Id=request_id))
        else:
            writer.write(answer(421, X_Request_Id=request_id, X_Upstream_Instance=instance))

    return behave


class MisdirectedRequest(unittest.TestCase):
    def assert_retryable(self, *instances: str | None, ready_after: tuple[str, ...]) -> None:
        """Check that 421 of up to two upstreams (`max_attempts`) gives the client a retryable 503."""

        async def scenario() -> None:
            async with Fleet(*map(respond_421, instances), document=document()) as fleet:
                for path in ("/unsafe/x", "/stream/x"):
                    response = await fleet.ask(path)
                    self.assertEqual((response.status, response.header("X-Upstream-Signature")), (503, None))
                    self.assertTrue(0 < float(response.header("Retry-After") or 0) < 1)
                    self.assertLessEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 2)
                    for upstream in fleet.upstreams:
                        upstream.asked.clear()
                self.assertEqual(fleet.ready_instances(), ready_after)

        run(scenario())

    def test_421_of_other_instances_gives_a_retryable_503_and_removes_the_known_ones(self) -> None:
        self.assert_retryable("i-8", "i-9", ready_after=())
        self.assert_retryable(None, None, ready_after=())

    def test_421_of_the_expected_instance_does_not_remove_it(self) -> None:
        self.assert_retryable("i-0", "i-1", "i-2", ready_after=("i-0", "i-1", "i-2"))

    def test_request_is_sent_to_another_upstream_even_if_unsafe(self) -> None:
        async def scenario() -> None:
            for path in ("/safe/x", "/unsafe/x"):
                async with Fleet(respond_421("i-9"), served(), document=document()) as fleet:
                    for _ in range(3):
                        self.assertEqual((await fleet.ask(path)).status, 200)
                    self.assertEqual(fleet.ready_instances(), ("i-1",))

        run(scenario())


class HeadersOfTheDataPlane(unittest.TestCase):
    def test_expect_version_and_priority_of_a_client_are_not_forwarded(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                self.assertEqual((await fleet.ask(Expect_Version="7", Priority="0")).status, 200)
                received = fleet.upstreams[0].asked[0]
                self.assertEqual(
                    (received.header("Expect-Version"), received.header("Priority")), (None, "1")
                )

        run(scenario())


if __name__ == "__main__":
    unittest.main()
