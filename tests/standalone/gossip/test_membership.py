"""Gossip between copies on a simulated clock: updates, failures, pauses, partitions and invalid messages."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderwind.standalone.gossip import wire
from madderwind.standalone.gossip.members import State
from madderwind.standalone.gossip.membership import Membership, Send
from madderwind.standalone.gossip.wire import (
    MAX_DATAGRAM_BYTES,
    BadMessage,
    Datagram,
    Item,
    Kind,
    Purpose,
    SequenceWindow,
)
from madderwind.testing.simulation.experiment import ExperimentError, plays
from madderwind.testing.simulation.messages import Spread, World, play, table
from madderwind.testing.simulation.messages import read as read_spread

SEED = wire.seed_of("f")
ITEMS = st.builds(
    Item,
    kind=st.sampled_from(Kind),
    about=st.integers(0, 0xFFFF),
    life=st.integers(0, 2**32 - 1),
    version=st.integers(0, 2**32 - 1),
    payload=st.binary(max_size=40),
)


@given(st.sampled_from(Purpose), st.integers(0, 0xFFFE), st.lists(ITEMS, max_size=4))
def test_encoded_messages_decode_to_the_same_datagram(
    purpose: Purpose, speaker: int, items: list[Item]
) -> None:
    datagram = Datagram(purpose, speaker, 7, 9, 3, tuple(items))
    data = wire.write(datagram, SEED)
    assert len(data) <= MAX_DATAGRAM_BYTES and wire.read(data, SEED) == datagram


@given(st.data())
def test_damaged_truncated_foreign_and_later_messages_are_rejected_by_reason(data: st.DataObject) -> None:
    valid = wire.write(Datagram(Purpose.PING, 1, 1, 1, 2, (Item(Kind.STATE, 1, 1, 1, b"abc"),)), SEED)
    place = data.draw(st.integers(0, len(valid) - 1))
    damaged = bytearray(valid)
    damaged[place] ^= data.draw(st.integers(1, 255))
    reasons = {range(4): "foreign", range(4, 5): "version"}
    position_reason = next((reason for at, reason in reasons.items() if place in at), "damaged")
    for raw, reason in (
        (bytes(damaged), position_reason),
        (valid[: data.draw(st.integers(22, len(valid) - 1))], "damaged"),
        (valid[:21], "short"),
        (valid + bytes(MAX_DATAGRAM_BYTES), "long"),
    ):
        with pytest.raises(BadMessage, match=reason):
            wire.read(raw, SEED)
    with pytest.raises(BadMessage, match="damaged"):
        wire.read(valid, wire.seed_of("another fleet"))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_have_no_effect(data: bytes) -> None:
    copy = Membership(0, 3, 1, 1, "f")
    assert copy.receive(0.0, 1, data) == []
    checked = wire.MAGIC + data  # valid only in its magic number
    assert copy.receive(1.0, 1, checked) == []
    assert all(member.state is State.ALIVE for member in copy.members.all.values())


def test_an_unknown_item_kind_is_skipped_and_the_rest_is_read() -> None:
    later = Item(200, 1, 1, 1, b"of a later version")
    data = wire.write(Datagram(Purpose.NEWS, 1, 1, 1, 2, (later, Item(Kind.STATE, 1, 1, 5, b"abc"))), SEED)
    assert [item.payload for item in wire.read(data, SEED).items] == [b"abc"]


def test_a_sequence_number_is_accepted_once_in_any_order() -> None:
    generator, window = random.Random(1), SequenceWindow()
    numbers = [n + generator.randrange(20) for n in range(500)]
    accept = [n for n in numbers if window.accept(n)]
    assert len(accept) == len(set(accept)) and set(numbers) - set(accept) == set()
    assert not window.accept(1)  # older than the window


def test_a_flood_and_a_mismatched_sender_number_are_rejected() -> None:
    copy = Membership(0, 3, 1, 1, "f")
    messages = [wire.write(Datagram(Purpose.NEWS, 1, 1, n, 2), SEED) for n in range(200)]
    for data in messages:
        copy.receive(0.0, 1, data)
    copy.receive(0.0, 2, messages[0])
    assert copy.counts["heard"] <= 50 and copy.counts["flood"] >= 150 and copy.counts["foreign"] == 1


@pytest.mark.parametrize(("copies", "loss"), [(3, 0.0), (12, 0.1), (40, 0.3)])
def test_updates_reach_all_copies_and_only_failed_copies_are_believed_dead(copies: int, loss: float) -> None:
    spread = Spread(name="s", question="?", copies=copies, loss=loss, killed=1, for_s=30)
    record = play(spread, {}, 1)
    assert record.reached > 0.99 and record.all_ms < 1000 and record.states_known > 0.98
    assert 0 < record.dead_known_ms < 12_000 and record.false_dead == 0
    assert record.sent_most_per_s <= spread.datagrams_per_s * 1.05


def test_a_paused_copy_does_not_declare_the_others_dead() -> None:
    """Within ten seconds a paused copy may be declared dead; once resumed, it believes nobody else dead."""
    spread = Spread(name="s", question="?", copies=12, loss=0.1, killed=0, paused=2, for_s=40)
    world = World(spread, 2)
    world.run()
    for copy in world._copies:
        assert {member.state for member in copy.members.all.values()} == {State.ALIVE}
    assert world.false_dead == 0


class FakeNetwork:
    """Copies connected by links that a test may cut in one or both directions."""

    def __init__(self, copies: int) -> None:
        self.now = 0.0
        self.copies = [Membership(n, copies, n, 1, "f") for n in range(copies)]
        self.cut_links: set[tuple[int, int]] = set()
        self.stopped_copies: set[int] = set()

    def run(self, for_ms: float) -> None:
        end_ms = self.now + for_ms
        while self.now < end_ms:
            self.now += 5.0
            in_flight = [
                (n, action)
                for n, copy in enumerate(self.copies)
                if n not in self.stopped_copies and copy.due_ms <= self.now
                for action in copy.tick(self.now)
            ]
            while in_flight:
                sender, action = in_flight.pop(0)
                if not isinstance(action, Send) or (sender, action.peer) in self.cut_links:
                    continue
                if action.peer not in self.stopped_copies:
                    in_flight += [
                        (action.peer, a)
                        for a in self.copies[action.peer].receive(self.now, sender, action.data)
                    ]

    def pairs_in_state(self, state: State) -> set[tuple[int, int]]:
        return {
            (n, m)
            for n, c in enumerate(self.copies)
            for m, member in c.members.all.items()
            if member.state is state
        }


def test_one_way_links_do_not_cause_false_deaths() -> None:
    """Half of the links work in one direction only; indirect probes get through over the others."""
    network = FakeNetwork(8)
    network.cut_links = {(a, b) for a in range(8) for b in range(8) if a < b and (a + b) % 2}
    network.run(40_000)
    assert network.pairs_in_state(State.DEAD) == set()


def test_a_partition_into_halves_heals() -> None:
    network = FakeNetwork(6)
    network.run(2000)
    network.cut_links = {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    network.run(30_000)
    assert (
        network.pairs_in_state(State.DEAD) == network.cut_links
    )  # each side believes the other dead and itself alive
    network.cut_links = set()
    network.run(20_000)
    assert network.pairs_in_state(State.DEAD) == network.pairs_in_state(State.SUSPECT) == set()


def test_a_false_accuser_is_refuted_by_a_higher_incarnation() -> None:
    network = FakeNetwork(5)
    network.run(2000)
    liar = network.copies[1]
    for at in range(40):  # repeatedly reports to all others that copy 2 is dead
        item = Item(Kind.DEAD, 2, network.copies[2].life, 1)
        for peer in (0, 3, 4, 2):
            liar._number += 1
            data = wire.write(
                Datagram(Purpose.NEWS, 1, liar.life, liar._number, wire.NO_MEMBER, (item,)), SEED
            )
            network.copies[peer].receive(network.now, 1, data)
        network.run(100 + at)
    network.run(3000)
    assert {pair for pair in network.pairs_in_state(State.DEAD) if pair[0] != 1} == set()
    assert network.copies[2].life > 1


def test_a_restarted_copy_receives_the_known_states() -> None:
    network = FakeNetwork(6)
    for n, copy in enumerate(network.copies):
        copy.tell(network.now, bytes([n] * 3))
    network.run(5000)
    network.stopped_copies.add(4)
    network.run(20_000)
    assert {m for _, m in network.pairs_in_state(State.DEAD)} == {4}
    network.stopped_copies.clear()
    network.copies[4] = Membership(4, 6, 99, 2, "f")
    network.run(3000)
    assert {n: item.payload[0] for n, item in network.copies[4].states.items()} == {
        0: 0,
        1: 1,
        2: 2,
        3: 3,
        5: 5,
    }
    assert not {pair for pair in network.pairs_in_state(State.DEAD) if 4 in pair}


def test_an_experiment_is_read_strictly_and_its_table_has_one_line_per_run(tmp_path: Path) -> None:
    path = tmp_path / "words.yaml"
    path.write_text("{name: w, question: q, for_s: 14, killed: 0, vary: {way: [gossip, all], copies: [3]}}")
    records = [play(*run) for run in plays(read_spread(path))]
    assert [r.reached for r in records] == [1.0, 1.0] and table(records).count("\n") == 4
    for wrong in ("{name: w, question: q, copeis: 3}", "{name: w, question: q, vary: {loss: [2]}}"):
        path.write_text(wrong)
        with pytest.raises(ExperimentError, match="words.yaml"):
            read_spread(path)
