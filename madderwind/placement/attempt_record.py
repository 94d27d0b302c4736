"""The inputs, prediction and result of placing an attempt, for evaluating placement decisions."""

from __future__ import annotations

from enum import Enum

import msgspec


class PlacementReason(Enum):
    """Why an upstream was selected for a generation."""

    HOME = "home"  # ranked first for the prefix
    CACHED = "cached"  # not the home, with part of the prefix believed to be cached
    SPILL = "spill"  # not the home, with no part of the prefix cached


class AttemptRecord(msgspec.Struct, frozen=True):
    """One attempt of a generation at an upstream.

    Attributes:
        instance: The id of the upstream.
        prompt_tokens: The length of the whole prompt.
        shared_tokens: The length of the prompt parts that other prompts may share.
        cached_tokens: The prompt tokens that the upstream was believed to have cached.
        tokens_ahead: The estimated prompt tokens queued at the upstream ahead of this prompt.
        peer_load_age_ms: The age of the peers' load report at the time of the placement.
        alone_first_ms: The predicted time from placement to the first event with an empty queue.
        predicted_first_ms: The predicted time to the first event.
        first_ms: The measured time to the first event; None if there was none.
        aim_ms: The route's objective for the time to the first event.
        reason: Why the upstream was selected.
    """

    instance: str
    prompt_tokens: int
    shared_tokens: int
    cached_tokens: int
    tokens_ahead: float
    peer_load_age_ms: float
    alone_first_ms: float
    predicted_first_ms: float
    first_ms: float | None
    aim_ms: float
    reason: PlacementReason
