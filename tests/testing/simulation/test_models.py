"""The emulator against what is known in closed form, and against itself."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from madderwind.standalone.policy import api
from madderwind.testing.simulation.experiment import Experiment
from madderwind.testing.simulation.timeline import Timeline
from madderwind.testing.simulation.world import DAWN_MS, World

# Without trips, handshakes and second thoughts, one upstream is a queue by the book.
BARE: dict[str, Any] = {
    "name": "bare",
    "question": "-",
    "copies": 1,
    "network": {"trip_ms": 0, "handshake_ms": 0},
    "policies": ["random"],
}


def experiment(**more: Any) -> Experiment:
    return msgspec.convert({**BARE, **more}, Experiment)


def played(policy: str = "random", seed: int = 1, **more: Any) -> World:
    world = World(experiment(**more), policy, seed)
    world.run()
    return world


def waits_by_the_book(per_s: float, work_ms: float, cores: int) -> float:
    """The mean time in an M/M/c queue, by Erlang's formula."""
    load = per_s * work_ms / 1000
    busy = load / cores
    alone = sum(load**k / math.factorial(k) for k in range(cores))
    crowd = load**cores / (math.factorial(cores) * (1 - busy))
    return work_ms + crowd / (alone + crowd) * work_ms / (cores * (1 - busy))


@pytest.mark.parametrize(("per_s", "cores"), [(12.0, 1), (17.5, 1), (60.0, 4), (85.0, 4)])
def test_a_queue_is_as_long_as_erlang_says(per_s: float, cores: int) -> None:
    """M/M/1 and M/M/c, from half load to nearly nine tenths; within an eighth over 15 minutes."""
    world = played(
        tiers=[{"upstreams": 1, "cores": cores, "work_ms": 40}],
        load={"per_s": per_s, "classes": [{"name": "any", "aim_ms": 1e6, "deadline_ms": 1e6}]},
        for_s=900,
    )
    times = [t for second in world.seconds for t in second.times_ms]
    assert sum(times) / len(times) == pytest.approx(waits_by_the_book(per_s, 40, cores), rel=0.125)
    assert world.wishes == pytest.approx(per_s * 900, rel=0.03)


def test_littles_law_and_conservation() -> None:
    """What is held in the mean is the rate times the time there; each wish ends once."""
    held: list[int] = []
    world = World(
        experiment(
            tiers=[{"upstreams": 3, "cores": 2, "work_ms": 50}],
            load={"per_s": 80, "classes": [{"name": "any", "aim_ms": 1e6, "deadline_ms": 1e6}]},
            for_s=200,
        ),
        "least-in-flight",
        3,
    )

    def looks() -> None:
        held.append(sum(len(u._jobs) for u in world.upstreams.values()))
        if world.timeline.now_ms < DAWN_MS + 200_000:
            world.timeline.after(7.0, looks)

    world.timeline.after(0.0, looks)
    world.run()
    times = [t for second in world.seconds for t in second.times_ms]
    mean_ms = sum(times) / len(times)
    assert sum(held) / len(held) == pytest.approx(80 * mean_ms / 1000, rel=0.05)
    ends = sum(s.in_time + s.late + s.refused + s.failed for s in world.seconds)
    assert ends == world.wishes == sum(s.asked for s in world.seconds)


