"""A long configuration is parsed off the event loop, so that requests are served meanwhile."""

from __future__ import annotations

import asyncio
import threading
import unittest
from collections.abc import Callable
from unittest.mock import patch

from madderwind.configuration.reading import Document
from madderwind.dataplane import subscriber_links
from madderwind.distribution.reading_ahead import (
    LONG_CONFIGURATION_BYTES,
    ConfigurationMessage,
    document_after,
)
from tests.dataplane.fleet import Fleet, document, served, until

MAX_WAIT_S = 10.0


class LongConfiguration(unittest.IsolatedAsyncioTestCase):
    async def test_requests_are_served_by_the_previous_configuration_while_a_new_one_is_read(self) -> None:
        reading_started, may_finish = threading.Event(), threading.Event()
        self.addCleanup(may_finish.set)

        def read_slowly(base: Document | None, message: ConfigurationMessage) -> Document:
            reading_started.set()
            may_finish.wait(MAX_WAIT_S)
            return document_after(base, message)

        async with Fleet(served(), document=document(1)) as fleet:
            with patch.object(subscriber_links, "document_after", read_slowly):
                await fleet.control.publish(document(2, notes=["x" * LONG_CONFIGURATION_BYTES]))
                await until(reading_started.is_set)
                self.assertEqual(200, (await fleet.ask()).status)
                self.assertEqual(1, fleet.plane.subscriber.version)
                may_finish.set()
                await until(lambda: fleet.plane.subscriber.version == 2)
            self.assertEqual(200, (await fleet.ask()).status)

    async def test_unusable_configuration_leaves_the_previous_one_in_force(self) -> None:
        async with Fleet(served(), document=document(1)) as fleet:
            await fleet.control.publish(document(2, routes="x" * LONG_CONFIGURATION_BYTES))
            await until(lambda: any(event == "configuration_unusable" for event, _ in fleet.log))
            self.assertEqual(200, (await fleet.ask()).status)

    async def test_reading_on_the_event_loop_is_detected(self) -> None:
        async def call_on_loop(function: Callable[..., Document], *arguments: object) -> Document:
            return function(*arguments)

        readers: set[threading.Thread] = set()

        def read_and_note_thread(base: Document | None, message: ConfigurationMessage) -> Document:
            readers.add(threading.current_thread())
            return document_after(base, message)

        async with Fleet(served(), document=document(1)) as fleet:
            with patch.object(subscriber_links, "document_after", read_and_note_thread):
                await fleet.control.publish(document(2, notes=["x" * LONG_CONFIGURATION_BYTES]))
                await until(lambda: fleet.plane.subscriber.version == 2)
                self.assertNotIn(threading.main_thread(), readers)
                with patch.object(asyncio, "to_thread", call_on_loop):
                    await fleet.control.publish(document(3, notes=["x" * LONG_CONFIGURATION_BYTES]))
                    await until(lambda: fleet.plane.subscriber.version == 3)
                self.assertIn(threading.main_thread(), readers)


if __name__ == "__main__":
    unittest.main()
