"""What crosses an end, forced to the very moment: stand-ins hold a byte, a close or a notice until then."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests import examples
from tests.program.harness import Running
from tests.standins import Caller, Message, Upstream, Writer, answer, reset, run, says, within

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
YES, NEVER_RAN = answer(200, b"yes"), answer(503, X_Never_Ran="1")


def held_up(
    patch: pytest.MonkeyPatch, running: Running, number: int, cross: Callable[[], Awaitable[None]]
) -> list[int]:
    """What crosses happens when this attempt has its connection, before its first byte. All attempts."""
    connector = running.service._upstreams._connector
    connect = connector.connect
    attempts: list[int] = []

    async def held(*args: Any, **more: Any) -> Any:
        attempts.append(len(attempts))
        connection = await connect(*args, **more)
        if attempts[-1] == number:
            await cross()
        return connection

    patch.setattr(connector, "connect", held)
    return attempts


@pytest.mark.parametrize("leaves", ["closes", "closes behind unread bytes", "resets", "ends its sending"])
@pytest.mark.parametrize("number", [0, 1])
def test_nothing_is_begun_for_a_caller_who_has_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, leaves: str
) -> None:
    """First attempts and further ones: the caller leaves as the connection comes up, and nobody has read it."""

    async def test() -> None:
        upstream = Upstream(says(NEVER_RAN))
        async with Running(tmp_path, upstream) as running:
            caller = socket.create_connection((examples.HOST, running.port))
            crossed = asyncio.Event()

            async def leave() -> None:
                if "unread" in leaves:
                    (callers,) = running.service._listener._web.connections
                    assert callers.transport is not None
                    callers.transport.pause_reading()
                    caller.send(b"GET / HTTP/1.1\r\n")
                if leaves == "resets":
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                if leaves == "ends its sending":
                    caller.shutdown(socket.SHUT_WR)
                else:
                    caller.close()
                crossed.set()

            held_up(monkeypatch, running, number, leave)
            caller.sendall(
                b"GET /lookup HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Customer: acme\r\n"
                b"X-Expires-In-Ms: 30000\r\n\r\n"
            )
            await within(crossed.wait())
            await within(running.settled())
            assert len(upstream.asked) == number
            assert running.log.named("client_left")
            assert not running.broken
            caller.close()

    run(test())


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_is_not_written_past_its_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    """Decided on within the window, its connection comes up before the window's end, or just after it."""

    async def test() -> None:
        async def lost(_: Message, writer: Writer) -> None:
            reset(writer)

        upstreams = Upstream(lost), Upstream(lost)
        async with Running(tmp_path, *upstreams) as running:
            path = tmp_path / "config.json"
            tree = json.loads(path.read_text())
            tree["settings"]["Profiles"][2]["WindowMs"] = 600.0
            path.write_text(json.dumps(tree))
            running.service.reload()

            async def wait() -> None:
                (exchange,) = running.service.copy.open.values()
                first_ms = exchange.written_ms[0]  # type: ignore[attr-defined]
                if late:
                    await asyncio.sleep(first_ms / 1000 + 0.601 - running.service.copy.clock.now_ms() / 1000)
                else:
                    assert running.service.copy.clock.now_ms() < first_ms + 600

            held_up(monkeypatch, running, 1, wait)
            caller = await Caller.connect(running.port)
            got = await caller.ask("POST /checkout", b"1", Idempotency_Key=KEY, wait_ms=3000)
            assert got.status in (502, 503)
            asked = sum(len(upstream.asked) for upstream in upstreams)
            assert asked == 1 if late else asked >= 2
            assert not running.broken

    run(test())
