"""Stories of a data plane that doesn't know the newest configuration: nothing is refused for good."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from madderwind.messages.distribution import Subscribe
from tests.dataplane.fleet import ControlPlane, Fleet, Message, document, served, until
from tests.standins import run

# What some configuration may allow though the one in force, or none, doesn't.
REFUSABLE: tuple[tuple[str, dict[str, Any]], ...] = (
    ("/nowhere/x", {}),
    ("/safe/x", {"X_Key": "k-unknown"}),
    ("/safe/x", {"X_Key": None}),
    ("/safe/x", {"body": b"x" * 2_000_000}),
    ("/safe/x", {"X_Long": "x" * 40_000}),
)


async def asked_all(fleet: Fleet) -> list[Message]:
    return [await fleet.ask(path, **more) for path, more in REFUSABLE]


class WhatIsRefused(unittest.TestCase):
    def assert_asked_to_come_back(self, answers: list[Message]) -> None:
        for (path, more), got in zip(REFUSABLE, answers, strict=True):
            self.assertEqual(got.status, 503, (path, list(more)))
            self.assertTrue(0 < float(got.header("Retry-After") or 0) < 1)
            self.assertIsNone(got.header("X-Upstream-Signature"))

    def test_given_no_configuration_then_clients_are_asked_to_come_back(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=None) as fleet:
                await until(lambda: any(isinstance(told, Subscribe) for told in fleet.control.received))
                self.assert_asked_to_come_back(await asked_all(fleet))

        run(story())

    def test_given_one_that_may_be_old_then_clients_are_asked_to_come_back(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.control.close()
                await until(lambda: not fleet.plane.subscriber.open_links)
                self.assert_asked_to_come_back(await asked_all(fleet))

        run(story())

    def test_given_a_newer_one_that_has_not_come_yet_then_clients_are_asked_to_come_back(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                with mock.patch.object(ControlPlane, "version", 9):
                    fleet.control.document = None  # a version is told that is not handed out
                    await until(lambda: not fleet.plane.admission.knows_newest)
                    self.assert_asked_to_come_back(await asked_all(fleet))

        run(story())

    def test_given_the_newest_then_it_is_refused_for_good(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                self.assertEqual([got.status for got in await asked_all(fleet)], [404, 401, 401, 413, 431])

        run(story())


if __name__ == "__main__":
    unittest.main()
