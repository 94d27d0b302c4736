"""Stories of requests that an upstream turns away with 421: they haven't run, and count as attempts."""

from __future__ import annotations

import unittest

from tests.dataplane.fleet import Fleet, Message, Writer, answer, document, served
from tests.standins import Behaviour, run


def turns_away(instance: str | None) -> Behaviour:
    """Answers 421, naming the upstream that it comes from where there is one to name."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = message.header("X-Request-Id") or ""
        if instance is None:
            writer.write(answer(421, X_Request_Id=request_id))
        else:
            writer.write(answer(421, X_Request_Id=request_id, X_Upstream_Instance=instance))

    return behave


class ARequestThatIsTurnedAway(unittest.TestCase):
    def assert_ends_unrun(self, *instances: str | None, known_after: tuple[str, ...]) -> None:
        """By each of the upstreams of which `max_attempts` allows two."""

        async def story() -> None:
            async with Fleet(*map(turns_away, instances), document=document()) as fleet:
                for path in ("/unsafe/x", "/stream/x"):
                    got = await fleet.ask(path)
                    self.assertEqual((got.status, got.header("X-Upstream-Signature")), (503, None))
                    self.assertTrue(0 < float(got.header("Retry-After") or 0) < 1)
                    self.assertLessEqual(sum(len(upstream.asked) for upstream in fleet.upstreams), 2)
                    for upstream in fleet.upstreams:
                        upstream.asked.clear()
                self.assertEqual(fleet.ready_instances(), known_after)

        run(story())

    def test_by_other_instances_ends_as_a_promise_and_those_known_are_gone(self) -> None:
        self.assert_ends_unrun("i-8", "i-9", known_after=())
        self.assert_ends_unrun(None, None, known_after=())

    def test_by_the_instance_that_was_meant_says_nothing_of_its_end(self) -> None:
        self.assert_ends_unrun("i-0", "i-1", "i-2", known_after=("i-0", "i-1", "i-2"))

    def test_is_sent_to_another_upstream_also_where_it_may_run_only_once(self) -> None:
        async def story() -> None:
            for path in ("/safe/x", "/unsafe/x"):
                async with Fleet(turns_away("i-9"), served(), document=document()) as fleet:
                    for _ in range(3):
                        self.assertEqual((await fleet.ask(path)).status, 200)
                    self.assertEqual(fleet.ready_instances(), ("i-1",))

        run(story())


class AVersionThatAClientExpects(unittest.TestCase):
    def test_is_for_the_system_to_tell_and_is_not_passed_on(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                self.assertEqual((await fleet.ask(Expect_Version="7", Priority="0")).status, 200)
                asked = fleet.upstreams[0].asked[0]
                self.assertEqual((asked.header("Expect-Version"), asked.header("Priority")), (None, "1"))

        run(story())


if __name__ == "__main__":
    unittest.main()
