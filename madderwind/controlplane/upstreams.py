"""The control plane's part that deals with upstreams: their calls, and the exchange with peers about them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from madderwind.controlplane.departures import Departures
from madderwind.controlplane.effects import Effect, SaveRegistry, SendToPeer, UpstreamAnswered
from madderwind.controlplane.peers import Peers
from madderwind.distribution.publisher import Delivery
from madderwind.log_events.control_plane import UPSTREAM_CHANGED
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import (
    FinalStateConfirmed,
    FinalStateNotice,
    LivenessReport,
    PeeringMessage,
    RegistryGossip,
    RegistryRequest,
)
from madderwind.registry.heartbeats import read_heartbeat
from madderwind.registry.registry import Registry
from madderwind.registry.states import UpstreamState, furthest, state_named

LIVENESS_INTERVAL_MS = 1_000.0
SILENCE_CHECK_INTERVAL_MS = 250.0
# All upstreams are told to a peer that lacks some, at most so often.
SNAPSHOT_INTERVAL_MS = 500.0

Publish = Callable[[Sequence[UpstreamRecord]], list[Delivery]]


class Upstreams:
    """Registry, departures and their exchange with the peers. `publish` tells the data planes;
    `is_in_touch`: whether a majority was reached a moment ago, so that peers can be told."""

    def __init__(
        self,
        own_address: str,
        heartbeat_ms: float,
        tolerance: int,
        peers: Peers,
        publish: Publish,
        is_in_touch: Callable[[], bool],
    ) -> None:
        self._registry = Registry(heartbeat_ms)
        self._departures = Departures(tolerance + 1)
        self._own_address = own_address
        self._on_disk: dict[str, UpstreamState] = {}  # instances that drain or are gone, as last saved
        self._unconfirmed: set[tuple[str, str]] = set()  # peers and the instances they wait to have confirmed
        self._tolerance = tolerance
        self._peers = peers
        self._publish = publish
        self._is_in_touch = is_in_touch
        self._liveness_due_ms = self._silence_due_ms = 0.0
        self._snapshot_told_ms: dict[str, float] = {}

    @property
    def is_at_rest(self) -> bool:
        """Whether no upstream waits for an acknowledgement."""
        return not self._departures.is_any_waiting

    def snapshot(self, now_ms: float) -> tuple[UpstreamRecord, ...]:
        """All upstreams that are known."""
        return self._registry.snapshot(now_ms)

    def restore(self, now_ms: float, records: Sequence[UpstreamRecord]) -> None:
        """Know again what this process knew before its start, as if heard now; a hint until heard again."""
        self._registry.restore(
            now_ms, (msgspec.structs.replace(record, heartbeat_age_ms=0.0) for record in records)
        )

    def saved(self, records: Sequence[UpstreamRecord]) -> list[Effect]:
        """The registry's copy with these records is on disk: states that wait for that are confirmed."""
        states = {record.instance: state_named(record.state) for record in records}
        self._on_disk = {name: state for name, state in states.items() if state is not UpstreamState.READY}
        effects: list[Effect] = []
        for instance, state in self._on_disk.items():
            effects += self._departures.confirm(self._own_address, instance, state)
        for peer, instance in [each for each in self._unconfirmed if each[1] in self._on_disk]:
            self._unconfirmed.discard((peer, instance))
            effects.append(SendToPeer(peer, _noted(instance, self._on_disk[instance])))
        return effects

    # --- upstreams call ---

    def heartbeat(self, now_ms: float, call: int, instance: str, body: bytes) -> list[Effect]:
        """An upstream's heartbeat; raises InvalidHeartbeat."""
        heartbeat = read_heartbeat(instance, body)
        changed = self._registry.heartbeat(now_ms, instance, heartbeat)
        return [*self._tell(changed), *self._answer(now_ms, call, instance)]

    def deregister(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """An upstream says that it ends."""
        changed = self._registry.deregister(now_ms, instance)
        return [*self._tell(changed), *self._answer(now_ms, call, instance)]

    # --- peers tell ---

    def registry_for(self, now_ms: float, address: str) -> SendToPeer:
        """All that is known, for a peer."""
        self._snapshot_told_ms[address] = now_ms
        return SendToPeer(address, RegistryGossip(self._registry.snapshot(now_ms)))

    def peer_message(self, now_ms: float, sender: str, message: PeeringMessage) -> list[Effect]:
        """A peer's message, where it concerns upstreams."""
        if isinstance(message, LivenessReport):
            return self._take_liveness(now_ms, sender, message)
        if isinstance(message, RegistryGossip):
            return [*self._publish(self._registry.merge(now_ms, message.upstreams))]
        if isinstance(message, FinalStateNotice):
            return self._note_final_state(now_ms, sender, message.upstream)
        if isinstance(message, FinalStateConfirmed):
            return [*self._departures.confirm(sender, message.instance, state_named(message.state))]
        if isinstance(message, RegistryRequest):
            return self._tell_registry_again(now_ms, sender)
        return []

    # --- time passes ---

    def tick(self, now_ms: float) -> list[Effect]:
        """What is due by time."""
        effects: list[Effect] = []
        if now_ms >= self._silence_due_ms:
            self._silence_due_ms = now_ms + SILENCE_CHECK_INTERVAL_MS
            effects += self._publish(self._registry.tick(now_ms, self._peers.all_reported(now_ms)))
        if now_ms >= self._liveness_due_ms:
            self._liveness_due_ms = now_ms + LIVENESS_INTERVAL_MS
            effects += self._to_peers(LivenessReport(self._registry.liveness(now_ms)))
            self._forget_unknown()
        effects += self._departures.refuse_late(now_ms)
        for notice in self._departures.to_repeat(now_ms):
            effects += self._to_peers(notice)
        return effects

    # --- parts ---

    def _forget_unknown(self) -> None:
        """Keep nothing about instances that the registry has forgotten or had no room for."""
        self._departures.forget_all_but(self._registry)
        self._unconfirmed = {each for each in self._unconfirmed if each[1] in self._registry}

    def _tell(self, changed: UpstreamRecord | None) -> list[Effect]:
        """Tell data planes and peers of a change that was learned here."""
        if changed is None:
            return []
        line = UPSTREAM_CHANGED.line(instance=changed.instance, service=changed.service, state=changed.state)
        return [*self._publish((changed,)), *self._to_peers(RegistryGossip((changed,))), line]

    def _answer(self, now_ms: float, call: int, instance: str) -> list[Effect]:
        """Acknowledge a call at once, or once the state that it leaves the instance in can't be lost."""
        if instance not in self._registry:  # there are too many
            return [UpstreamAnswered(call, is_accepted=False)]
        record = self._registry.departing(now_ms, instance)
        if record is None:
            return [UpstreamAnswered(call, is_accepted=self._keeps_known(instance))]
        begun = self._departures.begin(now_ms, call, record)
        if isinstance(begun, UpstreamAnswered):
            return [begun]
        effects: list[Effect] = [*self._to_peers(begun)]
        if self._is_on_disk(record):
            return [
                *effects,
                *self._departures.confirm(self._own_address, instance, state_named(record.state)),
            ]
        return [*effects, SaveRegistry()]

    def _is_on_disk(self, record: UpstreamRecord) -> bool:
        """Whether the saved copy holds the record's state, or a later one."""
        saved = self._on_disk.get(record.instance, UpstreamState.READY)
        return furthest(saved, state_named(record.state)) is saved

    def _keeps_known(self, instance: str) -> bool:
        """Whether an instance that does not leave is known elsewhere, or others are reached to learn of it.
        Else it is to call another control plane, though what it says is taken here, too."""
        if not self._tolerance or self._registry.is_known_elsewhere(instance):
            return True
        if not self._is_in_touch():
            return False
        self._registry.note_told(instance)
        return True

    def _take_liveness(self, now_ms: float, sender: str, message: LivenessReport) -> list[Effect]:
        self._peers.reported(now_ms, sender)
        if self._registry.merge_liveness(now_ms, message.observed):
            return []
        return [SendToPeer(sender, RegistryRequest())]

    def _note_final_state(self, now_ms: float, sender: str, record: UpstreamRecord) -> list[Effect]:
        """Tell the data planes, and confirm the state to the sender once it is on disk here."""
        told = self._publish(self._registry.merge(now_ms, (record,)))
        if state_named(record.state) is UpstreamState.READY:
            return [*told]
        if self._is_on_disk(record):
            return [*told, SendToPeer(sender, _noted(record.instance, state_named(record.state)))]
        self._unconfirmed.add((sender, record.instance))
        return [*told, SaveRegistry()]

    def _tell_registry_again(self, now_ms: float, address: str) -> list[Effect]:
        if now_ms - self._snapshot_told_ms.get(address, -SNAPSHOT_INTERVAL_MS) < SNAPSHOT_INTERVAL_MS:
            return []
        return [self.registry_for(now_ms, address)]

    def _to_peers(self, message: PeeringMessage) -> list[SendToPeer]:
        return [SendToPeer(address, message) for address in self._peers.addresses()]


def _noted(instance: str, state: UpstreamState) -> FinalStateConfirmed:
    return FinalStateConfirmed(instance, "gone" if state is UpstreamState.GONE else "draining")
