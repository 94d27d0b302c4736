"""Stories of long states: a member that comes back gets one snapshot, in chunks, whatever goes on."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

from madderwind.messages.replication import (
    InstallSnapshot,
    replication_messages,
)
from madderwind.replication.log_shipping import LogShipping
from madderwind.replication.peer import Peer
from madderwind.replication.snapshot_transfer import (
    CHUNK_BYTES,
    WINDOW_BYTES,
    SnapshotReceiver,
    SnapshotSender,
)
from madderwind.replication.times import ReplicationTimes
from tests.replication.catch_up import STATE_BYTES, CatchUp, LargeRegister, Return, large_states

LONG_STATE = STATE_BYTES[16_000]
MIDDLE_STATE = STATE_BYTES[2_000]
# A quarter of `catch_up_s`, which is 4 s.
CATCH_UP_MS = 1_000.0
# 32 Mbit/s: the long state alone takes 1.1 s.
SLOW_LINK_BYTES_PER_MS = 4_000.0


def returned(state_bytes: int = LONG_STATE, command_bytes: int = 200, wiped: bool = False) -> CatchUp:
    with large_states():
        return Return(state_bytes, 1, wiped, command_bytes).run()


class AMemberComesBack(unittest.TestCase):
    def assert_smooth(self, catch_up: CatchUp) -> None:
        self.assertLess(catch_up.current_ms, CATCH_UP_MS)
        self.assertEqual((1, 1), (catch_up.snapshots, catch_up.primaries))

    def test_given_three_commands_a_second_when_it_restarts_then_it_is_soon_current(self) -> None:
        self.assert_smooth(returned())

    def test_given_three_commands_a_second_when_its_disk_was_lost_then_it_is_soon_current(self) -> None:
        self.assert_smooth(returned(wiped=True))

    def test_given_whole_replacements_when_it_restarts_then_it_is_soon_current(self) -> None:
        self.assert_smooth(returned(MIDDLE_STATE, command_bytes=MIDDLE_STATE))

    def test_given_a_slow_link_and_quick_commands_then_one_snapshot_is_enough(self) -> None:
        with large_states(), patch("madderwind.replication.log.RETAINED_ENTRIES", 2):
            story = Return(LONG_STATE, 1, True, 200, interval_ms=100.0)
            story.fleet.network.bytes_per_ms = SLOW_LINK_BYTES_PER_MS
            catch_up = story.run()
        self.assertEqual((1, 1), (catch_up.snapshots, catch_up.primaries))
        self.assertLess(catch_up.current_ms, 2 * CATCH_UP_MS)


class OnTheWay(unittest.TestCase):
    """A member returns; something goes wrong with its snapshot."""

    def setUp(self) -> None:
        patches = large_states()
        patches.__enter__()
        self.addCleanup(patches.__exit__, None, None, None)
        self.story = Return(2 * MIDDLE_STATE, 1, False, 200)
        primary = self.story.fleet.primary()
        assert primary is not None
        self.primary = primary
        self.machine = next(each for each in self.story.fleet.machines.values() if each is not primary)
        self.chunks = 0
        self.bytes_to: dict[str, int] = {}
        network = self.story.fleet.network
        ordinary_send = network.send

        def send(sender: str, receiver: str, data: bytes) -> None:
            self.bytes_to[receiver] = self.bytes_to.get(receiver, 0) + len(data)
            message = replication_messages.decode(data)
            if isinstance(message, InstallSnapshot):
                self.chunks += 1
                self.on_chunk(message)
            ordinary_send(sender, receiver, data)

        network.send = send  # type: ignore[method-assign]
        self.at_chunk: dict[int, Any] = {}

    def on_chunk(self, chunk: InstallSnapshot) -> None:
        action = self.at_chunk.pop(self.chunks, None)
        if action is not None:
            self.story.fleet.clock.after(0.0, action)

    def bring_back(self) -> None:
        self.machine.kill()
        self.story._go_on(2_000.0)
        self.machine.start()

    def assert_current(self, within_ms: float) -> None:
        self.story._go_on(within_ms)
        self.assertTrue(self.story._is_current(self.machine))

    def test_given_a_machine_that_is_away_then_no_state_is_sent_to_it(self) -> None:
        self.machine.kill()
        self.story._go_on(1_000.0)
        self.bytes_to.clear()
        self.story._go_on(3_000.0)
        self.assertLess(self.bytes_to[self.machine.address], CHUNK_BYTES)

    def test_given_chunks_that_are_lost_then_they_alone_are_sent_again(self) -> None:
        network = self.story.fleet.network

        def cut() -> None:
            network.cut_both(self.primary.address, self.machine.address)
            self.story.fleet.clock.after(100.0, network.heal)

        self.at_chunk[5] = cut
        self.bring_back()
        self.assert_current(CATCH_UP_MS)
        self.assertEqual(1, self.snapshots())
        self.assertLess(self.chunks, 2 * MIDDLE_STATE / CHUNK_BYTES + 2 * WINDOW_BYTES / CHUNK_BYTES)

    def test_given_a_receiver_that_restarts_then_it_gets_the_whole_again(self) -> None:
        def restart() -> None:
            self.machine.kill()
            self.story.fleet.clock.after(50.0, self.machine.start)

        self.at_chunk[8] = restart
        self.bring_back()
        self.assert_current(2 * CATCH_UP_MS)

    def test_given_a_receiver_that_loses_its_disk_then_its_successor_gets_the_whole(self) -> None:
        def wipe() -> None:
            self.machine.wipe()
            self.story.fleet.clock.after(50.0, self.machine.start)

        self.at_chunk[8] = wipe
        self.bring_back()
        self.assert_current(4_000.0)

    def test_given_a_primary_that_dies_meanwhile_then_the_next_one_begins_anew(self) -> None:
        def kill() -> None:
            self.primary.kill()
            self.story.fleet.clock.after(200.0, self.primary.start)

        self.at_chunk[8] = kill
        self.bring_back()
        self.assert_current(4_000.0)

    def snapshots(self) -> int:
        return self.story._snapshots()


class BothEnds(unittest.TestCase):
    STATE = bytes(range(256)) * (2 * WINDOW_BYTES // 256)

    def setUp(self) -> None:
        self.sender = SnapshotSender(3, 7, 2, self.STATE)
        self.receiver = SnapshotReceiver()

    def chunks(self, epoch: int = 3) -> list[InstallSnapshot]:
        """What the window allows now."""
        chunks = []
        while (part := self.sender.next_chunk()) is not None:
            data = self.STATE[part]
            chunks.append(InstallSnapshot("p", "r", epoch, 3, 7, 2, part.start, len(self.STATE), data))
        return chunks

    def pass_on(self, chunks: list[InstallSnapshot]) -> bytes | None:
        """The receiver takes them and answers; the state where it is whole."""
        for chunk in chunks:
            state = self.receiver.handle_chunk(chunk)
            if state is not None:
                return state
            self.sender.handle_ack(self.receiver.received)
        return None

    def test_given_no_acknowledgement_then_a_window_is_sent_and_no_more(self) -> None:
        self.assertEqual(WINDOW_BYTES, sum(len(chunk.data) for chunk in self.chunks()))
        self.assertEqual([], self.chunks())

    def test_given_acknowledgements_then_the_state_arrives(self) -> None:
        self.assertFalse(self.pass_on(self.chunks()))
        self.assertTrue(self.pass_on(self.chunks()) == self.STATE)

    def test_given_a_lost_chunk_then_those_after_it_are_dropped_and_the_sender_goes_back(self) -> None:
        self.pass_on(self.chunks()[:2])
        self.sender.rewind()
        again = self.chunks()
        self.assertEqual(2 * CHUNK_BYTES, again[0].offset)
        self.receiver.handle_chunk(again[1])
        self.assertEqual(2 * CHUNK_BYTES, self.receiver.received)

    def test_given_chunks_that_come_twice_then_they_count_once(self) -> None:
        first = self.chunks()
        self.pass_on(first)
        self.pass_on(first[-1:])
        self.assertTrue(self.pass_on(self.chunks()) == self.STATE)

    def test_given_a_later_epoch_of_the_same_primary_then_it_goes_on(self) -> None:
        self.pass_on(self.chunks()[:2])
        self.sender.rewind()
        again = self.chunks(epoch=4)
        self.assertEqual(2 * CHUNK_BYTES, again[0].offset)
        self.assertFalse(self.pass_on(again))
        self.assertTrue(self.pass_on(self.chunks(epoch=4)) == self.STATE)

    def test_given_another_primary_then_nothing_of_the_former_is_used(self) -> None:
        self.pass_on(self.chunks()[:4])
        other = InstallSnapshot("q", "r", 4, 4, 7, 2, 0, len(self.STATE), b"other")
        self.receiver.handle_chunk(other)
        self.assertEqual(len(b"other"), self.receiver.received)

    def test_given_a_receiver_that_began_anew_then_the_sender_does(self) -> None:
        self.pass_on(self.chunks()[:4])
        self.assertFalse(self.sender.handle_ack(0))
        self.assertEqual(0, self.chunks()[0].offset)


def resend_without_regard_to_progress(peer: Peer, now_ms: float, times: ReplicationTimes) -> bool:
    """As if each snapshot was one message, sent again from its beginning where it isn't installed in time."""
    if peer.snapshot is None or peer.waiting_since_ms is None:
        return now_ms - peer.sent_ms > times.resend_ms
    if now_ms - peer.waiting_since_ms <= times.resend_ms:
        return False
    peer.snapshot, peer.waiting_since_ms = None, now_ms
    return True


class MutantsAreFound(unittest.TestCase):
    def assert_found(self, name: str) -> None:
        result = unittest.TestResult()
        AMemberComesBack(name).run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)

    def test_a_snapshot_begun_anew_without_regard_to_its_progress(self) -> None:
        with patch.object(Peer, "is_resend_due", resend_without_regard_to_progress):
            self.assert_found("test_given_a_slow_link_and_quick_commands_then_one_snapshot_is_enough")

    def test_a_log_that_is_not_retained_for_those_on_their_way(self) -> None:
        with patch.object(LogShipping, "needed_after", return_value=None):
            self.assert_found("test_given_a_slow_link_and_quick_commands_then_one_snapshot_is_enough")

    def test_a_snapshot_older_than_its_index(self) -> None:
        def old(register: LargeRegister) -> bytes:
            return ordinary(_without_last(register))

        ordinary = LargeRegister.snapshot
        with patch.object(LargeRegister, "snapshot", old):
            self.assert_found(
                "test_given_three_commands_a_second_when_its_disk_was_lost_then_it_is_soon_current"
            )


def _without_last(register: LargeRegister) -> LargeRegister:
    older = register.copy()
    del older.taken[-1:]
    return older


if __name__ == "__main__":
    unittest.main()
