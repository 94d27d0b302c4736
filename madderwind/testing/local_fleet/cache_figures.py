"""Prefix cache figures: shared prompt tokens found in an upstream's cache, and tokens prefilled again."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from madderwind.testing.engine_emulator.records import AnyRecord, PrefilledPart

MS_PER_S = 1000.0


class CacheFigures(msgspec.Struct, frozen=True):
    """Token counts of shared prompt parts.

    `requested_tokens` counts them in all prompts that ran, `prefilled_tokens` those that were prefilled, and
    `prefilled_again_tokens` those that were prefilled again within `again_s` of the previous prefill.
    """

    requested_tokens: int
    prefilled_tokens: int
    prefilled_again_tokens: int

    @property
    def hit_share(self) -> float:
        """Fraction of the shared tokens that did not have to be prefilled."""
        if not self.requested_tokens:
            return 0.0
        return max(0.0, 1.0 - self.prefilled_tokens / self.requested_tokens)

    @property
    def again_share(self) -> float:
        """Fraction of the shared tokens prefilled although an upstream had prefilled them shortly before."""
        return self.prefilled_again_tokens / self.requested_tokens if self.requested_tokens else 0.0


def cache_figures(records: Iterable[AnyRecord], requested_tokens: int, again_s: float) -> CacheFigures:
    """Compute the figures of one load from the records of all its upstreams."""
    prefills: Sequence[PrefilledPart] = sorted(
        (record for record in records if isinstance(record, PrefilledPart) and record.shared),
        key=lambda prefill: prefill.at_ms,
    )
    last_prefill_ms: dict[str, float] = {}
    again_tokens = 0
    for prefill in prefills:
        previous_ms = last_prefill_ms.get(prefill.part)
        if previous_ms is not None and prefill.at_ms - previous_ms <= again_s * MS_PER_S:
            again_tokens += prefill.tokens
        last_prefill_ms[prefill.part] = prefill.at_ms
    return CacheFigures(requested_tokens, sum(prefill.tokens for prefill in prefills), again_tokens)
