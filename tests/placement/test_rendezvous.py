"""Rankings agree between balancers, are even, and move few keys when an upstream is added or removed."""

from __future__ import annotations

import unittest
from collections import Counter

from madderwind.placement.rendezvous import RendezvousRanking

KEYS = [f"prefix-{number}" for number in range(3000)]


def ranking_of(members: list[str], weights: dict[str, float] | None = None) -> RendezvousRanking:
    ranking = RendezvousRanking()
    ranking.set_members(members, {}, weights or {})
    return ranking


class RendezvousRankings(unittest.TestCase):
    def test_ranking_does_not_depend_on_the_order_of_members(self) -> None:
        one, other = ranking_of(["a", "b", "c", "d"]), ranking_of(["d", "b", "a", "c"])
        self.assertTrue(all(one.ranking(key) == other.ranking(key) for key in KEYS))

    def test_homes_are_evenly_distributed(self) -> None:
        members = [f"i-{number}" for number in range(6)]
        homes = Counter(ranking_of(members).ranking(key)[0] for key in KEYS)
        self.assertTrue(all(400 < homes[member] < 600 for member in members), homes)

    def test_homes_are_distributed_by_weight(self) -> None:
        ranking = ranking_of(["slow", "quick"], {"slow": 1.0, "quick": 2.0})
        homes = Counter(ranking.ranking(key)[0] for key in KEYS)
        self.assertTrue(1.8 < homes["quick"] / homes["slow"] < 2.2, homes)

    def test_removing_a_member_moves_only_its_keys(self) -> None:
        members = [f"i-{number}" for number in range(6)]
        before, after = ranking_of(members), ranking_of(members[1:])
        for key in KEYS:
            home, second = before.ranking(key)[:2]
            self.assertEqual(after.ranking(key)[0], second if home == members[0] else home)

    def test_a_replacement_with_the_same_identity_keeps_the_ranking(self) -> None:
        before, after = RendezvousRanking(), RendezvousRanking()
        before.set_members(["old", "b", "c"], {"old": "place-1"}, {})
        after.set_members(["new", "b", "c"], {"new": "place-1"}, {})
        for key in KEYS:
            renamed = tuple("new" if member == "old" else member for member in before.ranking(key))
            self.assertEqual(after.ranking(key), renamed)
