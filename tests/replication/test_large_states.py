"""Catch-up with a long state: a returning member gets one snapshot in chunks, whatever happens meanwhile."""

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
from tests.replication.catch_up import STATE_BYTES, CatchUp, CatchUpScenario, LargeRegister, large_states

LONG_STATE = STATE_BYTES[16_000]
MEDIUM_STATE = STATE_BYTES[2_000]
# A quarter of `catch_up_s`, which is 4 s.
CATCH_UP_MS = 1_000.0
# 32 Mbit/s; at this rate the long state alone takes 1.1 s.
SLOW_LINK_BYTES_PER_MS = 4_000.0


def run_catch_up(state_bytes: int = LONG_STATE, command_bytes: int = 200, wiped: bool = False) -> CatchUp:
    with large_states():
        return CatchUpScenario(state_bytes, 1, wiped, command_bytes).run()


class ReturningMember(unittest.TestCase):
    def assert_fast_without_disruption(self, catch_up: CatchUp) -> None:
        self.assertLess(catch_up.current_ms, CATCH_UP_MS)
        self.assertEqual((1, 1), (catch_up.snapshots, catch_up.primaries))

    def test_given_three_commands_a_second_when_it_restarts_then_it_catches_up_quickly(self) -> None:
        self.assert_fast_without_disruption(run_catch_up())

    def test_given_three_commands_a_second_when_its_disk_was_lost_then_it_catches_up_quickly(self) -> None:
        self.assert_fast_without_disruption(run_catch_up(wiped=True))

    def test_given_commands_that_replace_the_state_when_it_restarts_then_it_catches_up_quickly(self) -> None:
        self.assert_fast_without_disruption(run_catch_up(MEDIUM_STATE, command_bytes=MEDIUM_STATE))

    def test_given_a_slow_link_and_frequent_commands_then_one_snapshot_is_enough(self) -> None:
        with large_states(), patch("madderwind.replication.log.RETAINED_ENTRIES", 2):
            scenario = CatchUpScenario(LONG_STATE, 1, True, 200, interval_ms=100.0)
            scenario.fleet.network.bytes_per_ms = SLOW_LINK_BYTES_PER_MS
            catch_up = scenario.run()
        self.assertEqual((1, 1), (catch_up.snapshots, catch_up.primaries))
        self.assertLess(catch_up.current_ms, 2 * CATCH_UP_MS)


class InterruptedSnapshotTransfer(unittest.TestCase):
    """A member returns, and a fault interrupts its snapshot transfer."""

    def setUp(self) -> None:
        patches = large_states()
        patches.__enter__()
        self.addCleanup(patches.__exit__, None, None, None)
        self.scenario = CatchUpScenario(2 * MEDIUM_STATE, 1, False, 200)
        primary = self.scenario.fleet.primary()
        assert primary is not None
        self.primary = primary
        self.machine = next(each for each in self.scenario.fleet.machines.values() if each is not primary)
        self.chunks = 0
        self.bytes_to: dict[str, int] = {}
        network = self.scenario.fleet.network
        original_send = network.send

        def send(sender: str, receiver: str, data: bytes) -> None:
            self.bytes_to[receiver] = self.bytes_to.get(receiver, 0) + len(data)
            message = replication_messages.decode(data)
            if isinstance(message, InstallSnapshot):
                self.chunks += 1
                self.on_chunk(message)
            original_send(sender, receiver, data)

        network.send = send  # type: ignore[method-assign]
        self.action_at_chunk: dict[int, Any] = {}

    def on_chunk(self, chunk: InstallSnapshot) -> None:
        action = self.action_at_chunk.pop(self.chunks, None)
        if action is not None:
            self.scenario.fleet.clock.after(0.0, action)

    def kill_and_restart(self) -> None:
        self.machine.kill()
        self.scenario.process_commands(2_000.0)
        self.machine.start()

    def assert_current(self, within_ms: float) -> None:
        self.scenario.process_commands(within_ms)
        self.assertTrue(self.scenario.is_current(self.machine))

    def test_given_a_machine_that_is_down_then_no_snapshot_is_sent_to_it(self) -> None:
        self.machine.kill()
        self.scenario.process_commands(1_000.0)
        self.bytes_to.clear()
        self.scenario.process_commands(3_000.0)
        self.assertLess(self.bytes_to[self.machine.address], CHUNK_BYTES)

    def test_given_lost_chunks_then_only_these_are_sent_again(self) -> None:
        network = self.scenario.fleet.network

        def cut() -> None:
            network.cut_both(self.primary.address, self.machine.address)
            self.scenario.fleet.clock.after(100.0, network.heal)

        self.action_at_chunk[5] = cut
        self.kill_and_restart()
        self.assert_current(CATCH_UP_MS)
        self.assertEqual(1, self.snapshots())
        self.assertLess(self.chunks, 2 * MEDIUM_STATE / CHUNK_BYTES + 2 * WINDOW_BYTES / CHUNK_BYTES)

    def test_given_a_receiver_that_restarts_then_it_gets_a_complete_snapshot(self) -> None:
        def restart() -> None:
            self.machine.kill()
            self.scenario.fleet.clock.after(50.0, self.machine.start)

        self.action_at_chunk[8] = restart
        self.kill_and_restart()
        self.assert_current(2 * CATCH_UP_MS)

    def test_given_a_receiver_that_loses_its_disk_then_its_next_incarnation_gets_a_complete_snapshot(
        self,
    ) -> None:
        def wipe() -> None:
            self.machine.wipe()
            self.scenario.fleet.clock.after(50.0, self.machine.start)

        self.action_at_chunk[8] = wipe
        self.kill_and_restart()
        self.assert_current(4_000.0)

    def test_given_a_primary_that_crashes_then_the_next_one_restarts_the_transfer(self) -> None:
        def kill() -> None:
            self.primary.kill()
            self.scenario.fleet.clock.after(200.0, self.primary.start)

        self.action_at_chunk[8] = kill
        self.kill_and_restart()
        self.assert_current(4_000.0)

    def snapshots(self) -> int:
        return self.scenario.snapshots_sent()


