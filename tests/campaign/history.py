"""What operators, upstreams, control planes and data planes of a campaign saw, and whether that may be."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Sequence

import attrs

from madderwind.distribution.subscriber import CURRENT_MS
from madderwind.messages.distribution import Freshness
from madderwind.messages.replication import View
from madderwind.registry.states import UpstreamState, furthest, state_named
from madderwind.replication.commands import Command, CommandOutcome
from tests.campaign.chain import Link
from tests.campaign.control_machine import ControlMachine
from tests.campaign.data_plane import DataPlane
from tests.campaign.links import MOST_DELAY_MS
from tests.campaign.records import CommandCall, Intent, marker_in
from tests.fleet import linearizability
from tests.fleet.clock import Clock
from tests.fleet.history import MOST_SEEDS, Violation
from tests.fleet.linearizability import ChainEntry, ReadCall, check_linearizable

# Of a version that is acknowledged and not in force, a data plane may know nothing for so long.
CURRENT_WITHIN_MS = CURRENT_MS + 4 * MOST_DELAY_MS
# Between a command's commit and its acknowledgement a disk that held it may be lost.
RECENT_LOSS_MS = 1_500.0
# Ages are told in whole milliseconds.
TOLD_AGE_ACCURACY_MS = 1.0
# The disks are read at each of the first acknowledgements, and at some of the later ones.
FULLY_CHECKED_ACKNOWLEDGEMENTS, CHECKED_SHARE = 40, 8


class History:
    """Implements the observers' protocols; raises Violation as soon as something can't be, or notes it."""

    def __init__(
        self, clock: Clock, tolerance: int, machines: Callable[[], Sequence[ControlMachine]]
    ) -> None:
        self._clock, self._tolerance, self._machines = clock, tolerance, machines
        self.intents: list[Intent] = []
        self.acknowledged: list[Intent] = []
        self.calls: list[CommandCall] = []
        self.reads: list[ReadCall] = []
        self.chain: list[Link] = []
        self.disk_losses_ms: list[float] = []
        self.final_states: dict[str, tuple[UpstreamState, float]] = {}  # acknowledged, and when
        self.longest_effect_ms = 0.0  # from the last sending of a command until a replica has it committed
        self.notes: dict[str, str] = {}  # the first of each kind that may be followed by others
        self._first_notified_ms: dict[tuple[str, UpstreamState], float] = {}
        self._places: dict[int, int] = {0: 0}  # by version
        self._committed: dict[tuple[str, int], int] = {}  # places, by address and life
        self._views: dict[int, View] = {}
        self._intents: dict[tuple[str, int, bytes], Intent] = {}
        self._newest_acknowledged: list[tuple[float, int]] = []  # time, highest version so far

    def note(self, kind: str, message: str) -> None:
        """Something that must not be, after which the campaign goes on and may show more."""
        self.notes.setdefault(kind, f"{kind}: {message}")

    # --- commands ---

    def next_marker(self) -> int:
        """A number for a command that no other one has."""
        return len(self.intents) + 1

    def add(self, intent: Intent) -> None:
        """An operator is about to send a command."""
        self.intents.append(intent)
        self._intents[_key(intent.command)] = intent

    def command_taken(self, machine: ControlMachine, command: Command) -> None:
        """A machine is about to acknowledge a command: by now it has to be on enough disks."""
        intent = self._intents[_key(command)]
        if intent.acknowledged_ms is not None or not self._checks_disks():
            return
        holders = {other.address for other in self._machines() if other.disk.holds(command)}
        recent_ms = self._clock.now_ms - RECENT_LOSS_MS
        lost = sum(at_ms > recent_ms for at_ms in self.disk_losses_ms)
        if len(holders) + lost <= self._tolerance:
            raise Violation(f"{machine.address} acknowledges {intent}, on disk at {sorted(holders)} alone")

    def answered(self, call: CommandCall) -> None:
        """A command's call got a clear answer."""
        assert call.ended_ms is not None and call.result is not None
        self.calls.append(call)
        intent = call.intent
        if call.result.outcome is not CommandOutcome.COMMITTED:
            is_final = call.result.version >= intent.command.base_version
            if intent.acknowledged_ms is not None and is_final:
                raise Violation(f"acknowledged at {intent.acknowledged_ms:.0f} ms and refused: {call}")
            return
        if intent.acknowledged_ms is None:
            intent.acknowledged_ms = call.ended_ms
            self.acknowledged.append(intent)
            newest = self._newest_acknowledged[-1][1] if self._newest_acknowledged else 0
            self._newest_acknowledged.append((call.ended_ms, max(newest, intent.version)))

    def read(self, call: ReadCall) -> None:
        """A read was answered."""
        self.reads.append(call)

    def newest_acknowledged(self, before_ms: float) -> int:
        """The highest version acknowledged before that time."""
        index = bisect_left(self._newest_acknowledged, (before_ms, 0))
        return self._newest_acknowledged[index - 1][1] if index else 0

    def _checks_disks(self) -> bool:
        count = len(self.acknowledged)
        return count < FULLY_CHECKED_ACKNOWLEDGEMENTS or count % CHECKED_SHARE == 0

    # --- replicas ---

    def committed(self, machine: ControlMachine) -> None:
        """A replica takes more for committed."""
        newest = machine.committed.newest
        place = newest.place if newest is not None else 0
        incarnation = (machine.address, machine.incarnation)
        checked = self._committed.get(incarnation, 0)
        if place < checked:
            raise Violation(f"{machine.address} went back from {checked} commands to {place}")
        self._committed[incarnation] = place
        self._compare(machine, newest, min(checked, len(self.chain)))

    def _compare(self, machine: ControlMachine, newest: Link | None, checked: int) -> None:
        links: list[Link] = []
        while newest is not None and newest.place > checked:
            links.append(newest)
            newest = newest.parent
        for link in reversed(links):
            if link.place > len(self.chain):
                self._extend(machine, link)
            elif self.chain[link.place - 1].command != link.command:
                other = self._intents[_key(self.chain[link.place - 1].command)]
                mine = self._intents[_key(link.command)]
                raise Violation(f"{machine.address} has {mine} at {link.place}, others have {other}")

    def _extend(self, machine: ControlMachine, link: Link) -> None:
        version_before = self.chain[-1].version if self.chain else 0
        intent = self._intents.get(_key(link.command))
        if intent is None or not intent.is_proper:
            raise Violation(f"{machine.address} commits {intent or 'what nobody sent'} at {link.place}")
        if link.command.base_version != version_before or link.version <= version_before:
            raise Violation(f"{machine.address} commits {intent} on top of {version_before}")
        self.longest_effect_ms = max(self.longest_effect_ms, self._clock.now_ms - intent.last_sent_ms)
        self.chain.append(link)
        self._places[link.version] = link.place

    def freshness_notified(self, machine: ControlMachine, message: Freshness) -> None:
        """A machine tells data planes how fresh its version is: what was acknowledged before is no newer."""
        if message.age_ms is None:
            return
        fresh_ms = self._clock.now_ms - message.age_ms - TOLD_AGE_ACCURACY_MS
        needed = self.newest_acknowledged(fresh_ms)
        if message.version < needed:
            raise Violation(
                f"{machine.address} calls {message.version} fresh as of {fresh_ms:.0f} ms, when {needed} was "
                f"acknowledged"
            )

    def view_known(self, machine: ControlMachine, view: View) -> None:
        """A replica takes a view for chosen."""
        known = self._views.setdefault(view.epoch, view)
        if known != view:
            raise Violation(f"two views of one epoch: {known} and {view}")
        if len(view.members) > max(2 * self._tolerance + 1, MOST_SEEDS):
            raise Violation(f"more members than are needed: {view}")
        if len(view.in_sync) <= self._tolerance:
            raise Violation(f"the in-sync set is smaller than what has to hold a command: {view}")

    # --- data planes ---

    def put_in_force(self, data_plane: DataPlane, version_before: int) -> None:
        """A data plane has another configuration in force."""
        version = data_plane.version
        if version <= version_before:
            raise Violation(f"{data_plane.address} goes back from {version_before} to {version}")
        marker = marker_in(data_plane.subscriber.document)
        if version not in self._places or self._marker(self._places[version]) != marker:
            raise Violation(f"{data_plane.address} has {version} of command {marker} in force: not committed")

    def data_plane_ticked(self, data_plane: DataPlane) -> None:
        """A data plane passes for current with what is old at most for a moment."""
        now_ms = self._clock.now_ms
        needed = self.newest_acknowledged(now_ms - CURRENT_WITHIN_MS)
        if data_plane.version < needed and data_plane.subscriber.is_current(now_ms):
            self.note(
                "freshness",
                f"{data_plane.address} calls {data_plane.version} current at {now_ms:.0f} ms, "
                f"{CURRENT_WITHIN_MS:.0f} ms after {needed} was acknowledged",
            )

    # --- upstreams ---

    def state_notified(self, instance: str, state: UpstreamState) -> None:
        """An upstream begins a call that tells its state."""
        self._first_notified_ms.setdefault((instance, state), self._clock.now_ms)

    def state_held(self, machine: ControlMachine, instance: str, state: UpstreamState) -> None:
        """A machine is about to acknowledge a state: if it is final, others have to know it too."""
        if state is UpstreamState.READY or self._known_final(instance) is state:
            return
        knowing = [other.address for other in self._machines() if _knows(other, instance, state)]
        notified_ms = self._first_notified_ms[instance, state]
        ended = sum(other.incarnation_ended_ms > notified_ms for other in self._machines())
        if len(knowing) + ended <= self._tolerance:
            raise Violation(
                f"{machine.address} acknowledges that {instance} is {state.value}: known at {knowing} alone"
            )

    def state_acknowledged(self, now_ms: float, instance: str, state: UpstreamState) -> None:
        """An upstream has the acknowledgement of a state."""
        if state is UpstreamState.READY:
            return
        known = self._known_final(instance)
        if known is None or furthest(known, state) is not known:
            self.final_states[instance] = (state, now_ms)

    def _known_final(self, instance: str) -> UpstreamState | None:
        final = self.final_states.get(instance)
        return final[0] if final is not None else None

    # --- all of it ---

    def check(self) -> None:
        """Compare what operators were told with the one chain of committed commands."""
        chain = [self._entry(link) for link in self.chain]
        # Calls without an answer bound nothing but the beginning of their command.
        sent = [_command_call(intent, intent.began_ms) for intent in self.intents]
        check_linearizable(chain, [*sent, *(_answered(call) for call in self.calls)], self.reads)

    def _entry(self, link: Link) -> ChainEntry:
        intent = self._intents[_key(link.command)]
        return ChainEntry(intent.marker, link.command.base_version, link.version, intent.marker)

    def _marker(self, place: int) -> int:
        return self._intents[_key(self.chain[place - 1].command)].marker if place else 0


def _command_call(intent: Intent, began_ms: float) -> linearizability.CommandCall:
    return linearizability.CommandCall(
        intent.marker, intent.command.base_version, intent.version, began_ms, is_valid=intent.is_proper
    )


def _answered(call: CommandCall) -> linearizability.CommandCall:
    assert call.result is not None and call.ended_ms is not None
    notified_version = None if call.result.outcome is CommandOutcome.COMMITTED else call.result.version
    return attrs.evolve(
        _command_call(call.intent, call.began_ms),
        end_ms=call.ended_ms,
        outcome=call.result.outcome,
        notified_version=notified_version,
    )


def _key(command: Command) -> tuple[str, int, bytes]:
    return command.kind.value, command.base_version, command.body


def _knows(machine: ControlMachine, instance: str, state: UpstreamState) -> bool:
    if machine.core is None:
        return False
    for record in machine.core.upstreams(machine.clock.now_ms):
        if record.instance == instance:
            known = state_named(record.state)
            return furthest(known, state) is known
    return False
