"""Places of upstreams on a circle, by which every balancer has its own order of preference. Guards against
changes of the list that give every balancer new neighbours."""

from madderwind.standalone.policy.upstreams import Upstream

GOLDEN = 0.618034  # steps of this part of a circle keep all points well apart, however many there are


class Ring:
    """By rating at first; then a newcomer takes one left, of the nearest rating, or halves the widest gap."""

    def __init__(self) -> None:
        self._places: dict[int, tuple[float, float]] = {}  # with the rating that took each

    def place(self, ready: list[Upstream]) -> None:
        """Give each of the ready upstreams, in order of their ratings, a place."""
        if not len(self._places) / 4 <= len(ready) <= len(self._places) * 2:
            self._places = {u.entry.upstream: (n / len(ready), u.entry.rating) for n, u in enumerate(ready)}
        here = {u.entry.upstream for u in ready}
        left = [number for number in self._places if number not in here]
        for entry in (u.entry for u in ready if u.entry.upstream not in self._places):
            place = self._inherited(left, entry.rating) if left else self._widest_gap()
            self._places[entry.upstream] = place, entry.rating

    def _inherited(self, left: list[int], rating: float) -> float:
        nearest = min(left, key=lambda number: abs(self._places[number][1] - rating))
        left.remove(nearest)
        return self._places.pop(nearest)[0]

    def _widest_gap(self) -> float:
        taken = sorted(place for place, _ in self._places.values())
        gaps = zip(taken, [*taken[1:], taken[0] + 1], strict=True)
        width, after = max((end - begin, begin) for begin, end in gaps)
        return (after + width / 2) % 1

    def distance(self, upstream: int, start: float, step: float) -> float:
        """How far it is behind the last of the points that lie a step apart, from a start on."""
        return (self._places[upstream][0] - start) % 1 % step
