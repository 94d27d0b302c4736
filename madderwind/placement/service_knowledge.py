"""What is known of one service's model servers as a whole."""

from __future__ import annotations

from madderwind.placement.first_event_model import FirstEventModel
from madderwind.placement.popularity import PrefixRates
from madderwind.placement.rendezvous import RendezvousRanking

DEFAULT_SLOTS = 64
DEFAULT_KV_TOKENS = 400_000
DEFAULT_STRIDE = 1
POPULARITY_WINDOW_MS = 6000.0


class ServiceKnowledge:
    """A service's engines as configured, its ranking of upstreams, and what its answers have taught.

    Attributes:
        slots: How many requests an upstream runs at once.
        kv_tokens: An upstream's memory, tokens.
        stride: Tokens an event.
        ranking: Of its upstreams, by prefix.
        model: Of the time to a first event.
        rates: Arrivals by prefix at this balancer.
    """

    def __init__(self) -> None:
        self.slots = DEFAULT_SLOTS
        self.kv_tokens = DEFAULT_KV_TOKENS
        self.stride = DEFAULT_STRIDE
        self.ranking = RendezvousRanking()
        self.model = FirstEventModel()
        self.rates = PrefixRates(POPULARITY_WINDOW_MS)

    def configure(self, slots: int, kv_tokens: int, stride: int) -> None:
        """Take the engine from the configuration; each is at least 1."""
        self.slots, self.kv_tokens, self.stride = max(slots, 1), max(kv_tokens, 1), max(stride, 1)
