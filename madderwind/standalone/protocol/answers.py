"""Translates upstreams' answers into outcomes of attempts, and final answers into HTTP."""

from __future__ import annotations

from collections.abc import Mapping

from madderwind.standalone.policy.api import Outcome

NEVER_RAN, REPORT, RETRY_AFTER = "X-Never-Ran", "Endpoint-Load-Metrics", "Retry-After"
REFUSED, FAILED, TIMED_OUT, BROKEN, BAD = 503, 502, 504, 500, 400


def outcome_of(status: int, headers: Mapping[str, str]) -> Outcome:
    """The outcome of an answer. Only 503 and 504 with the header `X-Never-Ran` prove that nothing ran."""
    if status == 200:
        return Outcome.OK
    if status in (503, 504) and headers.get(NEVER_RAN) == "1":
        return Outcome.FULL
    return Outcome.ERROR


def refusal_headers(retry_after_ms: float) -> dict[str, str]:
    """The Retry-After header in decimal seconds, if the refusal has a hint."""
    return {RETRY_AFTER: f"{retry_after_ms / 1000:.3f}"} if retry_after_ms > 0 else {}


def read_report(text: str, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """The values of a load report that the settings name, in their order; None if it can't be parsed."""
    report_format, _, fields = text.strip().partition(" ")
    if report_format != "TEXT":
        return None
    values: dict[str, float] = {}
    for part in fields.split(","):
        name, _, value = part.strip().partition("=")
        try:
            values[name] = float(value)
        except ValueError:
            return None
        # Counts and shares are finite numbers, at least 0.
        if not 0 <= values[name] < float("inf"):
            return None
    if not all(name in values for name in names):
        return None
    return tuple(values[name] for name in names)
