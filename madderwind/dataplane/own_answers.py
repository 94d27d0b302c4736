"""Answers of this program's own: they carry no upstream's signature."""

from __future__ import annotations

from aiohttp import web

RETRY_AFTER = "Retry-After"
MS_PER_S = 1000.0


def own_answer(status: int, reason: str, closes: bool = False) -> web.Response:
    """A final answer that makes no promise, or states that the request itself is at fault."""
    response = web.Response(status=status, text=f"{reason}\n")
    if closes:
        response.force_close()
    return response


def refusal(status: int, reason: str, retry_after_ms: float) -> web.Response:
    """An answer which promises that the request has not run and never will (503, 429)."""
    response = own_answer(status, reason)
    response.headers[RETRY_AFTER] = f"{retry_after_ms / MS_PER_S:.3f}"
    return response
