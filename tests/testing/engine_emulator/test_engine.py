"""The emulated model server: batching, chunked prefill, prefix cache, memory and preemption."""

from __future__ import annotations

import unittest

import msgspec

from madderwind.placement.prompts import PromptPart
from madderwind.testing.engine_emulator.engine import (
    Admission,
    Engine,
    EngineEvent,
    EngineRequest,
    EngineSettings,
)

SMALL = EngineSettings(
    slots=4, queue=4, kv_tokens=16_000, block_tokens=16, stride=2, chunk_tokens=1000, first_ms=0.0
)


def request(key: str, *parts: tuple[str, int], output: int = 6, priority: int = 5) -> EngineRequest:
    return EngineRequest(key, tuple(PromptPart(*part) for part in parts), output, priority)


def run(engine: Engine, until_ms: float = 1e7) -> list[EngineEvent]:
    return engine.advance(until_ms)


def first_event_ms(engine: Engine, key: str) -> float:
    return next(event.at_ms for event in run(engine) if event.key == key)


class StreamTest(unittest.TestCase):
    def test_an_event_carries_stride_tokens_and_the_last_one_ends_the_stream(self) -> None:
        engine = Engine(SMALL)
        engine.submit(0.0, request("k", ("a", 100), output=5))
        events = run(engine)
        self.assertEqual([(event.index, event.last) for event in events], [(0, False), (1, False), (2, True)])
        self.assertEqual((engine.running, engine.waiting), (0, 0))

    def test_tokens_are_generated_more_slowly_in_a_larger_batch(self) -> None:
        alone, shared = Engine(SMALL), Engine(SMALL)
        alone.submit(0.0, request("k", ("a", 10), output=200))
        for number in range(4):
            shared.submit(0.0, request(f"k{number}", (f"a{number}", 10), output=200))
        self.assertLess(run(alone)[-1].at_ms, run(shared)[-1].at_ms)

    def test_a_long_prefill_delays_the_tokens_of_other_requests(self) -> None:
        engine = Engine(SMALL)
        engine.submit(0.0, request("k", ("a", 10), output=100))
        engine.advance(100.0)
        engine.submit(100.0, request("long", ("b", 8_000), output=2))
        times = [event.at_ms for event in run(engine) if event.key == "k"]
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertGreater(max(gaps), 2 * min(gaps))

    def test_a_cancelled_request_frees_its_slot_and_memory(self) -> None:
        engine = Engine(SMALL)
        engine.submit(0.0, request("k", ("a", 1000), output=100))
        engine.advance(60.0)
        engine.cancel("k")
        self.assertEqual(run(engine), [])
        self.assertEqual((engine.running, engine.memory.held_tokens), (0, 0))


class PrefixCacheTest(unittest.TestCase):
    def test_a_cached_prefix_is_not_prefilled_again(self) -> None:
        engine = Engine(SMALL)
        engine.submit(0.0, request("one", ("s", 5000), ("x", 100)))
        uncached_ms = first_event_ms(engine, "one")
        engine.submit(10_000.0, request("two", ("s", 5000), ("y", 100)))
        self.assertLess(first_event_ms(engine, "two") - 10_000.0, uncached_ms / 3)
        self.assertEqual([prefilled.part.id for prefilled in engine.prefilled_parts], ["s", "x", "y"])

    def test_a_cached_part_is_used_only_if_all_parts_before_it_are_cached(self) -> None:
        engine = Engine(SMALL)
        engine.submit(0.0, request("one", ("s", 500), ("t", 5000), ("x", 10)))
        run(engine)
        engine.submit(10_000.0, request("two", ("other", 500), ("t", 5000), ("y", 10)))
        run(engine)
        self.assertEqual(
            [prefilled.part.id for prefilled in engine.prefilled_parts], ["s", "t", "x", "other", "t", "y"]
        )

    def test_the_least_recently_used_parts_are_evicted(self) -> None:
        engine = Engine(SMALL)
        for number, shared in enumerate(["a", "b", "c", "a", "d"]):
            engine.submit(number * 10_000.0, request(f"k{number}", (shared, 5000), (f"x{number}", 16)))
            run(engine)
        prefilled_parts = [prefilled.part.id for prefilled in engine.prefilled_parts if prefilled.shared]
        self.assertEqual(prefilled_parts, ["a", "b", "c", "d"])
        engine.submit(60_000.0, request("again", ("b", 5000), ("y", 16)))
        run(engine)
        self.assertEqual(engine.prefilled_parts[-2].part.id, "b")


class AdmissionTest(unittest.TestCase):
    def test_requests_beyond_the_queue_or_the_memory_are_rejected(self) -> None:
        engine = Engine(SMALL)
        results = [engine.submit(0.0, request(f"k{number}", (f"x{number}", 10))) for number in range(9)]
        self.assertEqual(results, [Admission.ACCEPTED] * 8 + [Admission.FULL])
        self.assertIs(Engine(SMALL).submit(0.0, request("big", ("x", 16_000))), Admission.FULL)

    def test_the_most_urgent_request_is_admitted_first(self) -> None:
        engine = Engine(msgspec.structs.replace(SMALL, slots=1))
        for key, priority in (("running", 5), ("later", 7), ("sooner", 2)):
            engine.submit(0.0, request(key, (key, 10), priority=priority))
        order = [event.key for event in run(engine) if event.last]
        self.assertEqual(order, ["sooner", "running", "later"])

    def test_out_of_memory_preempts_and_later_restarts_the_newest_least_urgent_request(self) -> None:
        engine = Engine(msgspec.structs.replace(SMALL, kv_tokens=4_000))
        engine.submit(0.0, request("old", ("a", 1_800), output=400))
        engine.submit(0.0, request("new", ("b", 1_800), output=400))
        events = run(engine)
        ends = [event.key for event in events if event.last]
        self.assertEqual(ends, ["old", "new"])
        self.assertGreaterEqual(engine.preemptions, 1)
        for key in ("old", "new"):
            self.assertEqual([event.index for event in events if event.key == key], list(range(200)))

    def test_all_blocks_are_available_after_all_requests_end(self) -> None:
        engine = Engine(msgspec.structs.replace(SMALL, kv_tokens=6_000))
        for number in range(40):
            parts = ((f"s{number % 3}", 700), (f"x{number}", 100 + 37 * number % 900))
            engine.submit(number * 40.0, request(f"k{number}", *parts, output=60, priority=number % 4))
            engine.advance(number * 40.0)
        run(engine)
        self.assertEqual(engine.memory.held_tokens, 0)
        self.assertEqual(engine.memory.available_blocks, engine.memory.total_blocks)