class SnapshotSenderAndReceiver(unittest.TestCase):
    STATE = bytes(range(256)) * (2 * WINDOW_BYTES // 256)

    def setUp(self) -> None:
        self.sender = SnapshotSender(3, 7, 2, self.STATE)
        self.receiver = SnapshotReceiver()

    def chunks(self, epoch: int = 3) -> list[InstallSnapshot]:
        """Return the chunks that the window allows now."""
        chunks = []
        while (part := self.sender.next_chunk()) is not None:
            data = self.STATE[part]
            chunks.append(InstallSnapshot("p", "r", epoch, 3, 7, 2, part.start, len(self.STATE), data))
        return chunks

    def deliver(self, chunks: list[InstallSnapshot]) -> bytes | None:
        """Deliver chunks and their acknowledgements; return the complete state, or None."""
        for chunk in chunks:
            state = self.receiver.handle_chunk(chunk)
            if state is not None:
                return state
            self.sender.handle_ack(self.receiver.received)
        return None

    def test_given_no_acknowledgement_then_only_one_window_is_sent(self) -> None:
        self.assertEqual(WINDOW_BYTES, sum(len(chunk.data) for chunk in self.chunks()))
        self.assertEqual([], self.chunks())

    def test_given_acknowledgements_then_the_state_arrives(self) -> None:
        self.assertFalse(self.deliver(self.chunks()))
        self.assertTrue(self.deliver(self.chunks()) == self.STATE)

    def test_given_a_lost_chunk_then_later_chunks_are_dropped_and_the_sender_rewinds(self) -> None:
        self.deliver(self.chunks()[:2])
        self.sender.rewind()
        resent = self.chunks()
        self.assertEqual(2 * CHUNK_BYTES, resent[0].offset)
        self.receiver.handle_chunk(resent[1])
        self.assertEqual(2 * CHUNK_BYTES, self.receiver.received)

    def test_given_duplicate_chunks_then_they_are_applied_once(self) -> None:
        first = self.chunks()
        self.deliver(first)
        self.deliver(first[-1:])
        self.assertTrue(self.deliver(self.chunks()) == self.STATE)

    def test_given_a_later_epoch_of_the_same_primary_then_the_transfer_continues(self) -> None:
        self.deliver(self.chunks()[:2])
        self.sender.rewind()
        resent = self.chunks(epoch=4)
        self.assertEqual(2 * CHUNK_BYTES, resent[0].offset)
        self.assertFalse(self.deliver(resent))
        self.assertTrue(self.deliver(self.chunks(epoch=4)) == self.STATE)

    def test_given_another_primary_then_chunks_of_the_previous_one_are_discarded(self) -> None:
        self.deliver(self.chunks()[:4])
        other = InstallSnapshot("q", "r", 4, 4, 7, 2, 0, len(self.STATE), b"other")
        self.receiver.handle_chunk(other)
        self.assertEqual(len(b"other"), self.receiver.received)

    def test_given_a_receiver_that_restarted_the_transfer_then_the_sender_restarts_it_too(self) -> None:
        self.deliver(self.chunks()[:4])
        self.assertFalse(self.sender.handle_ack(0))
        self.assertEqual(0, self.chunks()[0].offset)


def resend_regardless_of_progress(peer: Peer, now_ms: float, times: ReplicationTimes) -> bool:
    """Resend a snapshot from the start if it is not installed in time, as if it was a single message."""
    if peer.snapshot is None or peer.waiting_since_ms is None:
        return now_ms - peer.sent_ms > times.resend_ms
    if now_ms - peer.waiting_since_ms <= times.resend_ms:
        return False
    peer.snapshot, peer.waiting_since_ms = None, now_ms
    return True


class MutantsAreFound(unittest.TestCase):
    def assert_found(self, name: str) -> None:
        result = unittest.TestResult()
        ReturningMember(name).run(result)
        self.assertEqual(1, result.testsRun)
        self.assertTrue(result.failures or result.errors)

    def test_a_snapshot_resent_regardless_of_its_progress(self) -> None:
        with patch.object(Peer, "is_resend_due", resend_regardless_of_progress):
            self.assert_found("test_given_a_slow_link_and_frequent_commands_then_one_snapshot_is_enough")

    def test_a_log_that_is_not_retained_for_replicas_catching_up(self) -> None:
        with patch.object(LogShipping, "needed_after", return_value=None):
            self.assert_found("test_given_a_slow_link_and_frequent_commands_then_one_snapshot_is_enough")

    def test_a_snapshot_older_than_its_index(self) -> None:
        def stale_snapshot(register: LargeRegister) -> bytes:
            return original(_without_last(register))

        original = LargeRegister.snapshot
        with patch.object(LargeRegister, "snapshot", stale_snapshot):
            self.assert_found(
                "test_given_three_commands_a_second_when_its_disk_was_lost_then_it_catches_up_quickly"
            )


def _without_last(register: LargeRegister) -> LargeRegister:
    older = register.copy()
    del older.taken[-1:]
    return older


if __name__ == "__main__":
    unittest.main()
