"""Records what the participants of a campaign observed, and checks it against the system's invariants."""

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
from tests.campaign.links import MAX_DELAY_MS
from tests.campaign.records import CommandCall, Intent, marker_in
from tests.fleet import linearizability
from tests.fleet.clock import Clock
from tests.fleet.history import MOST_SEEDS, Violation
from tests.fleet.linearizability import ChainEntry, ReadCall, check_linearizable

# A data plane may be unaware of an acknowledged version that it has not applied for this long.
CURRENT_WITHIN_MS = CURRENT_MS + 4 * MAX_DELAY_MS
# A disk that held a command may be lost between the command's commit and its acknowledgement.
RECENT_LOSS_MS = 1_500.0
# Ages are reported in whole milliseconds.
AGE_RESOLUTION_MS = 1.0
# The disks are read at each of the first acknowledgements, then at one in CHECKED_SHARE.
FULLY_CHECKED_ACKNOWLEDGEMENTS, CHECKED_SHARE = 40, 8


class History:
    """Implements the observer protocols; raises Violation or adds a note when an invariant fails."""

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
        self.final_states: dict[str, tuple[UpstreamState, float]] = {}  # acknowledged state and its time
        self.longest_effect_ms = 0.0  # from the last sending of a command until a replica committed it
        self.notes: dict[str, str] = {}  # the first violation of each kind that does not end the campaign
        self._first_notified_ms: dict[tuple[str, UpstreamState], float] = {}
        self._positions: dict[int, int] = {0: 0}  # by version
        self._committed: dict[tuple[str, int], int] = {}  # positions, by address and incarnation
        self._views: dict[int, View] = {}
        self._intents: dict[tuple[str, int, bytes], Intent] = {}
        self._newest_acknowledged: list[tuple[float, int]] = []  # time, highest version so far

    def note(self, kind: str, message: str) -> None:
        """Record a violation without ending the campaign, which may find more."""
        self.notes.setdefault(kind, f"{kind}: {message}")

    # Commands

    def next_marker(self) -> int:
        """Return a number that identifies a new command."""
        return len(self.intents) + 1

    def add(self, intent: Intent) -> None:
        """Add a command that an operator is about to send."""
        self.intents.append(intent)
        self._intents[_key(intent.command)] = intent

    def command_acknowledged(self, machine: ControlMachine, command: Command) -> None:
        """Check that a command that a machine is about to acknowledge is on enough disks."""
        intent = self._intents[_key(command)]
        if intent.acknowledged_ms is not None or not self._checks_disks():
            return
        holders = {other.address for other in self._machines() if other.disk.holds(command)}
        recent_ms = self._clock.now_ms - RECENT_LOSS_MS
        lost = sum(at_ms > recent_ms for at_ms in self.disk_losses_ms)
        if len(holders) + lost <= self._tolerance:
            raise Violation(
                f"{machine.address} acknowledges {intent}, which is on disk only at {sorted(holders)}"
            )

    def answered(self, call: CommandCall) -> None:
        """Record a call with a command that got a definite answer."""
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
        """Record a read that was answered."""
        self.reads.append(call)

    def newest_acknowledged(self, before_ms: float) -> int:
        """Return the highest version acknowledged before a time."""
        index = bisect_left(self._newest_acknowledged, (before_ms, 0))
        return self._newest_acknowledged[index - 1][1] if index else 0

    def _checks_disks(self) -> bool:
        count = len(self.acknowledged)
        return count < FULLY_CHECKED_ACKNOWLEDGEMENTS or count % CHECKED_SHARE == 0

    # Replicas

    def committed(self, machine: ControlMachine) -> None:
        """Check a replica whose commit position advanced."""
        newest = machine.committed.newest
        position = newest.position if newest is not None else 0
        incarnation = (machine.address, machine.incarnation)
        checked = self._committed.get(incarnation, 0)
        if position < checked:
            raise Violation(f"{machine.address} went back from {checked} commands to {position}")
        self._committed[incarnation] = position
        self._compare(machine, newest, min(checked, len(self.chain)))

    def _compare(self, machine: ControlMachine, newest: Link | None, checked: int) -> None:
        links: list[Link] = []
        while newest is not None and newest.position > checked:
            links.append(newest)
            newest = newest.parent
        for link in reversed(links):
            if link.position > len(self.chain):
                self._extend(machine, link)
            elif self.chain[link.position - 1].command != link.command:
                other = self._intents[_key(self.chain[link.position - 1].command)]
                mine = self._intents[_key(link.command)]
                raise Violation(f"{machine.address} has {mine} at {link.position}, others have {other}")

    def _extend(self, machine: ControlMachine, link: Link) -> None:
        version_before = self.chain[-1].version if self.chain else 0
        intent = self._intents.get(_key(link.command))
        if intent is None or not intent.is_applicable:
            raise Violation(
                f"{machine.address} commits {intent or 'a command that was never sent'} at {link.position}"
            )
        if link.command.base_version != version_before or link.version <= version_before:
            raise Violation(f"{machine.address} commits {intent} on top of {version_before}")
        self.longest_effect_ms = max(self.longest_effect_ms, self._clock.now_ms - intent.last_sent_ms)
        self.chain.append(link)
        self._positions[link.version] = link.position

    def freshness_notified(self, machine: ControlMachine, message: Freshness) -> None:
        """Check that a machine reports a version as fresh only if no newer one was acknowledged by then."""
        if message.age_ms is None:
            return
        fresh_ms = self._clock.now_ms - message.age_ms - AGE_RESOLUTION_MS
        needed = self.newest_acknowledged(fresh_ms)
        if message.version < needed:
            raise Violation(
                f"{machine.address} reports {message.version} fresh as of {fresh_ms:.0f} ms, when {needed} "
                f"was acknowledged"
            )

    def view_known(self, machine: ControlMachine, view: View) -> None:
        """Check a view that a replica considers chosen."""
        known = self._views.setdefault(view.epoch, view)
        if known != view:
            raise Violation(f"two views of one epoch: {known} and {view}")
        if len(view.members) > max(2 * self._tolerance + 1, MOST_SEEDS):
            raise Violation(f"more members than needed: {view}")
        if len(view.in_sync) <= self._tolerance:
            raise Violation(
                f"the in-sync set is smaller than the number of replicas that have to hold a command: {view}"
            )

    # Data planes

    def configuration_applied(self, data_plane: DataPlane, version_before: int) -> None:
        """Check the configuration that a data plane has applied."""
        version = data_plane.version
        if version <= version_before:
            raise Violation(f"{data_plane.address} goes back from {version_before} to {version}")
        marker = marker_in(data_plane.subscriber.document)
        if version not in self._positions or self._marker(self._positions[version]) != marker:
            raise Violation(
                f"{data_plane.address} applied {version} of command {marker}, which is not committed"
            )

    def data_plane_ticked(self, data_plane: DataPlane) -> None:
        """Check that a data plane stops considering an outdated version current in time."""
        now_ms = self._clock.now_ms
        needed = self.newest_acknowledged(now_ms - CURRENT_WITHIN_MS)
        if data_plane.version < needed and data_plane.subscriber.is_current(now_ms):
            self.note(
                "freshness",
                f"{data_plane.address} considers {data_plane.version} current at {now_ms:.0f} ms, "
                f"{CURRENT_WITHIN_MS:.0f} ms after {needed} was acknowledged",
            )

    # Upstreams

    def state_notified(self, instance: str, state: UpstreamState) -> None:
        """Record that an upstream begins a call that reports its state."""
        self._first_notified_ms.setdefault((instance, state), self._clock.now_ms)

    def state_accepted(self, machine: ControlMachine, instance: str, state: UpstreamState) -> None:
        """Check a state that is about to be acknowledged: a final one has to be known elsewhere too."""
        if state is UpstreamState.READY or self._known_final(instance) is state:
            return
        knowing = [other.address for other in self._machines() if _knows(other, instance, state)]
        notified_ms = self._first_notified_ms[instance, state]
        ended = sum(other.incarnation_ended_ms > notified_ms for other in self._machines())
        if len(knowing) + ended <= self._tolerance:
            raise Violation(
                f"{machine.address} acknowledges that {instance} is {state.value}, known only at {knowing}"
            )

    def state_acknowledged(self, now_ms: float, instance: str, state: UpstreamState) -> None:
        """Record that an upstream received the acknowledgement of a state."""
        if state is UpstreamState.READY:
            return
        known = self._known_final(instance)
        if known is None or furthest(known, state) is not known:
            self.final_states[instance] = (state, now_ms)

    def _known_final(self, instance: str) -> UpstreamState | None:
        final = self.final_states.get(instance)
        return final[0] if final is not None else None

    # Final check

    def check(self) -> None:
        """Check that the answers to operators are linearizable with the chain of committed commands."""
        chain = [self._entry(link) for link in self.chain]
        # An unanswered call constrains only the earliest start of its command.
        sent = [_command_call(intent, intent.began_ms) for intent in self.intents]
        check_linearizable(chain, [*sent, *(_answered_call(call) for call in self.calls)], self.reads)

    def _entry(self, link: Link) -> ChainEntry:
        intent = self._intents[_key(link.command)]
        return ChainEntry(intent.marker, link.command.base_version, link.version, intent.marker)

    def _marker(self, position: int) -> int:
        return self._intents[_key(self.chain[position - 1].command)].marker if position else 0


def _command_call(intent: Intent, began_ms: float) -> linearizability.CommandCall:
    return linearizability.CommandCall(
        intent.marker, intent.command.base_version, intent.version, began_ms, is_valid=intent.is_applicable
    )


def _answered_call(call: CommandCall) -> linearizability.CommandCall:
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
