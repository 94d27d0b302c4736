"""The load's decisions: what is drawn, where clients connect, what a stream's reader notices."""

from __future__ import annotations

import unittest

import attrs

from madderwind.testing.engine_emulator.workload import Burst, SharedPart, Tokens
from madderwind.testing.local_fleet.event_check import EventCheck
from madderwind.testing.local_fleet.ingress import DataPlaneEndpoint, Ingress
from madderwind.testing.local_fleet.traffic import draw_requests
from madderwind.testing.local_fleet.traffic_file import Generations, RequestKind, Sessions, Traffic

CHAT = RequestKind(
    name="chat",
    host="h",
    path="/chat/",
    per_s=20.0,
    tenants={"acme": 3.0, "globex": 1.0},
    generation=Generations(
        (SharedPart(Tokens(100.0), 2),), Tokens(10.0), Tokens(5.0), Sessions(share=0.5, most_turns=3)
    ),
)
PLAIN = RequestKind(name="plain", host="h", path="/plain/", per_s=10.0)


class DrawRequestsTest(unittest.TestCase):
    def test_one_seed_gives_one_traffic(self) -> None:
        traffic = Traffic((CHAT, PLAIN), for_s=10.0)
        self.assertEqual(draw_requests(traffic, "r"), draw_requests(traffic, "r"))
        self.assertNotEqual(draw_requests(traffic, "r"), draw_requests(attrs.evolve(traffic, seed=2), "r"))

    def test_prompts_of_two_runs_share_nothing(self) -> None:
        traffic = Traffic((CHAT,), for_s=5.0)
        parts = [
            {part.id for request in draw_requests(traffic, run) for part in request.parts} for run in "ab"
        ]
        self.assertFalse(parts[0] & parts[1])

    def test_sessions_begin_with_an_earlier_prompt_and_end(self) -> None:
        requests = draw_requests(Traffic((CHAT,), for_s=30.0), "r")
        seen: set[tuple[str, ...]] = set()
        turns = []
        for request in requests:
            ids = tuple(part.id for part in request.parts)
            if len(ids) > 2:
                self.assertIn(ids[:-1], seen)
            seen.add(ids)
            turns.append(len(ids) - 1)
        self.assertEqual(max(turns), 3)

    def test_a_burst_has_more_of_its_kind(self) -> None:
        traffic = Traffic((PLAIN,), for_s=30.0, bursts=(Burst(10.0, 10.0, "plain", 5.0),))
        requests = draw_requests(traffic, "r")
        within = sum(10_000 <= request.at_ms < 20_000 for request in requests)
        self.assertGreater(within, 3 * (len(requests) - within) / 2)
        self.assertFalse(any(request.parts for request in requests))

    def test_tenants_come_by_their_weights(self) -> None:
        requests = draw_requests(Traffic((CHAT,), for_s=60.0), "r")
        share = sum(request.tenant == "acme" for request in requests) / len(requests)
        self.assertAlmostEqual(share, 0.75, delta=0.05)


class IngressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.endpoints = [
            DataPlaneEndpoint(f"d{number}", "ab"[number % 2], f"a{number}") for number in range(6)
        ]
        self.ingress = Ingress(self.endpoints)

    def chosen(self, zone: str, tried: tuple[str, ...] = ()) -> set[str]:
        return {self.ingress.choose(f"c{number}", zone, tried).name for number in range(100)}

    def test_reach_all_data_planes_of_the_clients_zone(self) -> None:
        self.assertEqual(self.chosen("a"), {"d0", "d2", "d4"})

    def test_stay_with_one_data_plane_for_one_client(self) -> None:
        self.assertEqual(self.ingress.choose("c", "a"), self.ingress.choose("c", "a"))

    def test_avoid_one_that_missed_twice_until_it_answers(self) -> None:
        self.ingress.record_probe("d0", False)
        self.assertIn("d0", self.chosen("a"))
        self.ingress.record_probe("d0", False)
        self.assertEqual(self.chosen("a"), {"d2", "d4"})
        self.ingress.record_probe("d0", True)
        self.assertIn("d0", self.chosen("a"))

    def test_go_to_all_of_the_zone_where_fewer_than_half_are_in(self) -> None:
        for name in ("d0", "d2", "d0", "d2"):
            self.ingress.record_probe(name, False)
        self.assertEqual(self.chosen("a"), {"d0", "d2", "d4"})

    def test_leave_a_zone_where_none_is_in(self) -> None:
        for name in ("d0", "d2", "d4") * 2:
            self.ingress.record_probe(name, False)
        self.assertEqual(self.chosen("a"), {"d1", "d3", "d5"})

    def test_of_a_retry_reach_another_data_plane(self) -> None:
        self.assertEqual(self.chosen("a", ("d0", "d2")), {"d4"})
        self.assertEqual(self.chosen("a", ("d0", "d2", "d4")), {"d1", "d3", "d5"})


def event(number: int, total: int = 3, subject: str = "s") -> bytes:
    return f"id: {number}\ndata: {subject} {number}/{total}\n\n".encode()


class EventCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.check = EventCheck("s")

    def test_a_whole_stream_in_odd_pieces(self) -> None:
        data = event(1) + event(2) + event(3)
        counts = [self.check.feed(data[at : at + 7]) for at in range(0, len(data), 7)]
        self.assertEqual(sum(counts), 3)
        self.check.finish()
        self.assertTrue(self.check.is_whole)
        self.assertEqual(self.check.fault, "")

    def test_a_gap(self) -> None:
        self.check.feed(event(1) + event(3))
        self.assertEqual(self.check.fault, "a gap: event 3 after event 1")

    def test_a_repeat(self) -> None:
        self.check.feed(event(1) + event(2) + event(2))
        self.assertIn("a repeat", self.check.fault)

    def test_anothers_event(self) -> None:
        self.check.feed(event(1) + event(2, subject="t"))
        self.assertIn("another's", self.check.fault)

    def test_an_end_too_early(self) -> None:
        self.check.feed(event(1))
        self.check.finish()
        self.assertIn("complete after event 1 of 3", self.check.fault)

    def test_a_resumption_goes_on_after_the_last_whole_event(self) -> None:
        self.check.feed(event(1) + event(2)[:9])
        self.check.resume()
        self.check.feed(event(2) + event(3))
        self.check.finish()
        self.assertEqual(self.check.fault, "")


if __name__ == "__main__":
    unittest.main()
