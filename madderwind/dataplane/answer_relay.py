"""Relays an upstream's response to the client.

Short responses are buffered, long ones are passed on as they arrive, and event streams go event by event.
"""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.client_reqrep import ClientResponse

from madderwind.dataplane.attempts import Attempt, AttemptResult, Progress
from madderwind.dataplane.client_answers import ClientAnswer
from madderwind.dataplane.event_stream import EVENT_STREAM, EventSplitter, EventTooLong
from madderwind.dataplane.request_parts import MS_PER_S, RequestParts
from madderwind.dataplane.upstream_heads import tells_its_end
from madderwind.messages.header_text import is_header_text

# Responses up to this size are buffered, so that a truncated one is detected before any of it is sent and
# the request can be retried where that is safe. Longer ones are passed on as they arrive.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024

_OK = 200


class AnswerRelay:
    """The response to one request; a stream may continue from one upstream to the next.

    Attributes:
        final: The client's response, once it is complete.
    """

    def __init__(self, parts: RequestParts, progress: Progress, answer: ClientAnswer) -> None:
        """Start without a response."""
        self._parts, self._progress, self._answer = parts, progress, answer
        self._loop = asyncio.get_running_loop()
        self._is_resumable_route = progress.is_resumable
        self._last_event_id: bytes | None = None  # of the last event that the client was sent
        self.final: web.StreamResponse | None = None

    def resume_after(self) -> str | None:
        """The id of the event after which another upstream should resume the stream.

        None if the client was sent no event, or if the last one has no id that a header can hold.
        """
        return _header_value(self._last_event_id)

    async def relay(self, response: ClientResponse, attempt: Attempt, key: str) -> AttemptResult:
        """Relay a response to the client.

        Args:
            response: The upstream's response, its head already read.
            attempt: The attempt that it answers.
            key: Identifies the attempt within this process.
        """
        content_type = response.headers.get("Content-Type", "")
        if response.status == _OK and content_type.startswith(EVENT_STREAM):
            return await self._relay_stream(response, attempt, key)
        if self._progress.answer_begun:  # only another event stream can continue a stream
            response.close()
            return AttemptResult.BROKEN
        length = response.content_length
        if length is None or length > MAX_BUFFERED_ANSWER_BYTES:
            return await self._relay_unbuffered(response, length)
        body = await response.read()
        self.final = self._answer.complete(response, body)
        return AttemptResult.COMPLETE

    async def _relay_stream(self, response: ClientResponse, attempt: Attempt, key: str) -> AttemptResult:
        """Relay complete events as they arrive; the head is sent with the first one."""
        if not self._progress.answer_begun:
            self._answer.set_head(response, None)
        events = EventSplitter(self._last_event_id)
        data = await response.content.readany()
        if data:
            self._parts.chooser.stream_began(self._now_ms(), key, attempt.instance)
            try:
                await self._relay_events(response, events, data, attempt.instance)
            except EventTooLong:
                response.close()
                return AttemptResult.BROKEN
            finally:
                attempt.discarded_bytes = len(events.rest)
                self._parts.chooser.streams.ended(attempt.instance)
        if events.is_within_event or (events.rest and not tells_its_end(response.headers)):
            self._parts.counters["attempt truncated"] += 1
            return AttemptResult.BROKEN
        attempt.discarded_bytes = 0
        if events.rest:
            await self._answer.write(events.rest)
        self.final = await self._answer.end()
        return AttemptResult.COMPLETE

    async def _relay_events(
        self, response: ClientResponse, events: EventSplitter, data: bytes, instance: str
    ) -> None:
        """Relay all events of a stream, starting with its first bytes."""
        streams = self._parts.chooser.streams
        while data:
            if complete := events.feed(data):
                self._progress.answer_begun = True
                self._last_event_id = events.last_id
                # Without an id of the last event another upstream would resume before it and repeat it.
                can_be_named = _header_value(events.last_id) is not None
                self._progress.is_resumable = self._is_resumable_route and can_be_named
                await self._answer.write(complete)
            data = await response.content.readany()
            streams.record_data(self._now_ms(), instance)

    async def _relay_unbuffered(self, response: ClientResponse, length: int | None) -> AttemptResult:
        """Relay a long response; if it is truncated, the client's response is aborted too."""
        self._answer.set_head(response, length)
        while data := await response.content.readany():
            self._progress.answer_begun = True
            self._progress.is_resumable = False
            await self._answer.write(data)
        self.final = await self._answer.end()
        return AttemptResult.COMPLETE

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S


def _header_value(event_id: bytes | None) -> str | None:
    """An event's id as the value of a header; None if it has none that a header can hold."""
    if event_id is None:
        return None
    text = event_id.decode(errors="surrogateescape")
    return text if is_header_text(text) else None
