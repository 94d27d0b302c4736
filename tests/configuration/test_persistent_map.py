"""Tests of the persistent map against plain dictionaries."""

from __future__ import annotations

import random
import unittest

from madderwind.configuration.persistent_map import MAX_PER_BUCKET, PersistentMap


class PersistentMapMatchesDictionary(unittest.TestCase):
    def test_random_changes_match_a_copied_dictionary(self) -> None:
        rng = random.Random(7)
        dictionary: dict[str, int] = {}
        versions: list[tuple[PersistentMap[str, int], dict[str, int]]] = [(PersistentMap(), dictionary)]
        for step in range(300):
            assigned = {f"k{rng.randrange(400)}": step for _ in range(rng.randrange(8))}
            removed = [f"k{rng.randrange(400)}" for _ in range(rng.randrange(4))]
            latest, dictionary = versions[-1]
            dictionary = {name: value for name, value in dictionary.items() if name not in removed} | assigned
            versions.append((latest.changed(assigned, removed), dictionary))
        for persistent, dictionary in versions:
            self.assertEqual(dictionary, dict(persistent.items()))
            self.assertEqual(len(dictionary), len(persistent))
            for number in range(400):
                self.assertEqual(dictionary.get(f"k{number}"), persistent.get(f"k{number}"))
                self.assertEqual(f"k{number}" in dictionary, f"k{number}" in persistent)

    def test_initial_entries_are_present(self) -> None:
        entries = {number: str(number) for number in range(10_000)}
        self.assertEqual(entries, dict(PersistentMap(entries).items()))


class CostOfChanges(unittest.TestCase):
    def test_change_of_a_large_map_shares_all_other_buckets(self) -> None:
        before = PersistentMap({f"k{number}": number for number in range(16_000)})
        after = before.changed({"k5": -1}, ["k6"])
        copied = [
            bucket for bucket, old in zip(after._buckets, before._buckets, strict=True) if bucket is not old
        ]
        self.assertLessEqual(len(copied), 2)
        self.assertLess(max(len(bucket) for bucket in copied), 4 * MAX_PER_BUCKET)
        self.assertEqual((5, 6), (before.get("k5"), before.get("k6")))

    def test_buckets_stay_short_as_the_map_grows(self) -> None:
        growing: PersistentMap[str, int] = PersistentMap()
        for number in range(5_000):
            growing = growing.changed({f"k{number}": number})
        self.assertLess(max(len(bucket) for bucket in growing._buckets), 4 * MAX_PER_BUCKET)


if __name__ == "__main__":
    unittest.main()
