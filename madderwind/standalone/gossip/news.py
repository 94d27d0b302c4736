"""The queue of gossip items to send: their order, how often each is sent, and when it is dropped."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from madderwind.standalone.gossip.wire import Item

MAX_SENDS = 40
NORMAL_SHARE = 0.35  # of the item space of a datagram, reserved for items that are not urgent


class _Entry:
    __slots__ = ("item", "key", "max_sends", "queued")

    def __init__(self, key: Hashable, item: Item, max_sends: int) -> None:
        self.key, self.item, self.max_sends = key, item, max_sends
        self.queued = True


class UpdateQueue:
    """Queued items by key: only the newest item of a key is sent, a bounded number of times.

    Urgent items are sent before others, and less often sent items before more often sent ones. When the
    queue already holds `max_items`, the item that was sent most often is evicted.
    """

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._by_key: dict[Hashable, _Entry] = {}
        # Indexed by how often the entries were sent; urgent entries have queues of their own. A superseded
        # entry stays in its queue and is skipped when it reaches the front.
        self._urgent = [deque[_Entry]() for _ in range(MAX_SENDS + 1)]
        self._normal = [deque[_Entry]() for _ in range(MAX_SENDS + 1)]

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._by_key

    def put(self, key: Hashable, item: Item, sends: int, urgent: bool = False, first: bool = False) -> None:
        """Queue an item in place of the one queued under this key.

        `first` puts it in front of the entries that have not been sent yet.
        """
        if (previous := self._by_key.pop(key, None)) is not None:
            previous.queued = False
        if len(self._by_key) >= self._max_items:
            self._evict_one()
        entry = self._by_key[key] = _Entry(key, item, max(1, min(MAX_SENDS, sends)))
        queue = (self._urgent if urgent else self._normal)[0]
        if first:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def _evict_one(self) -> None:
        for queues in (self._normal, self._urgent):
            for queue in reversed(queues):
                while queue:
                    entry = queue.popleft()
                    if entry.queued:
                        self._drop(entry)
                        return

    def _drop(self, entry: _Entry) -> None:
        entry.queued = False
        del self._by_key[entry.key]

    def take(self, space: int) -> list[Item]:
        """The items to put into one datagram that has `space` bytes left for items.

        Urgent items leave part of the space to the others, so that a flood of urgent items does not block
        all other updates.
        """
        selected: list[Item] = []
        requeued: list[tuple[deque[_Entry], _Entry]] = []
        reserved = int(space * NORMAL_SHARE) if any(self._normal) else 0
        for queues, set_aside in ((self._urgent, reserved), (self._normal, 0)):
            for sends, queue in enumerate(queues):
                while queue:
                    entry = queue[0]
                    if entry.queued and entry.item.size > space - set_aside:
                        break  # items are of similar size, so the next one would rarely fit
                    queue.popleft()
                    if not entry.queued:
                        continue
                    space -= entry.item.size
                    selected.append(entry.item)
                    if sends + 1 < entry.max_sends:
                        requeued.append((queues[sends + 1], entry))
                    else:
                        self._drop(entry)
        for queue, entry in requeued:
            queue.append(entry)
        return selected
