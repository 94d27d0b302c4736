"""Configured and learned properties of one service's model servers."""

from __future__ import annotations

from madderwind.placement.first_event_model import FirstEventModel
from madderwind.placement.popularity import PrefixRates
from madderwind.placement.rendezvous import RendezvousRanking

DEFAULT_SLOTS = 64
DEFAULT_KV_TOKENS = 400_000
DEFAULT_STRIDE = 1
POPULARITY_WINDOW_MS = 6000.0
# A configuration's integers have no bound; up to this one they are exact as floats.
MAX_COUNT = 2**53


class ServiceState:
    """A service's engine configuration, upstream ranking and learned estimates.

    Attributes:
        slots: The maximum number of requests in an upstream's batch.
        kv_tokens: The capacity of an upstream's KV cache, in tokens.
        stride: Output tokens per event.
        ranking: Ranks the upstreams of a prefix.
        model: Predicts the time to the first event.
        rates: Decayed arrival counts by prefix at this balancer.
    """

    def __init__(self) -> None:
        self.slots = DEFAULT_SLOTS
        self.kv_tokens = DEFAULT_KV_TOKENS
        self.stride = DEFAULT_STRIDE
        self.ranking = RendezvousRanking()
        self.model = FirstEventModel()
        self.rates = PrefixRates(POPULARITY_WINDOW_MS)

    def configure(self, slots: int, kv_tokens: int, stride: int) -> None:
        """Apply the configured engine properties; values below 1 or above `MAX_COUNT` become that bound."""
        self.slots = _bounded(slots)
        self.kv_tokens = _bounded(kv_tokens)
        self.stride = _bounded(stride)


def _bounded(count: int) -> int:
    return min(max(count, 1), MAX_COUNT)
