"""Positions of upstreams on a circle, from which each balancer derives its own order of preference. A change
of the list moves few positions, so most balancers keep the upstreams that they are connected to."""

from madderwind.standalone.policy.upstreams import Upstream

GOLDEN_RATIO = 0.618034  # steps of this part of a circle keep any number of points well apart


class Ring:
    """The first positions are in order of rating. A new upstream takes the vacant position with the nearest
    rating, or the middle of the widest gap if none is vacant."""

    def __init__(self) -> None:
        self._positions: dict[int, tuple[float, float]] = {}  # with the rating of the upstream that took each

    def assign(self, ready: list[Upstream]) -> None:
        """Give each of the ready upstreams, sorted by rating, a position."""
        if not len(self._positions) / 4 <= len(ready) <= len(self._positions) * 2:
            self._positions = {
                u.entry.upstream: (n / len(ready), u.entry.rating) for n, u in enumerate(ready)
            }
        present = {u.entry.upstream for u in ready}
        vacant = [number for number in self._positions if number not in present]
        for entry in (u.entry for u in ready if u.entry.upstream not in self._positions):
            position = self._take_vacant(vacant, entry.rating) if vacant else self._middle_of_widest_gap()
            self._positions[entry.upstream] = position, entry.rating

    def _take_vacant(self, vacant: list[int], rating: float) -> float:
        nearest = min(vacant, key=lambda number: abs(self._positions[number][1] - rating))
        vacant.remove(nearest)
        return self._positions.pop(nearest)[0]

    def _middle_of_widest_gap(self) -> float:
        taken = sorted(position for position, _ in self._positions.values())
        gaps = zip(taken, [*taken[1:], taken[0] + 1], strict=True)
        width, after = max((end - begin, begin) for begin, end in gaps)
        return (after + width / 2) % 1

    def distance(self, upstream: int, start: float, step: float) -> float:
        """How far an upstream is behind the nearest earlier point of those `step` apart, from `start` on."""
        return (self._positions[upstream][0] - start) % 1 % step
