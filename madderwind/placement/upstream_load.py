"""What one upstream has to do, as far as one balancer can tell: its own sends, and what the others report."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from madderwind.placement.attempt_record import PlacementReason
from madderwind.placement.prefix_cache_view import PrefixCacheView
from madderwind.placement.prompts import Generation, PromptPart

MEAN_WINDOW_MS = 4000.0
SLOWNESS_GAIN = 0.08
LOWEST_SLOWNESS, HIGHEST_SLOWNESS = 0.4, 6.0
FAILURE_MEMORY_MS = 1500.0


class Load(NamedTuple):
    """Prompt tokens that wait to be prefilled, sequences running or waiting, tokens held."""

    prompt_waiting: float = 0.0
    sequences: float = 0.0
    tokens_reserved: float = 0.0


class Sent:
    """One own request at an upstream."""

    __slots__ = ("ahead", "first_at_ms", "generation", "peer_load_age_ms", "reason", "sent_at_ms", "uncached")

    def __init__(
        self,
        generation: Generation,
        sent_at_ms: float,
        uncached: float,
        ahead: float,
        peer_load_age_ms: float = 0.0,
        reason: PlacementReason = PlacementReason.HOME,
    ) -> None:
        self.generation = generation
        self.sent_at_ms = sent_at_ms
        self.uncached = uncached
        self.ahead = ahead
        self.peer_load_age_ms = peer_load_age_ms
        self.reason = reason
        self.first_at_ms: float | None = None


class UpstreamLoad:
    """The estimate of one upstream."""

    def __init__(self, now_ms: float, kv_tokens: int) -> None:
        self.kv_tokens = kv_tokens
        self.prefix_cache = PrefixCacheView()
        self.slowness = 1.0
        self._sent: OrderedDict[str, Sent] = OrderedDict()
        self._own_waiting = 0.0
        self._own_reserved = 0.0
        self._mean_waiting = 0.0
        self._mean_at_ms = now_ms
        self._peers = Load()
        self._peers_at_ms = now_ms
        self._failures = 0.0
        self._failed_at_ms = now_ms

    def own(self) -> Load:
        """What this balancer has there."""
        return Load(self._own_waiting, float(len(self._sent)), self._own_reserved)

    def set_peer_load(self, now_ms: float, load: Load) -> None:
        """What all other balancers have there, dispatches that were told before included."""
        self._peers, self._peers_at_ms = load, now_ms

    def handle_peer_dispatch(self, parts: Sequence[PromptPart], counts_as_load: bool = True) -> None:
        """Another balancer sent a prompt there; it counts until the peers' load is told the next time."""
        if counts_as_load:
            self._add_peer_load(parts)
        self.prefix_cache.used(parts, self.kv_tokens)

    def _add_peer_load(self, parts: Sequence[PromptPart]) -> None:
        tokens = sum(part.tokens for part in parts)
        uncached = tokens - self.prefix_cache.cached_tokens(parts)
        peers = self._peers
        self._peers = Load(
            peers.prompt_waiting + uncached, peers.sequences + 1.0, peers.tokens_reserved + tokens
        )

    def peer_load_age_ms(self, now_ms: float) -> float:
        """How long ago the others' load was told."""
        return now_ms - self._peers_at_ms

    def waiting_tokens(self, now_ms: float, unreported: int, tokens_per_ms: float = 0.0) -> float:
        """Prompt tokens ahead of a new request's; a prompt counts whole until its first event.

        `unreported`: other balancers of which nothing is heard; the own mean stands for each of them.
        `tokens_per_ms`: the upstream's speed, by which it has worked on since the peers' load was told.
        """
        if not unreported:
            return self._own_waiting + self._peer_waiting(now_ms, tokens_per_ms)
        self._average(now_ms)
        return self._own_waiting + self._mean_waiting * unreported

    def _peer_waiting(self, now_ms: float, tokens_per_ms: float) -> float:
        """What is left of the peers' waiting tokens: the upstream works on theirs and own ones alike."""
        reported = self._peers.prompt_waiting
        if reported <= 0.0:
            return 0.0
        prefilled = max(0.0, now_ms - self._peers_at_ms) * tokens_per_ms
        left_part = max(0.0, 1.0 - prefilled / (reported + self._own_waiting))
        return reported * left_part

    def sequences(self, unreported: int) -> float:
        """Requests there, running or waiting."""
        if not unreported:
            return len(self._sent) + self._peers.sequences
        return float(len(self._sent) * (1 + unreported))

    def tokens_reserved(self, unreported: int) -> float:
        """Tokens of memory that running requests hold."""
        if not unreported:
            return self._own_reserved + self._peers.tokens_reserved
        return self._own_reserved * (1 + unreported)

    def failure_chance(self, now_ms: float) -> float:
        """The chance, as of late, that a request sent there fails without an event."""
        failures = self._failures * math.exp((self._failed_at_ms - now_ms) / FAILURE_MEMORY_MS)
        return failures / (failures + 1.0)

    def sent(self, now_ms: float, key: str, request: Sent) -> None:
        """An own request went there."""
        self._average(now_ms)
        self._sent[key] = request
        self._own_waiting += request.uncached
        self._own_reserved += request.generation.prompt_tokens + request.generation.output_tokens

    def request(self, key: str) -> Sent | None:
        """An own request that is there."""
        return self._sent.get(key)

    def first_event(self, now_ms: float, key: str) -> Sent | None:
        """The first event of an own request came: its prompt has been prefilled."""
        request = self._sent.get(key)
        if request is None or request.first_at_ms is not None:
            return None
        self._average(now_ms)
        request.first_at_ms = now_ms
        self._own_waiting = max(self._own_waiting - request.uncached, 0.0)
        self._failures = 0.0
        return request

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """An own request is over."""
        request = self._sent.pop(key, None)
        if request is None:
            return
        self._average(now_ms)
        if request.first_at_ms is None:
            self._own_waiting = max(self._own_waiting - request.uncached, 0.0)
        self._own_reserved -= request.generation.prompt_tokens + request.generation.output_tokens
        if not self._sent:
            self._own_waiting = self._own_reserved = 0.0
        if not served:
            self._failed(now_ms)

    def observe_slowness(self, ratio: float) -> None:
        """A first event took this multiple of what the service's model says."""
        ratio = min(max(ratio, LOWEST_SLOWNESS), HIGHEST_SLOWNESS)
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness)

    def _failed(self, now_ms: float) -> None:
        decayed = self._failures * math.exp((self._failed_at_ms - now_ms) / FAILURE_MEMORY_MS)
        self._failures, self._failed_at_ms = decayed + 1.0, now_ms

    def _average(self, now_ms: float) -> None:
        """Bring the running mean of own waiting tokens up to now."""
        passed = now_ms - self._mean_at_ms
        if passed > 0.0:
            kept = math.exp(-passed / MEAN_WINDOW_MS)
            self._mean_waiting = self._mean_waiting * kept + self._own_waiting * (1.0 - kept)
            self._mean_at_ms = now_ms
