"""What copies know of one another, on one clock: news, deaths, pauses, cuts, and messages that are none."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from madderwind.standalone.gossip import wire
from madderwind.standalone.gossip.members import State
from madderwind.standalone.gossip.membership import Membership, Send
from madderwind.standalone.gossip.wire import LONGEST, BadMessage, Datagram, Item, Kind, Purpose, Seen
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
def test_messages_read_back_as_they_were_written(purpose: Purpose, speaker: int, items: list[Item]) -> None:
    datagram = Datagram(purpose, speaker, 7, 9, 3, tuple(items))
    data = wire.write(datagram, SEED)
    assert len(data) <= LONGEST and wire.read(data, SEED) == datagram


@given(st.data())
def test_damaged_cut_foreign_and_later_words_are_told_apart(data: st.DataObject) -> None:
    good = wire.write(Datagram(Purpose.PING, 1, 1, 1, 2, (Item(Kind.STATE, 1, 1, 1, b"abc"),)), SEED)
    place = data.draw(st.integers(0, len(good) - 1))
    bad = bytearray(good)
    bad[place] ^= data.draw(st.integers(1, 255))
    reasons = {range(4): "foreign", range(4, 5): "version"}
    said = next((reason for at, reason in reasons.items() if place in at), "damaged")
    for raw, reason in (
        (bytes(bad), said),
        (good[: data.draw(st.integers(22, len(good) - 1))], "damaged"),
        (good[:21], "short"),
        (good + bytes(LONGEST), "long"),
    ):
        with pytest.raises(BadMessage, match=reason):
            wire.read(raw, SEED)
    with pytest.raises(BadMessage, match="damaged"):
        wire.read(good, wire.seed_of("another fleet"))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_no_words_do_harm(data: bytes) -> None:
    copy = Membership(0, 3, 1, 1, "f")
    assert copy.receive(0.0, 1, data) == []
    checked = wire.MAGIC + data  # right up to the sum
    assert copy.receive(1.0, 1, checked) == []
    assert all(member.state is State.ALIVE for member in copy.members.all.values())


def test_an_unknown_kind_is_passed_over_and_the_rest_is_read() -> None:
    later = Item(200, 1, 1, 1, b"of a later version")
    data = wire.write(Datagram(Purpose.NEWS, 1, 1, 1, 2, (later, Item(Kind.STATE, 1, 1, 5, b"abc"))), SEED)
    assert [item.payload for item in wire.read(data, SEED).items] == [b"abc"]


def test_a_number_counts_once_in_any_order() -> None:
    chance, seen = random.Random(1), Seen()
    numbers = [n + chance.randrange(20) for n in range(500)]
    fresh = [n for n in numbers if seen.fresh(n)]
    assert len(fresh) == len(set(fresh)) and set(numbers) - set(fresh) == set()
    assert not seen.fresh(1)  # too old to tell


def test_a_flood_and_a_strangers_number_are_passed_over() -> None:
    copy = Membership(0, 3, 1, 1, "f")
    messages = [wire.write(Datagram(Purpose.NEWS, 1, 1, n, 2), SEED) for n in range(200)]
    for data in messages:
        copy.receive(0.0, 1, data)
    copy.receive(0.0, 2, messages[0])
    assert copy.counts["heard"] <= 50 and copy.counts["flood"] >= 150 and copy.counts["foreign"] == 1


@pytest.mark.parametrize(("copies", "loss"), [(3, 0.0), (12, 0.1), (40, 0.3)])
def test_news_is_everywhere_and_the_dead_alone_are_held_dead(copies: int, loss: float) -> None:
    spread = Spread(name="s", question="?", copies=copies, loss=loss, killed=1, for_s=30)
    record = play(spread, {}, 1)
    assert record.reached > 0.99 and record.all_ms < 1000 and record.states_known > 0.98
    assert 0 < record.dead_known_ms < 12_000 and record.false_dead == 0
    assert record.sent_most_per_s <= spread.datagrams_per_s * 1.05


def test_a_pause_is_no_death_of_the_others_and_ends() -> None:
    """Ten seconds: the paused one may be held dead meanwhile, and holds nobody so when it wakes."""
    spread = Spread(name="s", question="?", copies=12, loss=0.1, killed=0, paused=2, for_s=40)
    world = World(spread, 2)
    world.run()
    for copy in world._copies:
        assert {member.state for member in copy.members.all.values()} == {State.ALIVE}
    assert world.false_dead == 0


class Net:
    """Copies with links that a test may cut, one way or both."""

    def __init__(self, copies: int) -> None:
        self.now = 0.0
        self.copies = [Membership(n, copies, n, 1, "f") for n in range(copies)]
        self.cut: set[tuple[int, int]] = set()
        self.silent: set[int] = set()

    def run(self, for_ms: float) -> None:
        end_ms = self.now + for_ms
        while self.now < end_ms:
            self.now += 5.0
            mail = [
                (n, action)
                for n, copy in enumerate(self.copies)
                if n not in self.silent and copy.due_ms <= self.now
                for action in copy.tick(self.now)
            ]
            while mail:
                sender, action = mail.pop(0)
                if not isinstance(action, Send) or (sender, action.peer) in self.cut:
                    continue
                if action.peer not in self.silent:
                    mail += [
                        (action.peer, a)
                        for a in self.copies[action.peer].receive(self.now, sender, action.data)
                    ]

    def held(self, state: State) -> set[tuple[int, int]]:
        return {
            (n, m)
            for n, c in enumerate(self.copies)
            for m, held in c.members.all.items()
            if held.state is state
        }


def test_a_one_way_link_is_no_death() -> None:
    """Others answer for it: half of the links pass one way only."""
    net = Net(8)
    net.cut = {(a, b) for a in range(8) for b in range(8) if a < b and (a + b) % 2}
    net.run(40_000)
    assert net.held(State.DEAD) == set()


def test_a_cut_in_two_heals() -> None:
    net = Net(6)
    net.run(2000)
    net.cut = {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    net.run(30_000)
    assert net.held(State.DEAD) == net.cut  # each side holds the other dead, and itself alive
    net.cut = set()
    net.run(20_000)
    assert net.held(State.DEAD) == net.held(State.SUSPECT) == set()


def test_one_accuser_alone_kills_nobody_and_a_new_life_speaks_for_itself() -> None:
    net = Net(5)
    net.run(2000)
    liar = net.copies[1]
    for at in range(40):  # it calls copy 2 dead, over and over, to all
        item = Item(Kind.DEAD, 2, net.copies[2].life, 1)
        for peer in (0, 3, 4, 2):
            liar._number += 1
            data = wire.write(Datagram(Purpose.NEWS, 1, liar.life, liar._number, wire.NOBODY, (item,)), SEED)
            net.copies[peer].receive(net.now, 1, data)
        net.run(100 + at)
    net.run(3000)
    assert {pair for pair in net.held(State.DEAD) if pair[0] != 1} == set()
    assert net.copies[2].life > 1


def test_a_copy_that_starts_anew_learns_what_was_told() -> None:
    net = Net(6)
    for n, copy in enumerate(net.copies):
        copy.tell(net.now, bytes([n] * 3))
    net.run(5000)
    net.silent.add(4)
    net.run(20_000)
    assert {m for _, m in net.held(State.DEAD)} == {4}
    net.silent.clear()
    net.copies[4] = Membership(4, 6, 99, 2, "f")
    net.run(3000)
    assert {n: item.payload[0] for n, item in net.copies[4].states.items()} == {0: 0, 1: 1, 2: 2, 3: 3, 5: 5}
    assert not {pair for pair in net.held(State.DEAD) if 4 in pair}


def test_a_spread_is_read_strictly_and_its_table_has_a_line_a_run(tmp_path: Path) -> None:
    path = tmp_path / "words.yaml"
    path.write_text("{name: w, question: q, for_s: 14, killed: 0, vary: {way: [gossip, all], copies: [3]}}")
    records = [play(*run) for run in plays(read_spread(path))]
    assert [r.reached for r in records] == [1.0, 1.0] and table(records).count("\n") == 4
    for wrong in ("{name: w, question: q, copeis: 3}", "{name: w, question: q, vary: {loss: [2]}}"):
        path.write_text(wrong)
        with pytest.raises(ExperimentError, match="words.yaml"):
            read_spread(path)
