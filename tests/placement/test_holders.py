"""Which upstreams were sent a prefix last: the latest last, few of them, and bounded prefixes."""

from __future__ import annotations

import unittest

from madderwind.placement.holders import MAX_HOLDERS, MAX_PREFIXES, PrefixHolders


class Holders(unittest.TestCase):
    def setUp(self) -> None:
        self.holders = PrefixHolders()

    def test_the_latest_is_last_and_named_once(self) -> None:
        for instance in ("a", "b", "a"):
            self.holders.sent("p", instance)
        self.assertEqual(self.holders.of("p"), ("b", "a"))
        self.assertEqual(self.holders.of("other"), ())

    def test_few_are_kept(self) -> None:
        for number in range(20):
            self.holders.sent("p", f"i-{number}")
        self.assertEqual(self.holders.of("p"), tuple(f"i-{number}" for number in range(20 - MAX_HOLDERS, 20)))

    def test_prefixes_unused_longest_are_forgotten(self) -> None:
        self.holders.sent("used", "a")
        for number in range(MAX_PREFIXES - 1):
            self.holders.sent(f"p{number}", "a")
        self.holders.sent("used", "b")
        self.holders.sent("one more", "a")
        self.assertEqual(self.holders.of("used"), ("a", "b"))
        self.assertEqual(self.holders.of("p0"), ())
