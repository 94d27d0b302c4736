"""A data plane that may not have the newest configuration rejects no request permanently."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from madderwind.messages.distribution import Subscribe
from tests.dataplane.fleet import ControlPlane, Fleet, Message, document, served, until
from tests.standins import run

# Requests that another configuration may allow although the current one, or having none, does not.
REJECTED_REQUESTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("/nowhere/x", {}),
    ("/safe/x", {"X_Key": "k-unknown"}),
    ("/safe/x", {"X_Key": None}),
    ("/safe/x", {"body": b"x" * 2_000_000}),
    ("/safe/x", {"X_Long": "x" * 40_000}),
)


async def send_all(fleet: Fleet) -> list[Message]:
    return [await fleet.ask(path, **request) for path, request in REJECTED_REQUESTS]


class RejectedRequests(unittest.TestCase):
    def assert_retryable(self, responses: list[Message]) -> None:
        for (path, request), response in zip(REJECTED_REQUESTS, responses, strict=True):
            self.assertEqual(response.status, 503, (path, list(request)))
            self.assertTrue(0 < float(response.header("Retry-After") or 0) < 1)
            self.assertIsNone(response.header("X-Upstream-Signature"))

    def test_without_a_configuration_rejections_are_retryable(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=None) as fleet:
                await until(lambda: any(isinstance(message, Subscribe) for message in fleet.control.received))
                self.assert_retryable(await send_all(fleet))

        run(scenario())

    def test_with_a_possibly_outdated_configuration_rejections_are_retryable(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.control.close()
                await until(lambda: not fleet.plane.subscriber.open_links)
                self.assert_retryable(await send_all(fleet))

        run(scenario())

    def test_before_a_newer_configuration_arrives_rejections_are_retryable(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                with mock.patch.object(ControlPlane, "version", 9):
                    fleet.control.document = None  # announces a version without a configuration to fetch
                    await until(lambda: not fleet.plane.admission.knows_newest)
                    self.assert_retryable(await send_all(fleet))

        run(scenario())

    def test_with_the_newest_configuration_rejections_are_final(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                self.assertEqual(
                    [response.status for response in await send_all(fleet)], [404, 401, 401, 413, 431]
                )

        run(scenario())


if __name__ == "__main__":
    unittest.main()
