"""The program, broken in one way on purpose: `broken.py WAY serve`. A judge that lets one pass is none."""

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
Meeting = Callable[[Any, web.BaseRequest], Awaitable[Answer]]


def _serves(meet: Meeting, every: int = 1) -> None:
    """Each so-many-th request is met so, the others as they should be."""

    async def serve(copy: Any, request: web.BaseRequest) -> Answer:
        return await (exchange.serve if next(_calls) % every else meet)(copy, request)

    setattr(service, "serve", serve)  # noqa: B010


async def _cut_off(copy: Any, request: web.BaseRequest) -> Answer:
    """Its connection ends where the answer is due. With no attempt out it would be a crossing, no fault."""
    answer = await exchange.serve(copy, request)
    if request.transport is not None:
        request.transport.abort()
    return answer


async def _late(_: Any, __: web.BaseRequest) -> Answer:
    await asyncio.sleep(2.4)
    return web.Response(status=504)


async def _made_up(_: Any, __: web.BaseRequest) -> Answer:
    return web.Response(body=b'{"number":1,"upstream":2}')


def _says(status: int) -> Meeting:
    async def say(_: Any, __: web.BaseRequest) -> Answer:
        return web.Response(status=status)

    return say


async def _slow(copy: Any, request: web.BaseRequest) -> Answer:
    answer = await exchange.serve(copy, request)
    await asyncio.sleep(1.2)
    return answer


async def _twice(copy: Any, request: web.BaseRequest) -> Answer:
    again = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    transport = request.transport
    assert transport is not None
    asyncio.get_running_loop().call_later(0.2, transport.write, again)
    return await exchange.serve(copy, request)


def _talks() -> None:
    sound = Peers.tell

    def tell(self: Peers, peer: int | None, words: bytes) -> None:
        for _ in range(60):
            sound(self, peer, words + bytes(240 - len(words)))

    setattr(Peers, "tell", tell)  # noqa: B010


def _insists(on: Callable[[Upstream], bool]) -> None:
    """Every second pick falls on such an upstream, where there is one, and all are let in."""
    sound = Picker.pick

    def pick(self: Picker, request: Request, now: float) -> Upstream | None:
        such = [u for u in self._fleet.upstreams.values() if on(u)]
        resent = bool(request.attempts)
        return such[0] if such and not resent and next(_calls) % 2 else sound(self, request, now)

    setattr(Picker, "pick", pick)  # noqa: B010
    setattr(Admission, "admits", lambda *_: True)  # noqa: B010


def _resends() -> None:
    setattr(repetition, "may_be_resent", lambda *_: True)  # noqa: B010
    _insists(lambda u: u.entry.upstream == 1)  # so that enough attempts end with a reset


def _burns() -> None:
    def burn() -> None:
        while True:
            time.monotonic()

    threading.Thread(target=burn, daemon=True).start()


def _calls_all_bad() -> None:
    """Copy 0 alone, whatever it sees."""
    if not any("copy-0/" in word for word in sys.argv):
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


def _ends() -> None:
    threading.Timer(3.0, lambda: os._exit(3)).start()


_hoard: list[bytes] = []

WAYS: dict[str, Callable[[], Any]] = {
    "sound": lambda: None,
    "cuts-off": lambda: _serves(_cut_off, 30),
    "answers-late": lambda: _serves(_late, 30),
    "makes-up": lambda: _serves(_made_up, 30),
    "answers-twice": lambda: _serves(_twice, 10),
    "resends": _resends,
    "sends-to-drained": lambda: listing.STATES.update(Terminating=UpstreamState.READY),
    "pushes-cold-over": lambda: _insists(lambda u: u.started_ms > 0),
    "ends": _ends,
    "refuses": lambda: _serves(_says(503), 2),
    "fails": lambda: _serves(_says(500), 4),
    "slow": lambda: _serves(_slow, 4),
    "learns-nothing": lambda: _insists(lambda u: u.entry.upstream == 1),
    "talks": _talks,
    "calls-all-bad": _calls_all_bad,
    "burns": _burns,
    "hoards": lambda: _hoard.append(b"x" * (150 << 20)),
}

if __name__ == "__main__":
    WAYS[sys.argv[1]]()
    sys.exit(cli.main(sys.argv[2:]))
