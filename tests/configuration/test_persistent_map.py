"""The immutable map against plain dictionaries."""

from __future__ import annotations

import random
import unittest

from madderwind.configuration.persistent_map import MAX_PER_BUCKET, PersistentMap


class AgainstADictionary(unittest.TestCase):
    def test_given_random_changes_then_each_version_is_what_a_copied_dictionary_is(self) -> None:
        rng = random.Random(7)
        plain: dict[str, int] = {}
        versions: list[tuple[PersistentMap[str, int], dict[str, int]]] = [(PersistentMap(), plain)]
        for step in range(300):
            assigned = {f"k{rng.randrange(400)}": step for _ in range(rng.randrange(8))}
            removed = [f"k{rng.randrange(400)}" for _ in range(rng.randrange(4))]
            latest, plain = versions[-1]
            plain = {name: value for name, value in plain.items() if name not in removed} | assigned
            versions.append((latest.changed(assigned, removed), plain))
        for persistent, plain in versions:
            self.assertEqual(plain, dict(persistent.items()))
            self.assertEqual(len(plain), len(persistent))
            for number in range(400):
                self.assertEqual(plain.get(f"k{number}"), persistent.get(f"k{number}"))
                self.assertEqual(f"k{number}" in plain, f"k{number}" in persistent)

    def test_given_entries_at_the_start_then_they_are_there(self) -> None:
        entries = {number: str(number) for number in range(10_000)}
        self.assertEqual(entries, dict(PersistentMap(entries).items()))


class WhatAChangeCosts(unittest.TestCase):
    def test_given_a_large_map_when_one_entry_changes_then_all_other_buckets_are_shared(self) -> None:
        before = PersistentMap({f"k{number}": number for number in range(16_000)})
        after = before.changed({"k5": -1}, ["k6"])
        own = [
            bucket for bucket, old in zip(after._buckets, before._buckets, strict=True) if bucket is not old
        ]
        self.assertLessEqual(len(own), 2)
        self.assertLess(max(len(bucket) for bucket in own), 4 * MAX_PER_BUCKET)
        self.assertEqual((5, 6), (before.get("k5"), before.get("k6")))

    def test_given_growth_then_the_buckets_stay_short(self) -> None:
        grown: PersistentMap[str, int] = PersistentMap()
        for number in range(5_000):
            grown = grown.changed({f"k{number}": number})
        self.assertLess(max(len(bucket) for bucket in grown._buckets), 4 * MAX_PER_BUCKET)


if __name__ == "__main__":
    unittest.main()
