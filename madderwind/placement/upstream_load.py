"""One balancer's estimate of an upstream's load, from its own requests and the reports of its peers."""

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
MIN_SLOWNESS, MAX_SLOWNESS = 0.4, 6.0
FAILURE_MEMORY_MS = 1500.0


class Load(NamedTuple):
    """Prompt tokens waiting for prefill, sequences running or waiting, and KV cache tokens reserved."""

    prompt_waiting: float = 0.0
    sequences: float = 0.0
    tokens_reserved: float = 0.0


class InFlightRequest:
    """One own request at an upstream.

    `uncached` is the number of prompt tokens to be prefilled, `ahead` the number of prompt tokens that were
    queued there when it was sent.
    """

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
    """The estimated load, prefix cache, slowness and failure probability of one upstream."""

    def __init__(self, now_ms: float, kv_tokens: int) -> None:
        self.kv_tokens = kv_tokens
        self.prefix_cache = PrefixCacheView()
        self.slowness = 1.0
        self._in_flight: OrderedDict[str, InFlightRequest] = OrderedDict()
        self._own_waiting = 0.0
        self._own_reserved = 0.0
        self._mean_waiting = 0.0
        self._mean_updated_ms = now_ms
        self._peer_load = Load()
        self._peer_load_at_ms = now_ms
        self._failures = 0.0
        self._failed_at_ms = now_ms

    def own_load(self) -> Load:
        """The load from this balancer's own requests."""
        return Load(self._own_waiting, float(len(self._in_flight)), self._own_reserved)

    def set_peer_load(self, now_ms: float, load: Load) -> None:
        """Set the load from all other balancers, which includes the dispatches reported before."""
        self._peer_load, self._peer_load_at_ms = load, now_ms

    def handle_peer_dispatch(self, parts: Sequence[PromptPart], counts_as_load: bool = True) -> None:
        """Record another balancer's dispatch; it counts as load until the next load report of the peers."""
        if counts_as_load:
            self._add_peer_load(parts)
        self.prefix_cache.add_prompt(parts, self.kv_tokens)

    def _add_peer_load(self, parts: Sequence[PromptPart]) -> None:
        tokens = sum(part.tokens for part in parts)
        uncached = tokens - self.prefix_cache.cached_tokens(parts)
        peers = self._peer_load
        self._peer_load = Load(
            peers.prompt_waiting + uncached, peers.sequences + 1.0, peers.tokens_reserved + tokens
        )

    def peer_load_age_ms(self, now_ms: float) -> float:
        """The age of the last load report of the peers."""
        return now_ms - self._peer_load_at_ms

    def waiting_tokens(self, now_ms: float, unreported_peers: int, tokens_per_ms: float = 0.0) -> float:
        """Prompt tokens queued ahead of a new request. A prompt counts in full until its first event.

        `unreported_peers`: the number of other balancers without reports; this balancer's own mean stands in
        for each of them. `tokens_per_ms`: the upstream's prefill speed, by which the load that the peers
        reported has decreased since.
        """
        if not unreported_peers:
            return self._own_waiting + self._peer_waiting(now_ms, tokens_per_ms)
        self._update_mean_waiting(now_ms)
        return self._own_waiting + self._mean_waiting * unreported_peers

    def _peer_waiting(self, now_ms: float, tokens_per_ms: float) -> float:
        """The peers' waiting tokens that remain, as the upstream prefills theirs and own ones alike."""
        reported = self._peer_load.prompt_waiting
        if reported <= 0.0:
            return 0.0
        prefilled = max(0.0, now_ms - self._peer_load_at_ms) * tokens_per_ms
        remaining_fraction = max(0.0, 1.0 - prefilled / (reported + self._own_waiting))
        return reported * remaining_fraction

    def sequences(self, unreported_peers: int) -> float:
        """The number of requests running or waiting."""
        if not unreported_peers:
            return len(self._in_flight) + self._peer_load.sequences
        return float(len(self._in_flight) * (1 + unreported_peers))

    def tokens_reserved(self, unreported_peers: int) -> float:
        """KV cache tokens reserved by the requests."""
        if not unreported_peers:
            return self._own_reserved + self._peer_load.tokens_reserved
        return self._own_reserved * (1 + unreported_peers)

    def failure_probability(self, now_ms: float) -> float:
        """The probability that a request fails without an event, from recent failures."""
        failures = self._failures * math.exp((self._failed_at_ms - now_ms) / FAILURE_MEMORY_MS)
        return failures / (failures + 1.0)

    def sent(self, now_ms: float, key: str, request: InFlightRequest) -> None:
        """Record an own request that was sent to the upstream."""
        self._update_mean_waiting(now_ms)
        self._in_flight[key] = request
        self._own_waiting += request.uncached
        self._own_reserved += request.generation.prompt_tokens + request.generation.output_tokens

    def request(self, key: str) -> InFlightRequest | None:
        """The own request with this key that has not ended."""
        return self._in_flight.get(key)

    def first_event(self, now_ms: float, key: str) -> InFlightRequest | None:
        """Record the first event of an own request, by which its prompt has been prefilled."""
        request = self._in_flight.get(key)
        if request is None or request.first_at_ms is not None:
            return None
        self._update_mean_waiting(now_ms)
        request.first_at_ms = now_ms
        self._own_waiting = max(self._own_waiting - request.uncached, 0.0)
        self._failures = 0.0
        return request

    def ended(self, now_ms: float, key: str, served: bool) -> None:
        """Record the end of an own request."""
        request = self._in_flight.pop(key, None)
        if request is None:
            return
        self._update_mean_waiting(now_ms)
        if request.first_at_ms is None:
            self._own_waiting = max(self._own_waiting - request.uncached, 0.0)
        self._own_reserved -= request.generation.prompt_tokens + request.generation.output_tokens
        if not self._in_flight:
            self._own_waiting = self._own_reserved = 0.0
        if not served:
            self._record_failure(now_ms)

    def observe_slowness(self, ratio: float) -> None:
        """Update the slowness with a ratio of measured to predicted time to the first event."""
        ratio = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness)

    def _record_failure(self, now_ms: float) -> None:
        decayed = self._failures * math.exp((self._failed_at_ms - now_ms) / FAILURE_MEMORY_MS)
        self._failures, self._failed_at_ms = decayed + 1.0, now_ms

    def _update_mean_waiting(self, now_ms: float) -> None:
        """Update the running mean of own waiting tokens to the current time."""
        elapsed_ms = now_ms - self._mean_updated_ms
        if elapsed_ms > 0.0:
            decay = math.exp(-elapsed_ms / MEAN_WINDOW_MS)
            self._mean_waiting = self._mean_waiting * decay + self._own_waiting * (1.0 - decay)
            self._mean_updated_ms = now_ms
