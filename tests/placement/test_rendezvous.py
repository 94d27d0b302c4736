"""Rankings agree between balancers, are even, and move few keys when an upstream comes or goes."""

from __future__ import annotations

import unittest
from collections import Counter

from madderwind.placement.rendezvous import RendezvousRanking

KEYS = [f"prefix-{number}" for number in range(3000)]


def ranking_of(members: list[str], weights: dict[str, float] | None = None) -> RendezvousRanking:
    ranking = RendezvousRanking()
    ranking.set_members(members, {}, weights or {})
    return ranking


class Rendezvous(unittest.TestCase):
    def test_order_of_members_does_not_matter(self) -> None:
        one, other = ranking_of(["a", "b", "c", "d"]), ranking_of(["d", "b", "a", "c"])
        self.assertTrue(all(one.ranking(key) == other.ranking(key) for key in KEYS))

    def test_homes_are_even(self) -> None:
        members = [f"i-{number}" for number in range(6)]
        homes = Counter(ranking_of(members).ranking(key)[0] for key in KEYS)
        self.assertTrue(all(400 < homes[member] < 600 for member in members), homes)

    def test_weights_are_kept(self) -> None:
        ranking = ranking_of(["slow", "quick"], {"slow": 1.0, "quick": 2.0})
        homes = Counter(ranking.ranking(key)[0] for key in KEYS)
        self.assertTrue(1.8 < homes["quick"] / homes["slow"] < 2.2, homes)

    def test_a_lost_member_moves_only_its_keys(self) -> None:
        members = [f"i-{number}" for number in range(6)]
        before, after = ranking_of(members), ranking_of(members[1:])
        for key in KEYS:
            home, second = before.ranking(key)[:2]
            self.assertEqual(after.ranking(key)[0], second if home == members[0] else home)

    def test_an_identity_outlives_the_upstream(self) -> None:
        before, after = RendezvousRanking(), RendezvousRanking()
        before.set_members(["old", "b", "c"], {"old": "place-1"}, {})
        after.set_members(["new", "b", "c"], {"new": "place-1"}, {})
        for key in KEYS:
            renamed = tuple("new" if member == "old" else member for member in before.ranking(key))
            self.assertEqual(after.ranking(key), renamed)
