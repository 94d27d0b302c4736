"""Checks the simulation against closed-form queueing results and against itself."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from madderwind.standalone.policy import api
from madderwind.testing.simulation.experiment import Experiment
from madderwind.testing.simulation.timeline import Timeline
from madderwind.testing.simulation.world import START_MS, World

# Without network delays and retries, one upstream is an M/M/c queue.
NO_NETWORK_DELAY: dict[str, Any] = {
    "name": "bare",
    "question": "-",
    "copies": 1,
    "network": {"trip_ms": 0, "handshake_ms": 0},
    "policies": ["random"],
}


def experiment(**more: Any) -> Experiment:
    return msgspec.convert({**NO_NETWORK_DELAY, **more}, Experiment)


def run_world(policy: str = "random", seed: int = 1, **more: Any) -> World:
    world = World(experiment(**more), policy, seed)
    world.run()
    return world


def erlang_mean_time(per_s: float, work_ms: float, cores: int) -> float:
    """The mean time that a request spends in an M/M/c system, by Erlang's C formula."""
    load = per_s * work_ms / 1000
    utilization = load / cores
    not_waiting = sum(load**k / math.factorial(k) for k in range(cores))
    waiting = load**cores / (math.factorial(cores) * (1 - utilization))
    return work_ms + waiting / (not_waiting + waiting) * work_ms / (cores * (1 - utilization))


@pytest.mark.parametrize(("per_s", "cores"), [(12.0, 1), (17.5, 1), (60.0, 4), (85.0, 4)])
def test_mean_time_matches_the_erlang_formula(per_s: float, cores: int) -> None:
    """M/M/1 and M/M/c at utilizations from about 0.5 to 0.85, within an eighth over 15 simulated minutes."""
    world = run_world(
        tiers=[{"upstreams": 1, "cores": cores, "work_ms": 40}],
        load={"per_s": per_s, "classes": [{"name": "any", "aim_ms": 1e6, "deadline_ms": 1e6}]},
        for_s=900,
    )
    times = [t for second in world.seconds for t in second.times_ms]
    assert sum(times) / len(times) == pytest.approx(erlang_mean_time(per_s, 40, cores), rel=0.125)
    assert world.wishes == pytest.approx(per_s * 900, rel=0.03)


def test_littles_law_and_conservation_of_wishes() -> None:
    """The mean number of requests in flight is the arrival rate times the mean time; each wish ends once."""
    in_flight: list[int] = []
    world = World(
        experiment(
            tiers=[{"upstreams": 3, "cores": 2, "work_ms": 50}],
            load={"per_s": 80, "classes": [{"name": "any", "aim_ms": 1e6, "deadline_ms": 1e6}]},
            for_s=200,
        ),
        "least-in-flight",
        3,
    )

    def sample_in_flight() -> None:
        in_flight.append(sum(len(u._jobs) for u in world.upstreams.values()))
        if world.timeline.now_ms < START_MS + 200_000:
            world.timeline.after(7.0, sample_in_flight)

    world.timeline.after(0.0, sample_in_flight)
    world.run()
    times = [t for second in world.seconds for t in second.times_ms]
    mean_ms = sum(times) / len(times)
    assert sum(in_flight) / len(in_flight) == pytest.approx(80 * mean_ms / 1000, rel=0.05)
    ends = sum(s.in_time + s.late + s.refused + s.failed for s in world.seconds)
    assert ends == world.wishes == sum(s.asked for s in world.seconds)


ALL_FAULTS: dict[str, Any] = {
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
def test_every_wish_ends_under_all_faults(policy: str) -> None:
    world = run_world(policy, **ALL_FAULTS)
    ends = sum(s.in_time + s.late + s.refused + s.failed for s in world.seconds)
    assert ends == world.wishes > 1000
    assert world.checker.answered == world.checker.taken == world.requests
    assert not [b for b in world.checker.broken if b.rule != 4]
    if policy == "madderwind":
        assert not world.checker.broken


def figures(world: World) -> list[tuple[int, int, int, int, list[float]]]:
    return [(s.asked, s.in_time, s.refused, s.failed, s.times_ms) for s in world.seconds]


def test_results_are_reproducible_and_policies_get_the_same_arrivals() -> None:
    """A repeated run is identical. Another policy gets the same wishes; another seed gives other results."""
    first, again = run_world("madderwind", **ALL_FAULTS), run_world("madderwind", **ALL_FAULTS)
    assert figures(first) == figures(again) and first.timeline.events == again.timeline.events
    assert [s.asked for s in first.seconds] == [s.asked for s in run_world("random", **ALL_FAULTS).seconds]
    assert figures(first) != figures(run_world("madderwind", seed=2, **ALL_FAULTS))


def test_replayed_events_give_the_same_actions() -> None:
    """Replays the events of one policy copy in a fleet to a separate copy and compares the actions."""
    world = World(experiment(**ALL_FAULTS), "madderwind", 1)
    copy = world.copies[0][2]
    policy, recorded = copy._policy, list[tuple[float, api.Event, list[api.Action]]]()

    class RecordingPolicy:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            actions = policy.handle(now, event)
            recorded.append((now, event, list(actions)))
            return actions

    entries = tuple(u.entry(api.UpstreamState.READY) for u in world._upstreams_of(0))
    copy._policy = RecordingPolicy()
    world.run()
    separate = World(experiment(**ALL_FAULTS), "madderwind", 1).copies[0][2]._policy
    assert len(recorded) > 200 and len(entries) == 6
    for now, event, actions in recorded:
        assert separate.handle(now, event) == actions


def test_calls_at_equal_times_run_in_scheduling_order() -> None:
    timeline, order = Timeline(), list[int]()
    for number in range(5):
        timeline.at(10.0, lambda number=number: order.append(number))  # type: ignore[misc]
    timeline.at(5.0, lambda: timeline.at(1.0, lambda: order.append(-1)))  # a time in the past means now
    timeline.run()
    assert order == [-1, 0, 1, 2, 3, 4] and timeline.now_ms == 10.0


def test_events_per_request_do_not_grow_with_the_number_of_copies() -> None:
    """Compares the events per request, not the run time, at 40 and at 400 copies."""
    costs = []
    for copies, upstreams in ((40, 20), (400, 200)):
        world = run_world(
            "madderwind",
            tiers=[{"upstreams": upstreams, "cores": 4, "work_ms": 40}],
            load={"per_s": upstreams * 20.0},
            copies=copies,
            for_s=2,
        )
        costs.append(world.timeline.events / world.requests)
        assert not world.checker.broken
    assert costs[1] == pytest.approx(costs[0], rel=0.1)