ROUGH: dict[str, Any] = {
    "tiers": [
        {"upstreams": 6, "cores": 2, "work_ms": 30, "zones": 2, "error_part": 0.02},
        {"upstreams": 4, "cores": 4, "work_ms": 30, "queue": 20, "connections": 30},
    ],
    "copies": 5,
    "network": {},
    "news": {"repeats": 0.5, "silent_from_s": 4, "silent_for_s": 2, "reports": True, "report_late_ms": 300},
    "load": {
        "per_s": 160,
        "tries": 3,
        "classes": [{"name": "a"}, {"name": "b", "effect": "unsafe"}, {"name": "c", "effect": "keyed"}],
    },
    "troubles": [
        {"at_s": 2, "kind": "crash", "part": 0.3, "for_s": 4},
        {"at_s": 3, "kind": "vanish", "zone": 1, "for_s": 3},
        {"at_s": 4, "kind": "replace", "tier": 1, "part": 0.5, "for_s": 3},
        {"at_s": 5, "kind": "silent", "part": 0.2, "for_s": 3},
        {"at_s": 6, "kind": "slow", "tier": 1, "part": 0.5, "for_s": 3},
        {"at_s": 7, "kind": "surge", "factor": 2, "for_s": 2},
        {"at_s": 8, "kind": "err", "part": 0.5, "rate": 0.5, "for_s": 2},
    ],
    "for_s": 12,
}


@pytest.mark.parametrize("policy", ["madderwind", "random", "two-choices", "least-in-flight-3-retries"])
def test_every_wish_ends_whatever_goes_wrong(policy: str) -> None:
    world = played(policy, **ROUGH)
    ends = sum(s.in_time + s.late + s.refused + s.failed for s in world.seconds)
    assert ends == world.wishes > 1000
    assert world.checker.answered == world.checker.taken == world.requests
    assert not [b for b in world.checker.broken if b.rule != 4]
    if policy == "madderwind":
        assert not world.checker.broken


def figures(world: World) -> list[tuple[int, int, int, int, list[float]]]:
    return [(s.asked, s.in_time, s.refused, s.failed, s.times_ms) for s in world.seconds]


def test_one_seed_is_one_result_and_pairs_policies() -> None:
    """The same run again, to the last time; another policy meets the same wishes; another seed does not."""
    first, again = played("madderwind", **ROUGH), played("madderwind", **ROUGH)
    assert figures(first) == figures(again) and first.timeline.events == again.timeline.events
    assert [s.asked for s in first.seconds] == [s.asked for s in played("random", **ROUGH).seconds]
    assert figures(first) != figures(played("madderwind", seed=2, **ROUGH))


def test_a_copy_acts_the_same_alone_as_beside_others() -> None:
    """What one copy of the module was told and did in a fleet, told again to one that is alone."""
    world = World(experiment(**ROUGH), "madderwind", 1)
    copy = world.copies[0][2]
    policy, script = copy._policy, list[tuple[float, api.Event, list[api.Action]]]()

    class Spy:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            actions = policy.handle(now, event)
            script.append((now, event, list(actions)))
            return actions

    entries = tuple(u.entry(api.UpstreamState.READY) for u in world._of(0))
    copy._policy = Spy()
    world.run()
    alone = World(experiment(**ROUGH), "madderwind", 1).copies[0][2]._policy
    assert len(script) > 200 and len(entries) == 6
    for now, event, actions in script:
        assert alone.handle(now, event) == actions


def test_equal_times_come_in_the_order_they_were_asked_for() -> None:
    timeline, order = Timeline(), list[int]()
    for number in range(5):
        timeline.at(10.0, lambda number=number: order.append(number))  # type: ignore[misc]
    timeline.at(5.0, lambda: timeline.at(1.0, lambda: order.append(-1)))  # never into the past
    timeline.run()
    assert order == [-1, 0, 1, 2, 3, 4] and timeline.now_ms == 10.0


def test_four_hundred_copies_cost_in_line_with_events() -> None:
    """A count, not a time: as many events a request at forty copies as at four hundred."""
    costs = []
    for copies, upstreams in ((40, 20), (400, 200)):
        world = played(
            "madderwind",
            tiers=[{"upstreams": upstreams, "cores": 4, "work_ms": 40}],
            load={"per_s": upstreams * 20.0},
            copies=copies,
            for_s=2,
        )
        costs.append(world.timeline.events / world.requests)
        assert not world.checker.broken
    assert costs[1] == pytest.approx(costs[0], rel=0.1)
