"""Upstreams' answers as the module's outcomes, and the final answers as HTTP."""

from __future__ import annotations

from collections.abc import Mapping

from madderwind.standalone.policy.api import Outcome

NEVER_RAN, REPORT, RETRY_AFTER = "X-Never-Ran", "Endpoint-Load-Metrics", "Retry-After"
REFUSED, FAILED, TIMED_OUT, BROKEN, BAD = 503, 502, 504, 500, 400


def outcome_of(status: int, headers: Mapping[str, str]) -> Outcome:
    """Only 503 and 504 with the mark are proof that nothing ran; without it nothing is certain."""
    if status == 200:
        return Outcome.OK
    if status in (503, 504) and headers.get(NEVER_RAN) == "1":
        return Outcome.FULL
    return Outcome.ERROR


def refusal_headers(retry_after_ms: float) -> dict[str, str]:
    """Seconds, whole or decimal, where the module gives a hint."""
    return {RETRY_AFTER: f"{retry_after_ms / 1000:.3f}"} if retry_after_ms > 0 else {}


def read_report(text: str, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """The figures that the settings name, in their order; None where the report cannot be read so."""
    form, _, fields = text.strip().partition(" ")
    if form != "TEXT":
        return None
    found: dict[str, float] = {}
    for part in fields.split(","):
        name, _, value = part.strip().partition("=")
        try:
            found[name] = float(value)
        except ValueError:
            return None
        # No count or share is less than nothing, endless, or no number.
        if not 0 <= found[name] < float("inf"):
            return None
    if not all(name in found for name in names):
        return None
    return tuple(found[name] for name in names)
