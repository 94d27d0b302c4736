"""The HTTP server for operators and upstreams: configurations and heartbeats as JSON."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import msgspec
from aiohttp import web

from madderwind.configuration.acceptance import DOCUMENT_SIZE
from madderwind.controlplane.host import ControlPlaneHost
from madderwind.errors import HeartbeatError
from madderwind.log_events.control_plane import COMMAND_COMPLETED, INVALID_HEARTBEAT
from madderwind.messages.message_pack import MAX_INTEGER_DIGITS
from madderwind.registry.heartbeats import MAX_HEARTBEAT_BYTES, check_instance
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, CommandResult
from madderwind.structured_log import Log, write_line

MAX_COMMAND_BYTES = 4 * 1024 * 1024
BASE_VERSION_HEADER = "X-Base-Version"
# An upstream calls another control plane after a second; an operator's large body takes longer to arrive.
HEARTBEAT_BODY_TIMEOUT_S, COMMAND_BODY_TIMEOUT_S = 1.0, 10.0
RETRY_AFTER_S = "0.1"

_HTTP_STATUS = {
    CommandOutcome.COMMITTED: 200,
    CommandOutcome.STALE_BASE: 412,
    CommandOutcome.INVALID: 400,
    CommandOutcome.UNKNOWN: 503,
}


class PublicServer:
    """Serves the operator's API and the registration of upstreams."""

    def __init__(self, host: ControlPlaneHost, log: Log) -> None:
        self._host, self._log = host, log
        self._is_shutting_down = False

    def application(self) -> web.Application:
        """The aiohttp application with the server's routes."""
        application = web.Application(client_max_size=MAX_COMMAND_BYTES)
        router = application.router
        router.add_post("/instances/{instance}/heartbeat", self._heartbeat)
        router.add_post("/instances/{instance}/deregister", self._deregister)
        router.add_post("/config/replace", self._replace)
        router.add_post("/config/update", self._update)
        router.add_get("/config/read", self._read)
        return application

    def reject_new_calls(self) -> None:
        """Answer new calls with 503 before shutdown, so that callers turn to another control plane."""
        self._is_shutting_down = True

    async def _heartbeat(self, request: web.Request) -> web.Response:
        if self._is_shutting_down:
            return _shutting_down()
        body = await _read_body(request, MAX_HEARTBEAT_BYTES, HEARTBEAT_BODY_TIMEOUT_S)
        if self._is_shutting_down:
            return _shutting_down()
        instance = request.match_info["instance"]
        try:
            is_accepted = await self._host.handle_heartbeat(instance, body)
        except HeartbeatError as error:
            return self._reject_upstream(instance, error)
        return _upstream_response(is_accepted)

    async def _deregister(self, request: web.Request) -> web.Response:
        if self._is_shutting_down:
            return _shutting_down()
        instance = request.match_info["instance"]
        try:
            check_instance(instance)
        except HeartbeatError as error:
            return self._reject_upstream(instance, error)
        return _upstream_response(await self._host.deregister(instance))

    def _reject_upstream(self, instance: str, error: HeartbeatError) -> web.Response:
        write_line(self._log, INVALID_HEARTBEAT.line(instance=instance, reason=str(error)))
        return _json_response(400, {"error": str(error)})

    async def _replace(self, request: web.Request) -> web.Response:
        return await self._submit(request, CommandKind.REPLACE)

    async def _update(self, request: web.Request) -> web.Response:
        return await self._submit(request, CommandKind.UPDATE)

    async def _submit(self, request: web.Request, kind: CommandKind) -> web.Response:
        if self._is_shutting_down:
            return _shutting_down()
        base = request.headers.get(BASE_VERSION_HEADER, "")
        if not (base.isascii() and base.isdigit() and len(base) <= MAX_INTEGER_DIGITS):
            error = f"a whole number of at most {MAX_INTEGER_DIGITS} digits is expected"
            return _json_response(400, {"error": error, "field": BASE_VERSION_HEADER})
        body = await _read_body(request, MAX_COMMAND_BYTES, COMMAND_BODY_TIMEOUT_S)
        if self._is_shutting_down:
            return _shutting_down()
        result = await self._host.submit(Command(kind, int(base), body))
        line = COMMAND_COMPLETED.line(
            kind=kind.value,
            base_version=int(base),
            outcome=result.outcome.value,
            version=result.version,
            field=result.field,
            reason=result.reason,
        )
        write_line(self._log, line)
        return _command_response(result)

    async def _read(self, _request: web.Request) -> web.Response:
        if self._is_shutting_down:
            return _shutting_down()
        response = await self._host.read()
        if response.document is None:
            return _unavailable("no newest configuration could be proven here and now")
        if not response.version:
            return _json_response(404, {"error": "there is no configuration yet"})
        return web.Response(body=response.document, content_type="application/json")


async def _read_body(request: web.Request, max_bytes: int, timeout_s: float) -> bytes:
    """Read the complete body; responds with 413 if it is too long, 408 if it does not arrive in time."""
    if (request.content_length or 0) > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes, request.content_length or 0)
    try:
        async with asyncio.timeout(timeout_s):
            body = await request.read()
    except TimeoutError:
        raise web.HTTPRequestTimeout from None
    if len(body) > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes, len(body))
    return body


def _upstream_response(is_accepted: bool) -> web.Response:
    return _json_response(200, {}) if is_accepted else _unavailable("no other control plane has confirmed it")


def _command_response(result: CommandResult) -> web.Response:
    if result.outcome is CommandOutcome.UNKNOWN:
        return _unavailable("no clear answer here and now")
    if result.outcome is CommandOutcome.COMMITTED:
        return _json_response(200, {"version": result.version})
    return _json_response(
        _command_status(result),
        {
            "error": result.reason or result.outcome.value,
            "field": result.field,
            "current_version": result.version,
        },
    )


def _command_status(result: CommandResult) -> int:
    # Told by the field: control planes of earlier versions know no further outcome.
    is_too_large = result.outcome is CommandOutcome.INVALID and result.field == DOCUMENT_SIZE
    return HTTPStatus.REQUEST_ENTITY_TOO_LARGE if is_too_large else _HTTP_STATUS[result.outcome]


def _shutting_down() -> web.Response:
    return _unavailable("this process is about to end")


def _unavailable(reason: str) -> web.Response:
    response = _json_response(503, {"error": reason})
    response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def _json_response(status: int, content: dict[str, str | int]) -> web.Response:
    return web.Response(status=status, body=msgspec.json.encode(content), content_type="application/json")
