"""Which upstreams were sent a prompt prefix last, by what is known of all balancers' sends."""

from __future__ import annotations

from collections import OrderedDict

MAX_PREFIXES = 8192
MAX_HOLDERS = 4


class PrefixHolders:
    """The upstreams of the latest sends of each prefix, the latest last."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, list[str]] = OrderedDict()

    def sent(self, prefix: str, instance: str) -> None:
        """A prompt with this prefix went to this upstream."""
        holders = self._holders.setdefault(prefix, [])
        self._holders.move_to_end(prefix)
        if instance in holders:
            holders.remove(instance)
        holders.append(instance)
        del holders[:-MAX_HOLDERS]
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def of(self, prefix: str) -> tuple[str, ...]:
        """Upstreams that may keep the prefix."""
        return tuple(self._holders.get(prefix, ()))
