"""Accepting connections when descriptors run short, and closing idle ones."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest
from aiohttp import web

from madderwind.transport import listening
from madderwind.transport.listening import Listener
from tests.examples import HOST
from tests.standins import Caller, run, within


def test_accepting_resumes_soon_after_a_descriptor_shortage(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second without accepting, during which pending requests time out."""
    events: list[str] = []
    failures = [OSError(errno.EMFILE, "no"), ConnectionAbortedError(), OSError(errno.EMFILE, "no")]
    accept = socket.socket.accept

    def accept_with_failures(self: socket.socket) -> Any:
        if failures:
            raise failures.pop()
        return accept(self)

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda event, /, **_: events.append(event))
        port = await listener.start(HOST, 0)
        monkeypatch.setattr(socket.socket, "accept", accept_with_failures)
        caller = await Caller.connect(port)
        got = await caller.ask()
        assert got.body == b"taken"
        assert events == ["no_descriptor_to_accept_with"] * 2
        assert await within(listener.finish(5.0)) == 0
        assert await caller.at_end()
        with pytest.raises(ConnectionRefusedError):
            await Caller.connect(port)

    run(test())


def test_pending_connections_are_accepted_at_shutdown() -> None:
    """Guards against connections that are reset at a planned restart with a request already on them."""

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        port = await listener.start(HOST, 0)
        with socket.create_connection((HOST, port)) as pending:
            pending.sendall(b"GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n")
            assert await within(listener.finish(5.0)) == 0  # it was not accepted before
            pending.setblocking(False)
            assert pending.recv(1000).startswith(b"HTTP/1.1 200")

    run(test())


def test_only_connections_between_requests_are_closed_for_new_ones() -> None:
    """Guards against losing a request just written to a connection, or the first one on a new connection."""

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        port = await listener.start(HOST, 0)
        fresh, used, requesting = [await Caller.connect(port) for _ in range(3)]
        for caller in (used, requesting):
            assert (await caller.ask()).status == 200
        requesting.write()  # is in the socket buffer at once, unread before the next line
        listener._web.free_descriptors(3)
        assert await used.at_end()
        assert (await requesting.read()).body == b"taken"
        assert (await fresh.ask()).body == b"taken"
        await listener.finish(5.0)

    run(test())


@pytest.mark.parametrize(
    "partial_head", [b"", b"GET /lookup HTTP/1.1\r\nHost:"], ids=["nothing", "half a head"]
)
def test_a_caller_without_a_complete_head_is_closed(
    monkeypatch: pytest.MonkeyPatch, partial_head: bytes
) -> None:
    """Guards against hundreds of callers that hold their descriptors forever; a pending request is served."""
    monkeypatch.setattr(listening, "FIRST_REQUEST_TIMEOUT_S", 0.0)

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        port = await listener.start(HOST, 0)
        silent_caller, active = await Caller.connect(port), await Caller.connect(port)
        silent_caller.writer.write(partial_head)
        active.write()  # is unread when the connections are checked
        listener._web.close_timed_out()
        assert (await active.read()).body == b"taken"
        assert await silent_caller.at_end()
        await listener.finish(5.0)

    run(test())


def test_an_idle_caller_is_closed_after_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a number of connections that grows all day."""
    monkeypatch.setattr(listening, "IDLE_S", 0.0)

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        caller = await Caller.connect(await listener.start(HOST, 0))
        assert (await caller.ask()).body == b"taken"
        assert await caller.at_end()
        await listener.finish(5.0)

    run(test())


def test_silent_callers_are_closed_when_descriptors_run_short(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against silent connections that repeatedly hold all descriptors for two seconds."""

    async def handler(_: web.BaseRequest) -> web.Response:
        return web.Response(body=b"taken")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        port = await listener.start(HOST, 0)
        fresh = await Caller.connect(port)
        active = await Caller.connect(port)
        assert (await active.ask()).status == 200
        listener._web.free_descriptors(2)
        assert await active.at_end()
        assert (await fresh.ask()).body == b"taken"  # it was too new to count as silent
        silent = await Caller.connect(port)
        while len(listener._web.connections) < 2:
            await asyncio.sleep(0)
        monkeypatch.setattr(listening, "FIRST_REQUEST_GRACE_S", 0.0)
        listener._web.free_descriptors(2)
        assert await silent.at_end()
        await listener.finish(5.0)

    run(test())


def test_too_many_pipelined_requests_get_one_error_and_a_close() -> None:
    """Guards against hundreds of requests on one connection, which take time from all others."""

    async def handler(_: web.BaseRequest) -> web.Response:
        raise AssertionError("none of them is served")

    async def test() -> None:
        listener = Listener(handler, 10, lambda *_, **__: None)
        caller = await Caller.connect(await listener.start(HOST, 0))
        caller.writer.write(b"GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n" * 300)
        got = await caller.read()
        assert (got.status, got.header("Connection")) == (400, "close")
        assert await caller.at_end()
        await listener.finish(5.0)

    run(test())
