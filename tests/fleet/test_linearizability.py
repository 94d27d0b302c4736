"""Tests of the linearizability checker: it accepts valid histories and rejects invalid ones."""

from __future__ import annotations

import itertools
import random
import unittest

from madderwind.replication.commands import CommandOutcome
from tests.fleet.linearizability import (
    ChainEntry,
    CommandCall,
    NotLinearizable,
    ReadCall,
    check_linearizable,
)

COMMITTED, STALE, INVALID, INDEFINITE = (
    CommandOutcome.COMMITTED,
    CommandOutcome.STALE_BASE,
    CommandOutcome.INVALID,
    CommandOutcome.UNKNOWN,
)


def entry(name: str, base: int, version: int) -> ChainEntry:
    return ChainEntry(name, base, version, document=f"document of {name}")


def call(
    name: str,
    base: int,
    version: int,
    start: float,
    end: float,
    outcome: CommandOutcome | None,
    notified: int | None = None,
) -> CommandCall:
    return CommandCall(name, base, version, start, end, outcome, notified)


A, B = entry("a", 0, 1), entry("b", 1, 2)
SENT_A = call("a", 0, 1, 0.0, 10.0, COMMITTED)
SENT_B = call("b", 1, 2, 20.0, 30.0, COMMITTED)


class LinearizableHistories(unittest.TestCase):
    def test_sequential_commands_with_reads_between(self) -> None:
        reads = [
            ReadCall(0.0, 5.0, 0),
            ReadCall(5.0, 9.0, 1, "document of a"),
            ReadCall(25.0, 28.0, 1),
            ReadCall(25.0, 28.0, 2),
            ReadCall(40.0, 41.0, 2),
        ]
        check_linearizable([A, B], [SENT_A, SENT_B], reads)

    def test_a_call_without_an_answer_may_or_may_not_take_effect(self) -> None:
        lost = call("a", 0, 1, 0.0, 10.0, None)
        check_linearizable([], [lost])
        check_linearizable([A], [lost], [ReadCall(50.0, 51.0, 0), ReadCall(60.0, 61.0, 1)])

    def test_a_retried_command_is_confirmed_again(self) -> None:
        again = [call("a", 0, 1, 0.0, 5.0, INDEFINITE), call("a", 0, 1, 40.0, 45.0, COMMITTED, notified=2)]
        check_linearizable([A, B], [*again, SENT_B])

    def test_one_of_two_concurrent_commands_is_refused(self) -> None:
        check_linearizable([A], [SENT_A, call("b", 0, 2, 0.0, 8.0, STALE, notified=1)])
        check_linearizable([A], [SENT_A, call("b", 0, 2, 0.0, 8.0, STALE)])

    def test_a_command_sent_before_its_base_exists_is_refused(self) -> None:
        late = call("c", 1, 5, 2.0, 3.0, STALE)
        check_linearizable([A], [call("a", 0, 1, 0.0, 10.0, COMMITTED), late])

    def test_a_command_refused_before_its_base_exists_may_be_committed_later(self) -> None:
        delayed, refused = call("b", 1, 2, 1.0, 2.0, None), call("b", 1, 2, 3.0, 4.0, STALE, notified=0)
        sent_a = call("a", 0, 1, 3.5, 10.0, COMMITTED)
        check_linearizable([A, B], [sent_a, delayed, refused])

    def test_a_command_with_a_version_not_above_the_current_one_is_invalid(self) -> None:
        check_linearizable([A], [SENT_A, call("c", 1, 1, 20.0, 30.0, INVALID)])

    def test_an_invalid_command_is_refused_as_stale_or_invalid(self) -> None:
        for outcome in (STALE, INVALID):
            wrong = CommandCall("w", 1, 5, 20.0, 30.0, outcome, is_valid=False)
            check_linearizable([A], [SENT_A, wrong])


