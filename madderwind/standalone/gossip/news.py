"""News on its way: what is told first, how often, and when it is dropped."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from madderwind.standalone.gossip.wire import Item

MOST_SENDS = 40
KEPT = 0.35  # of a datagram, for what is not urgent


class _Entry:
    __slots__ = ("item", "key", "live", "most")

    def __init__(self, key: Hashable, item: Item, most: int) -> None:
        self.key, self.item, self.most = key, item, most
        self.live = True


class News:
    """Items by key, each sent a bounded number of times, the least sent first; the newest of a key alone.

    Urgent ones go before others. Bounded: beyond `most_items` the one that was told most often goes.
    """

    def __init__(self, most_items: int) -> None:
        self._most_items = most_items
        self._by_key: dict[Hashable, _Entry] = {}
        # By how often they were sent; urgent ones apart. What was superseded is left where it stands, and
        # dropped when it is met.
        self._urgent = [deque[_Entry]() for _ in range(MOST_SENDS + 1)]
        self._usual = [deque[_Entry]() for _ in range(MOST_SENDS + 1)]

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def put(self, key: Hashable, item: Item, sends: int, urgent: bool = False, first: bool = False) -> None:
        """News of this key, in place of what was on its way under it. `first`: before all else that waits."""
        if (before := self._by_key.pop(key, None)) is not None:
            before.live = False
        if len(self._by_key) >= self._most_items:
            self._drop_one()
        entry = self._by_key[key] = _Entry(key, item, max(1, min(MOST_SENDS, sends)))
        queue = (self._urgent if urgent else self._usual)[0]
        if first:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def _drop_one(self) -> None:
        for queues in (self._usual, self._urgent):
            for queue in reversed(queues):
                while queue:
                    entry = queue.popleft()
                    if entry.live:
                        self._drop(entry)
                        return

    def _drop(self, entry: _Entry) -> None:
        entry.live = False
        del self._by_key[entry.key]

    def take(self, room: int) -> list[Item]:
        """What goes into one datagram with so many bytes left for items. Urgent items leave a part of it to
        the others, so that a flood of them does not stop all else."""
        taken: list[Item] = []
        again: list[tuple[deque[_Entry], _Entry]] = []
        kept = int(room * KEPT) if any(self._usual) else 0
        for queues, left in ((self._urgent, kept), (self._usual, 0)):
            for sends, queue in enumerate(queues):
                while queue:
                    entry = queue[0]
                    if entry.live and entry.item.size > room - left:
                        break  # no item is much smaller: the next would rarely fit
                    queue.popleft()
                    if not entry.live:
                        continue
                    room -= entry.item.size
                    taken.append(entry.item)
                    if sends + 1 < entry.most:
                        again.append((queues[sends + 1], entry))
                    else:
                        self._drop(entry)
        for queue, entry in again:
            queue.append(entry)
        return taken
