"""Randomized fault campaigns on the whole control side: rounds of faults, then recovery and checks."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from unittest.mock import patch

import attrs

from madderwind.controlplane.core import TICK_MS
from madderwind.distribution.subscriber import CURRENT_MS
from madderwind.errors import MadderwindError
from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.campaign.calls import HttpCall
from tests.campaign.control_machine import ControlMachine
from tests.campaign.data_plane import DataPlane
from tests.campaign.fault_player import FaultPlayer
from tests.campaign.faults import Fault, LossCount, draw_faults, draw_long_faults
from tests.campaign.losses import CATCH_UP_MS
from tests.campaign.records import CommandCall, Intent, replacement
from tests.campaign.stable_watch import StableWatch
from tests.campaign.system import Plan, System
from tests.campaign.upstream import Intention
from tests.fleet.clock import MessageStorm
from tests.fleet.freshness import FreshnessWatch
from tests.fleet.history import Violation

STABILIZE_MS = 3_000.0
ACKNOWLEDGED_WITHIN_MS = 4_000.0
APPLIED_WITHIN_MS = 2_000.0
RETRY_MS = 50.0
STEP_MS = 5.0
MIN_ROUND_MS, MAX_ROUND_MS = 4_000.0, 10_000.0
LONG_ROUND_MS, LONG_ROUND_SHARE = 45_000.0, 0.12
SHORT_RETAINED, SHORT_RETAINED_DIGESTS = 8, 40
SHORT_REWRITE_BYTES = 16 * 1024
PREPARED_SHARE = 0.3
UPSTREAMS_KNOWN_WITHIN_MS = 3_000.0


@attrs.frozen
class Schedule:
    """The complete input of a campaign.

    Attributes:
        plan: The machines, data planes and callers that take part.
        rounds: The faults of each round.
        round_ms: How long a round lasts.
        keeps_little: Whether the retained log, command history and journal file are kept short.
        loss_count: Which losses count against the tolerance, and for how long.
        prepares_all: Whether every command is prepared in the background, as long ones are.
    """

    plan: Plan
    rounds: tuple[tuple[Fault, ...], ...]
    round_ms: float
    keeps_little: bool
    loss_count: LossCount
    prepares_all: bool = False

    def describe(self) -> str:
        """Format the schedule for a reader."""
        plan = self.plan
        lines = [
            f"{plan.machines} machines, tolerance {plan.tolerance}, {plan.data_planes} data planes, "
            f"{plan.operators} operators, a command every {plan.command_interval_ms:.0f} ms, "
            f"{plan.answer_loss:.2f} of answers lost"
            f"{', short retention' if self.keeps_little else ''}"
            f"{', all commands are prepared in the background' if self.prepares_all else ''}"
            f", loss count {self.loss_count.value}"
        ]
        for number, faults in enumerate(self.rounds, 1):
            lines.append(f"round {number}, {self.round_ms:.0f} ms:")
            lines += [f"  {fault}" for fault in faults]
        return "\n".join(lines)


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    rng = random.Random(f"campaign {seed}")
    machines, tolerance = rng.choice([(3, 1), (3, 1), (3, 1), (4, 1), (5, 2), (5, 1)])
    keeps_little = rng.random() < 0.4
    is_busy = keeps_little and rng.random() < 0.5
    pauses = (5.0, 20.0, 60.0) if is_busy else (100.0, 200.0, 400.0)
    plan = Plan(
        seed=f"{seed}",
        machines=machines,
        tolerance=tolerance,
        data_planes=rng.randint(1, 3),
        operators=rng.randint(1, 4) * (2 if is_busy else 1),
        upstreams=rng.randint(0, 3),
        command_interval_ms=rng.choice(pauses),
        upstream_incarnation_ms=rng.uniform(1_500.0, 6_000.0),
        answer_loss=rng.choice((0.0, 0.0, 0.1, 0.3)),
    )
    rounds: tuple[tuple[Fault, ...], ...]
    if rng.random() < LONG_ROUND_SHARE:
        round_ms, draw = LONG_ROUND_MS, rng.choice((draw_faults, draw_long_faults, draw_long_faults))
        rounds = (draw(rng, round_ms),)
    else:
        round_ms = rng.uniform(MIN_ROUND_MS, MAX_ROUND_MS)
        rounds = tuple(draw_faults(rng, round_ms) for _ in range(rng.randint(1, 2)))
    counts = (LossCount.STRICT, LossCount.STRICT, LossCount.PLAIN, LossCount.LOOSE)
    prepares_all = random.Random(f"preparation {seed}").random() < PREPARED_SHARE
    return Schedule(plan, rounds, round_ms, keeps_little, rng.choice(counts), prepares_all)


class Campaign:
    """Runs one schedule; `run` raises Violation if an invariant does not hold."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.system = System(schedule.plan)
        self.history = self.system.history
        self.player = FaultPlayer(self.system, schedule.loss_count)
        self.watch = StableWatch(self.system, self.player.losses)
        self._clock = self.system.clock
        FreshnessWatch(
            self._clock,
            lambda: list(self.system.machines.values()),
            self.history.newest_acknowledged,
            TICK_MS,
        )

    def run(self) -> None:
        """Run the whole schedule."""
        with contextlib.ExitStack() as conditions:
            if self.schedule.keeps_little:
                conditions.enter_context(retaining_few_digests())
            if self.schedule.prepares_all:
                conditions.enter_context(patch("madderwind.configuration.history.LONG_COMMAND_BYTES", 0))
            try:
                self._run()
            except Violation:
                raise
            except MessageStorm as storm:
                raise Violation(f"storm: {storm}") from None
            except (
                MadderwindError,
                ArithmeticError,
                AssertionError,
                LookupError,
                TypeError,
                ValueError,
            ) as error:
                raise Violation(f"a process would have ended: {error!r}") from error
        if self.history.notes:
            raise Violation("; ".join(self.history.notes.values()))

    def _run(self) -> None:
        system, plan = self.system, self.schedule.plan
        system.start()
        system.run(STABILIZE_MS)
        for faults in self.schedule.rounds:
            for operator in system.operators:
                operator.start()
            system.upstreams.start(plan.upstreams, plan.upstream_incarnation_ms)
            self.player.play(faults)
            self.watch.start()
            system.run(self.schedule.round_ms)
            self.calm()

    def calm(self) -> None:
        """End all faults, then check that the system recovers and that the recorded history is consistent."""
        system = self.system
        for operator in system.operators:
            operator.stop()
        system.upstreams.stop()
        self.watch.stop()
        self.player.heal()
        system.run(CATCH_UP_MS if self.player.disk_losses else STABILIZE_MS)
        for address in list(system.machines):
            self._command_at(system.machines[address])
        self._check_everywhere()
        self._check_upstreams()
        self.history.check()

    def _command_at(self, machine: ControlMachine) -> None:
        """Check that a command sent to this machine first is acknowledged in time."""
        base = self.history.chain[-1].version if self.history.chain else 0
        marker = self.history.next_marker()
        command = replacement(marker, base, base + 1)
        intent = Intent(marker, command, base + 1, True, self._clock.now_ms)
        self.history.add(intent)
        self._call(machine, intent)
        self._wait(
            lambda: intent.acknowledged_ms is not None,
            ACKNOWLEDGED_WITHIN_MS,
            lambda: f"a command sent to {machine.address} without faults is not acknowledged",
        )

    def _call(self, machine: ControlMachine, intent: Intent) -> None:
        record = CommandCall(intent, machine.address, self._clock.now_ms)

        def ended(result: CommandResult | None) -> None:
            if result is not None and result.outcome is not CommandOutcome.UNKNOWN:
                record.ended_ms, record.result = self._clock.now_ms, result
                self.history.answered(record)
                if result.outcome is not CommandOutcome.COMMITTED:
                    raise Violation(f"a command sent without faults is refused: {record}: {result}")
                return
            others = list(self.system.machines.values())
            following = others[(others.index(machine) + 1) % len(others)]
            self._clock.after(RETRY_MS, lambda: self._call(following, intent))

        call: HttpCall[CommandResult] = HttpCall(
            self.system.links, "o-calm", machine, lambda reply: machine.command(intent.command, reply), ended
        )
        call.start(self.system.rng, 0.0)

    def _wait(
        self, condition: Callable[[], bool], timeout_ms: float, describe_failure: Callable[[], str]
    ) -> None:
        began_ms = self._clock.now_ms
        while not condition():
            if self._clock.now_ms - began_ms > timeout_ms:
                raise Violation(f"{describe_failure()} within {timeout_ms:.0f} ms")
            self.system.run(STEP_MS)

    def _check_everywhere(self) -> None:
        """Check that all data planes and machines have the newest version and know that it is current."""
        newest = self.history.chain[-1].version
        self._wait(
            lambda: not self._lagging_addresses(newest),
            APPLIED_WITHIN_MS,
            lambda: (
                f"version {newest} is not applied and current at {', '.join(self._lagging_addresses(newest))}"
            ),
        )

    def _lagging_addresses(self, newest: int) -> list[str]:
        system = self.system
        planes = [plane.address for plane in system.data_planes if not self._is_current(plane, newest)]
        machines = [
            machine.address
            for machine in system.machines.values()
            if not _machine_is_current(machine, newest)
        ]
        return planes + machines

    def _is_current(self, data_plane: DataPlane, newest: int) -> bool:
        return data_plane.version == newest and data_plane.subscriber.is_current(self._clock.now_ms)

    def _check_upstreams(self) -> None:
        """Check that data planes know the ready instances and consider none that left ready."""
        for instance, (state, at_ms) in self.history.final_states.items():
            for data_plane in self.system.data_planes:
                if data_plane.upstreams.takes_new(instance):
                    self.history.note(
                        "upstreams",
                        f"{data_plane.address} treats {instance} as ready, which was acknowledged as "
                        f"{state.value} at {at_ms:.0f} ms",
                    )
        ready = [up.instance for up in self.system.upstreams.all if up.intention is Intention.HEARTBEAT]
        self._wait(
            lambda: not self._unknown_instances(ready),
            UPSTREAMS_KNOWN_WITHIN_MS,
            lambda: f"ready instances are unknown: {', '.join(self._unknown_instances(ready))}",
        )

    def _unknown_instances(self, ready: list[str]) -> list[str]:
        still = {up.instance for up in self.system.upstreams.all if up.intention is Intention.HEARTBEAT}
        return [
            f"{instance} at {data_plane.address}"
            for instance in ready
            for data_plane in self.system.data_planes
            if instance in still and not data_plane.upstreams.takes_new(instance)
        ]


def _machine_is_current(machine: ControlMachine, newest: int) -> bool:
    status = machine.status()
    if status is None or status.committed_version != newest:
        return False
    return status.fresh_age_ms is not None and status.fresh_age_ms < CURRENT_MS


@contextlib.contextmanager
def keeping_little() -> Iterator[None]:
    """Patch the retention limits so that logs and histories are short and files are rewritten often."""
    with (
        patch("madderwind.replication.log.RETAINED_ENTRIES", SHORT_RETAINED),
        patch("madderwind.configuration.history.RETAINED_COMMANDS", SHORT_RETAINED),
        patch("madderwind.replication.journal.REWRITE_FROM_BYTES", SHORT_REWRITE_BYTES),
    ):
        yield


@contextlib.contextmanager
def retaining_few_digests() -> Iterator[None]:
    """Also patch the digest limit, so that few repeated commands are recognized."""
    with keeping_little(), patch("madderwind.configuration.history.RETAINED_DIGESTS", SHORT_RETAINED_DIGESTS):
        yield