class NonLinearizableHistories(unittest.TestCase):
    def assert_rejected(
        self, chain: list[ChainEntry], commands: list[CommandCall], reads: list[ReadCall] | None = None
    ) -> None:
        with self.assertRaises(NotLinearizable):
            check_linearizable(chain, commands, reads or [])

    def test_a_confirmed_command_is_lost(self) -> None:
        self.assert_rejected([], [SENT_A])

    def test_a_confirmed_command_takes_effect_too_late(self) -> None:
        self.assert_rejected([A], [SENT_A], [ReadCall(20.0, 21.0, 0)])

    def test_two_commands_on_one_base_are_confirmed(self) -> None:
        self.assert_rejected([A], [SENT_A, call("b", 0, 2, 0.0, 10.0, COMMITTED)])
        self.assert_rejected([A, entry("b", 0, 2)], [SENT_A, call("b", 0, 2, 0.0, 10.0, COMMITTED)])

    def test_a_refused_command_is_committed(self) -> None:
        self.assert_rejected([A], [call("a", 0, 1, 0.0, 5.0, STALE), call("a", 0, 1, 6.0, 9.0, None)])

    def test_a_committed_command_is_refused_on_retry(self) -> None:
        self.assert_rejected([A], [SENT_A, call("a", 0, 1, 40.0, 45.0, STALE, notified=1)])

    def test_a_command_refused_before_its_base_exists_had_been_committed(self) -> None:
        refused = call("b", 1, 2, 40.0, 45.0, STALE, notified=0)
        self.assert_rejected([A, B], [SENT_A, SENT_B, refused])

    def test_a_command_refused_as_stale_is_committed(self) -> None:
        delayed, refused = call("b", 1, 2, 1.0, 2.0, None), call("b", 1, 2, 3.0, 40.0, STALE, notified=2)
        self.assert_rejected([A, B], [SENT_A, delayed, refused])

    def test_a_command_is_committed_twice(self) -> None:
        self.assert_rejected([A, entry("a", 1, 2)], [SENT_A, call("a", 0, 1, 20.0, 30.0, COMMITTED)])

    def test_a_command_is_refused_while_its_base_is_current(self) -> None:
        for notified in (None, 1):
            self.assert_rejected([A], [SENT_A, call("b", 1, 2, 20.0, 30.0, STALE, notified)])
        self.assert_rejected([], [call("a", 0, 1, 0.0, 10.0, STALE)])

    def test_a_command_is_refused_for_a_version_that_was_never_committed(self) -> None:
        self.assert_rejected([A], [SENT_A, call("b", 1, 2, 20.0, 30.0, STALE, notified=7)])

    def test_a_command_is_refused_for_a_version_that_is_no_longer_current(self) -> None:
        c = call("c", 2, 3, 40.0, 50.0, STALE, notified=1)
        self.assert_rejected([A, B], [SENT_A, SENT_B, c])

    def test_a_valid_command_is_refused_as_invalid(self) -> None:
        self.assert_rejected([A], [SENT_A, call("b", 1, 2, 20.0, 30.0, INVALID)])

    def test_a_read_sees_a_version_replaced_before_it_began(self) -> None:
        self.assert_rejected([A, B], [SENT_A, SENT_B], [ReadCall(31.0, 32.0, 1)])

    def test_a_read_sees_a_version_committed_after_it_ended(self) -> None:
        self.assert_rejected([A, B], [SENT_A, SENT_B], [ReadCall(11.0, 12.0, 2)])

    def test_a_later_read_sees_an_older_version(self) -> None:
        sent = [call("a", 0, 1, 0.0, 100.0, None)]
        self.assert_rejected([A], sent, [ReadCall(10.0, 11.0, 1), ReadCall(20.0, 21.0, 0)])

    def test_a_read_sees_another_document(self) -> None:
        self.assert_rejected([A], [SENT_A], [ReadCall(20.0, 21.0, 1, "another document")])

    def test_a_command_that_was_never_sent_is_committed(self) -> None:
        self.assert_rejected([A], [])

    def test_a_confirmation_names_an_older_version(self) -> None:
        self.assert_rejected([A, B], [SENT_A, call("b", 1, 2, 5.0, 30.0, COMMITTED, notified=1)])

    def test_a_refusal_contradicts_the_time_of_a_later_command(self) -> None:
        # The refusal of b is consistent only if a, committed by 10, was replaced by 30, but c was sent at 40.
        c = entry("c", 1, 3)
        commands = [SENT_A, call("b", 1, 2, 20.0, 30.0, STALE), call("c", 1, 3, 40.0, 50.0, COMMITTED)]
        self.assert_rejected([A, c], commands)


class ExhaustiveSearchComparison(unittest.TestCase):
    """Small random histories get the same verdict as from an exhaustive search."""

    def test_the_verdicts_agree(self) -> None:
        rng = random.Random(5)
        verdicts = {True: 0, False: 0}
        for _ in range(1_500):
            chain, commands, reads = _random_history(rng)
            expected = _is_explained(chain, commands, reads)
            verdicts[expected] += 1
            try:
                check_linearizable(chain, commands, reads)
                found = True
            except NotLinearizable:
                found = False
            self.assertEqual(expected, found, (chain, commands, reads))
        self.assertGreater(min(verdicts.values()), 100, verdicts)


def _random_history(rng: random.Random) -> tuple[list[ChainEntry], list[CommandCall], list[ReadCall]]:
    """A chain of up to three commands with their calls, up to two refusals and two reads, at random times."""
    chain = [
        ChainEntry(f"o{position}", position - 1, position) for position in range(1, rng.randint(1, 3) + 1)
    ]
    commands = []
    for each in chain:
        start, end = sorted(rng.sample(range(12), 2))
        outcome = rng.choice([COMMITTED, COMMITTED, None])
        commands.append(CommandCall(each.identity, each.base_version, each.version, start, end, outcome))
    for number in range(rng.randint(0, 2)):
        start, end = sorted(rng.sample(range(12), 2))
        base = rng.randint(0, len(chain))
        commands.append(CommandCall(f"r{number}", base, 9, start, end, STALE))
    reads = []
    for _ in range(rng.randint(0, 2)):
        start, end = sorted(rng.sample(range(12), 2))
        reads.append(ReadCall(start, end, rng.randint(0, len(chain))))
    return chain, commands, reads


def _is_explained(chain: list[ChainEntry], commands: list[CommandCall], reads: list[ReadCall]) -> bool:
    """Try all times of the chain's commands on the integer grid of the calls' times."""
    grid = range(13)
    for effect_times in itertools.combinations_with_replacement(grid, len(chain)):
        if all(_command_fits(call, chain, effect_times) for call in commands) and all(
            _was_current_during(read.start_ms, read.end_ms, {read.version}, effect_times) for read in reads
        ):
            return True
    return False


def _command_fits(call: CommandCall, chain: list[ChainEntry], effect_times: tuple[int, ...]) -> bool:
    if call.outcome is STALE:
        other_versions = set(range(len(chain) + 1)) - {call.base_version}
        return _was_current_during(call.start_ms, call.end_ms, other_versions, effect_times)
    effect_time = effect_times[call.version - 1]
    return call.start_ms <= effect_time and (call.outcome is None or effect_time <= call.end_ms)


def _was_current_during(
    start_ms: float, end_ms: float, versions: set[int], effect_times: tuple[int, ...]
) -> bool:
    """Whether one of the versions was current in an interval; at the time of a change, both are."""
    bounds = [float("-inf"), *effect_times, float("inf")]
    return any(bounds[version] <= end_ms and bounds[version + 1] >= start_ms for version in versions)


if __name__ == "__main__":
    unittest.main()
