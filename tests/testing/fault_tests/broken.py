"""The program with one deliberate fault: `broken.py FAULT serve`. The judge has to detect each of them."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[3]))

from aiohttp import web  # noqa: E402

from madderwind.standalone.evacuation.observations import ZoneObservation  # noqa: E402
from madderwind.standalone.evacuation.reporting import Reporting  # noqa: E402
from madderwind.standalone.policy import repetition  # noqa: E402
from madderwind.standalone.policy.admission import Admission  # noqa: E402
from madderwind.standalone.policy.api import UpstreamState  # noqa: E402
from madderwind.standalone.policy.picker import Picker  # noqa: E402
from madderwind.standalone.policy.records import Request  # noqa: E402
from madderwind.standalone.policy.upstreams import Upstream  # noqa: E402
from madderwind.standalone.program import cli, service  # noqa: E402
from madderwind.standalone.protocol import listing  # noqa: E402
from madderwind.standalone.routing import exchange  # noqa: E402
from madderwind.standalone.routing.peers import Peers  # noqa: E402

_calls = itertools.count(1)
Answer = web.StreamResponse
Handler = Callable[[Any, web.BaseRequest], Awaitable[Answer]]


def _serve_with(handler: Handler, every: int = 1) -> None:
    """Every `every`-th request goes to this handler, the others to the program's own."""

    async def serve(copy: Any, request: web.BaseRequest) -> Answer:
        return await (exchange.serve if next(_calls) % every else handler)(copy, request)

    setattr(service, "serve", serve)  # noqa: B010


async def _abort_connection(copy: Any, request: web.BaseRequest) -> Answer:
    """Abort the connection instead of sending the answer. Without an attempt sent, this would count as a
    keep-alive race and not as a fault."""
    answer = await exchange.serve(copy, request)
    if request.transport is not None:
        request.transport.abort()
    return answer


async def _answer_late(_: Any, __: web.BaseRequest) -> Answer:
    await asyncio.sleep(2.4)
    return web.Response(status=504)


async def _answer_made_up(_: Any, __: web.BaseRequest) -> Answer:
    return web.Response(body=b'{"number":1,"upstream":2}')


def _answer_status(status: int) -> Handler:
    async def answer_status(_: Any, __: web.BaseRequest) -> Answer:
        return web.Response(status=status)

    return answer_status


async def _answer_slowly(copy: Any, request: web.BaseRequest) -> Answer:
    answer = await exchange.serve(copy, request)
    await asyncio.sleep(1.2)
    return answer


async def _answer_twice(copy: Any, request: web.BaseRequest) -> Answer:
    second_answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    transport = request.transport
    assert transport is not None
    asyncio.get_running_loop().call_later(0.2, transport.write, second_answer)
    return await exchange.serve(copy, request)


def _flood_messages() -> None:
    original = Peers.tell

    def tell(self: Peers, peer: int | None, message: bytes) -> None:
        for _ in range(60):
            original(self, peer, message + bytes(240 - len(message)))

    setattr(Peers, "tell", tell)  # noqa: B010


def _prefer_upstreams(matches: Callable[[Upstream], bool]) -> None:
    """Every second pick chooses a matching upstream if there is one, and admission accepts every request."""
    original = Picker.pick

    def pick(self: Picker, request: Request, now: float) -> Upstream | None:
        matching = [u for u in self._fleet.upstreams.values() if matches(u)]
        is_retry = bool(request.attempts)
        return matching[0] if matching and not is_retry and next(_calls) % 2 else original(self, request, now)

    setattr(Picker, "pick", pick)  # noqa: B010
    setattr(Admission, "admits", lambda *_: True)  # noqa: B010


def _resend_always() -> None:
    setattr(repetition, "may_be_resent", lambda *_: True)  # noqa: B010
    _prefer_upstreams(lambda u: u.entry.upstream == 1)  # makes enough attempts end with a reset


def _burn_cpu() -> None:
    def burn() -> None:
        while True:
            time.monotonic()

    threading.Thread(target=burn, daemon=True).start()


def _report_all_bad() -> None:
    """Copy 0 reports every upstream as bad, whatever it observes; the other copies are unchanged."""
    if not any("copy-0/" in argument for argument in sys.argv):
        return

    def own(self: Reporting, now: float) -> dict[str, ZoneObservation]:
        marks = {
            place.zone: frozenset(p.mark for p in self._topology.places.values())
            for place in self._topology.places.values()
        }
        return {
            zone: ZoneObservation(all_of_them, frozenset(), now, now) for zone, all_of_them in marks.items()
        }

    setattr(Reporting, "own", own)  # noqa: B010


def _exit_early() -> None:
    threading.Timer(3.0, lambda: os._exit(3)).start()


_allocated: list[bytes] = []

FAULTS: dict[str, Callable[[], Any]] = {
    "sound": lambda: None,
    "cuts-off": lambda: _serve_with(_abort_connection, 30),
    "answers-late": lambda: _serve_with(_answer_late, 30),
    "makes-up": lambda: _serve_with(_answer_made_up, 30),
    "answers-twice": lambda: _serve_with(_answer_twice, 10),
    "resends": _resend_always,
    "sends-to-drained": lambda: listing.STATES.update(Terminating=UpstreamState.READY),
    "pushes-cold-over": lambda: _prefer_upstreams(lambda u: u.started_ms > 0),
    "ends": _exit_early,
    "refuses": lambda: _serve_with(_answer_status(503), 2),
    "fails": lambda: _serve_with(_answer_status(500), 4),
    "slow": lambda: _serve_with(_answer_slowly, 4),
    "learns-nothing": lambda: _prefer_upstreams(lambda u: u.entry.upstream == 1),
    "talks": _flood_messages,
    "calls-all-bad": _report_all_bad,
    "burns": _burn_cpu,
    "hoards": lambda: _allocated.append(b"x" * (150 << 20)),
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(cli.main(sys.argv[2:]))
