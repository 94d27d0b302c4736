"""The simulated control side: control machines, data planes, upstreams and operators on one clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from tests.campaign.chain import Snapshots
from tests.campaign.control_machine import ControlMachine
from tests.campaign.data_plane import DataPlane
from tests.campaign.history import History
from tests.campaign.links import Links
from tests.campaign.operators import Habits, Operator
from tests.campaign.upstream import Upstream, Upstreams
from tests.fleet.clock import Clock

START_SPREAD_MS = 300.0
MOST_SEEDS = 3


@attrs.frozen
class Plan:
    """The size of a system and the behaviour of its callers."""

    seed: str
    machines: int
    tolerance: int
    data_planes: int
    operators: int
    upstreams: int
    command_interval_ms: float
    upstream_incarnation_ms: float
    answer_loss: float


class System:
    """Machines m1 ..., their successors r1 ..., data planes d1 ..., operators o1 ..., upstreams u1 ..."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = Clock()
        self.links = Links(self.clock, random.Random(f"{plan.seed} links"))
        self.rng = random.Random(f"{plan.seed} system")
        addresses = [f"m{number}" for number in range(1, plan.machines + 1)]
        self.seeds = tuple(addresses[:MOST_SEEDS])
        self.machines: dict[str, ControlMachine] = {}
        self._known: dict[str, ControlMachine] = {}  # includes removed machines
        self.history = History(self.clock, plan.tolerance, lambda: list(self.machines.values()))
        self._snapshots = Snapshots()
        for address in addresses:
            self.add_machine(address, self.seeds)
        self.data_planes = [self._new_data_plane(number) for number in range(1, plan.data_planes + 1)]
        self.operators = [self._new_operator(number) for number in range(1, plan.operators + 1)]
        upstreams_rng = random.Random(f"{plan.seed} upstreams")
        self.upstreams = Upstreams(self.clock, self._new_upstream, upstreams_rng)

    def add_machine(self, address: str, seeds: tuple[str, ...]) -> ControlMachine:
        """Add a machine with an empty disk, without starting it."""
        machine = ControlMachine(
            address,
            self.clock,
            self.links,
            self.plan.seed,
            seeds,
            self.plan.tolerance,
            self._snapshots,
            self.history,
            self._known.get,
            self._current_seeds,
        )
        self.machines[address] = self._known[address] = machine
        return machine

    def run(self, duration_ms: float) -> None:
        """Advance the clock."""
        self.clock.run_until(self.clock.now_ms + duration_ms)

    def start(self) -> None:
        """Bootstrap the machines and start the data planes, each after a random delay."""
        for machine in self.machines.values():
            delay_ms = self.rng.uniform(0.0, START_SPREAD_MS)
            self.clock.after(delay_ms, lambda m=machine: m.start(bootstrap=True))  # type: ignore[misc]
        for data_plane in self.data_planes:
            self.clock.after(self.rng.uniform(0.0, START_SPREAD_MS), data_plane.start)

    def addresses(self) -> list[str]:
        """Addresses of the machines and data planes."""
        return [*self.machines, *(data_plane.address for data_plane in self.data_planes)]

    def callers(self) -> list[str]:
        """Addresses of the operators and upstreams."""
        upstreams = [upstream.instance for upstream in self.upstreams.all]
        return [*(operator.name for operator in self.operators), *upstreams]

    def primary(self) -> ControlMachine | None:
        """The machine that considers itself the primary; of several, the one in the newest epoch."""
        primaries: list[tuple[int, str]] = []
        for machine in self.machines.values():
            status = machine.status()
            if status is not None and status.is_primary:
                primaries.append((status.epoch, machine.address))
        return self.machines[max(primaries)[1]] if primaries else None

    def _list(self) -> Sequence[ControlMachine]:
        return list(self.machines.values())

    def _current_seeds(self) -> tuple[str, ...]:
        return tuple(self.machines)[:MOST_SEEDS]

    def _new_data_plane(self, number: int) -> DataPlane:
        return DataPlane(
            f"d{number}",
            self.clock,
            self.links,
            self.plan.seed,
            self._current_seeds,
            self.plan.tolerance + 2,
            self.history,
            self._known.get,
        )

    def _new_operator(self, number: int) -> Operator:
        name = f"o{number}"
        rng = random.Random(f"{self.plan.seed} {name}")
        interval_ms = self.plan.command_interval_ms * rng.uniform(0.5, 1.5)
        habits = Habits(interval_ms, self.plan.answer_loss, gives_up=rng.random() < 0.5)
        return Operator(name, self.links, self._list, self.history, rng, habits)

    def _new_upstream(self, instance: str, incarnation_ms: float) -> Upstream:
        rng = random.Random(f"{self.plan.seed} {instance}")
        return Upstream(
            instance, self.links, self._list, self.history, rng, incarnation_ms, self.plan.answer_loss
        )
