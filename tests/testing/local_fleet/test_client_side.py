"""Tests for traffic generation, the choice of a data plane, and the checks of event streams."""

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
    def test_same_seed_generates_the_same_requests(self) -> None:
        traffic = Traffic((CHAT, PLAIN), for_s=10.0)
        self.assertEqual(draw_requests(traffic, "r"), draw_requests(traffic, "r"))
        self.assertNotEqual(draw_requests(traffic, "r"), draw_requests(attrs.evolve(traffic, seed=2), "r"))

    def test_prompts_of_different_runs_share_no_parts(self) -> None:
        traffic = Traffic((CHAT,), for_s=5.0)
        parts = [
            {part.id for request in draw_requests(traffic, run) for part in request.parts} for run in "ab"
        ]
        self.assertFalse(parts[0] & parts[1])

    def test_session_prompts_extend_an_earlier_prompt_up_to_most_turns(self) -> None:
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

    def test_burst_raises_the_rate_of_its_kind(self) -> None:
        traffic = Traffic((PLAIN,), for_s=30.0, bursts=(Burst(10.0, 10.0, "plain", 5.0),))
        requests = draw_requests(traffic, "r")
        within = sum(10_000 <= request.at_ms < 20_000 for request in requests)
        self.assertGreater(within, 3 * (len(requests) - within) / 2)
        self.assertFalse(any(request.parts for request in requests))

    def test_tenants_are_drawn_by_weight(self) -> None:
        requests = draw_requests(Traffic((CHAT,), for_s=60.0), "r")
        share = sum(request.tenant == "acme" for request in requests) / len(requests)
        self.assertAlmostEqual(share, 0.75, delta=0.05)


class IngressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.endpoints = [
            DataPlaneEndpoint(f"d{number}", "ab"[number % 2], f"a{number}") for number in range(6)
        ]
        self.ingress = Ingress(self.endpoints)

    def chosen_names(self, zone: str, tried: tuple[str, ...] = ()) -> set[str]:
        return {self.ingress.choose(f"c{number}", zone, tried).name for number in range(100)}

    def test_clients_are_spread_over_all_data_planes_of_their_zone(self) -> None:
        self.assertEqual(self.chosen_names("a"), {"d0", "d2", "d4"})

    def test_same_client_always_gets_the_same_data_plane(self) -> None:
        self.assertEqual(self.ingress.choose("c", "a"), self.ingress.choose("c", "a"))

    def test_data_plane_with_two_missed_probes_is_avoided_until_it_answers(self) -> None:
        self.ingress.record_probe("d0", False)
        self.assertIn("d0", self.chosen_names("a"))
        self.ingress.record_probe("d0", False)
        self.assertEqual(self.chosen_names("a"), {"d2", "d4"})
        self.ingress.record_probe("d0", True)
        self.assertIn("d0", self.chosen_names("a"))

    def test_all_data_planes_of_the_zone_are_used_if_fewer_than_half_are_in_service(self) -> None:
        for name in ("d0", "d2", "d0", "d2"):
            self.ingress.record_probe(name, False)
        self.assertEqual(self.chosen_names("a"), {"d0", "d2", "d4"})

    def test_other_zones_are_used_if_none_of_the_zone_is_in_service(self) -> None:
        for name in ("d0", "d2", "d4") * 2:
            self.ingress.record_probe(name, False)
        self.assertEqual(self.chosen_names("a"), {"d1", "d3", "d5"})

    def test_retry_reaches_another_data_plane(self) -> None:
        self.assertEqual(self.chosen_names("a", ("d0", "d2")), {"d4"})
        self.assertEqual(self.chosen_names("a", ("d0", "d2", "d4")), {"d1", "d3", "d5"})


def event(number: int, total: int = 3, subject: str = "s") -> bytes:
    return f"id: {number}\ndata: {subject} {number}/{total}\n\n".encode()


class EventCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.check = EventCheck("s")

    def test_complete_stream_in_arbitrary_chunks_has_no_fault(self) -> None:
        data = event(1) + event(2) + event(3)
        counts = [self.check.feed(data[at : at + 7]) for at in range(0, len(data), 7)]
        self.assertEqual(sum(counts), 3)
        self.check.check_end()
        self.assertTrue(self.check.is_complete)
        self.assertEqual(self.check.fault, "")

    def test_gap_is_a_fault(self) -> None:
        self.check.feed(event(1) + event(3))
        self.assertEqual(self.check.fault, "a gap: event 3 after event 1")

    def test_repeated_event_is_a_fault(self) -> None:
        self.check.feed(event(1) + event(2) + event(2))
        self.assertIn("a repeat", self.check.fault)

    def test_event_of_another_stream_is_a_fault(self) -> None:
        self.check.feed(event(1) + event(2, subject="t"))
        self.assertIn("an event of another stream", self.check.fault)

    def test_event_that_no_upstream_sent_is_a_fault(self) -> None:
        # Guards against a check that reads joined pieces as one event, as a map of its fields.
        for name, data in {
            "part of an event joined to the next": event(1)[:-7] + event(1),
            "part of a field name": b"da" + event(1),
            "two ids": b"id: 1\n" + event(1),
            "a subject that is no text": event(1).replace(b"data: s", b"data: \xff"),
            "a number of thousands of digits": b"id: 1" + b"0" * 5000 + event(1)[5:],
            "an additional line": event(1)[:-1] + b"data: s 1/3\n\n",
            "a longer total": event(1)[:-2] + b"3\n\n" + event(2),
        }.items():
            with self.subTest(name):
                check = EventCheck("s")
                check.feed(data)
                self.assertIn("after event", check.fault)

    def test_premature_end_is_a_fault(self) -> None:
        self.check.feed(event(1))
        self.check.check_end()
        self.assertIn("complete after event 1 of 3", self.check.fault)

    def test_resumption_continues_after_the_last_complete_event(self) -> None:
        self.check.feed(event(1) + event(2)[:9])
        self.check.resume()
        self.check.feed(event(2) + event(3))
        self.check.check_end()
        self.assertEqual(self.check.fault, "")


if __name__ == "__main__":
    unittest.main()
