"""The selection of upstreams, tested without sockets or clocks."""

from __future__ import annotations

import random
import unittest

from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.messages.distribution import UpstreamRecord
from madderwind.placement.placement import Placement
from madderwind.placement.prompts import Generation, PromptPart
from madderwind.registry.known_upstreams import KnownUpstreams

GENERATION = Generation("app", (PromptPart("aa", 900), PromptPart("bb", 100)), 1000, 40, 1, 800.0, 9000.0)


class UpstreamSelection(unittest.TestCase):
    def setUp(self) -> None:
        rng = random.Random(5)
        self.upstreams = KnownUpstreams(1000.0)
        self.full: set[str] = set()
        self.connected: set[str] = set()
        self.chooser = UpstreamChooser(
            rng,
            self.upstreams,
            Placement(rng, "z1"),
            "z1",
            lambda instance, _: instance not in self.full,
            lambda instance: instance in self.connected,
        )
        for number, zone in enumerate(("z1", "z1", "z2")):
            self.publish(f"i-{number}", zone)

    def publish(self, instance: str, zone: str, state: str = "ready", sequence: int = 1) -> None:
        address = f"10.0.0.{instance[2:]}:80"
        record = UpstreamRecord(instance, "app", address, zone, "v1", 8, state, sequence, 0.0, 0.0)
        self.chooser.changed(0.0, self.upstreams.merge(0.0, [record]))

    def selections(
        self, generation: Generation | None = None, tried: frozenset[str] = frozenset(), now_ms: float = 0.0
    ) -> set[str | None]:
        return {self.chooser.choose(now_ms, "app", generation, tried) for _ in range(60)}

    def test_prefers_idle_upstreams_of_the_own_zone(self) -> None:
        self.assertEqual(self.selections(), {"i-0", "i-1"})
        self.chooser.began(0.0, "k", None, "i-0")
        self.assertEqual(self.selections(), {"i-1"})
        self.chooser.began(0.0, "l", None, "i-1")
        self.assertEqual(self.selections(), {"i-2"})

    def test_avoids_an_upstream_whose_address_another_has_taken_over(self) -> None:
        successor = UpstreamRecord("i-9", "app", "10.0.0.0:80", "z1", "v1", 8, "ready", 1, 0.0, 0.0)
        self.chooser.changed(5_000.0, self.upstreams.merge(5_000.0, [successor]))
        for generation in (None, GENERATION):
            self.assertNotIn("i-0", self.selections(generation))
        self.assertEqual(
            self.selections(GENERATION, frozenset({"i-1", "i-2", "i-9"})) - {"i-1", "i-2", "i-9"}, set()
        )
        self.full = {"i-1", "i-2", "i-9"}
        self.assertEqual(self.selections(GENERATION), {"i-0"})

    def test_prefers_an_idle_connection(self) -> None:
        self.connected = {"i-1", "i-2"}
        self.assertEqual(self.selections(), {"i-1"})

    def test_excludes_draining_and_full_upstreams(self) -> None:
        self.publish("i-0", "z1", "draining", 2)
        self.full = {"i-1"}
        for generation in (None, GENERATION):
            self.assertEqual(self.selections(generation), {"i-2"})
        self.full = {"i-1", "i-2"}
        for generation in (None, GENERATION):
            self.assertEqual(self.selections(generation), {None})

    def test_avoids_tried_upstreams_if_there_are_others(self) -> None:
        for generation in (None, GENERATION):
            self.assertNotIn("i-0", self.selections(generation, frozenset({"i-0"})))
            all_upstreams = frozenset({"i-0", "i-1", "i-2"})
            self.assertNotIn(None, self.selections(generation, all_upstreams))

    def test_avoids_an_ejected_upstream(self) -> None:
        self.chooser.health.connect_failed(0.0, "i-0")
        for generation in (None, GENERATION):
            self.assertNotIn("i-0", self.selections(generation, now_ms=50.0))
        for instance in ("i-1", "i-2"):
            self.chooser.health.connect_failed(0.0, instance)
        self.assertNotIn(None, self.selections(now_ms=50.0))  # if all are ejected, all are used

    def test_avoids_an_upstream_whose_streams_have_all_stalled(self) -> None:
        selected = self.selections(GENERATION).pop()
        assert selected is not None
        self.chooser.began(0.0, "k", GENERATION, selected)
        self.chooser.stream_began(10.0, "k", selected)
        self.assertNotIn(selected, self.selections(GENERATION, now_ms=1000.0))
        self.chooser.streams.record_data(1001.0, selected)
        self.assertIn(selected, self.selections(GENERATION, now_ms=1002.0))

    def test_finds_no_upstream_of_another_service(self) -> None:
        self.assertIsNone(self.chooser.choose(0.0, "other", None, frozenset()))


if __name__ == "__main__":
    unittest.main()
