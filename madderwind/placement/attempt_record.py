"""What was known and expected as an attempt was placed, and what came of it: for measuring the choices."""

from __future__ import annotations

from enum import Enum

import msgspec


class PlacementReason(Enum):
    """Why an upstream was chosen for a generation."""

    HOME = "home"  # first by rank of its prefix
    CACHED = "cached"  # away from home, where the prefix is believed to be kept
    SPILL = "spill"  # away from home, where nothing of the prefix is kept


class AttemptRecord(msgspec.Struct, frozen=True):
    """One attempt of a generation at an upstream.

    Attributes:
        instance: The upstream.
        prompt_tokens: The whole prompt's length.
        shared_tokens: The part of it that other prompts may have too.
        cached_tokens: What of it the upstream was believed to keep.
        tokens_ahead: Prompt tokens that were believed to wait there before it.
        peer_load_age_ms: How long before the choice the others' load was told.
        alone_first_ms: The first event, as it would be predicted with nothing ahead; from the choice.
        predicted_first_ms: The first event, as predicted.
        first_ms: The first event, as measured; None where there was none.
        aim_ms: The route's objective for it.
        reason: Why this upstream.
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
