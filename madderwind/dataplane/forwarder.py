"""Handles clients' requests: reads, admits and forwards them."""

from __future__ import annotations

import asyncio
import itertools

from aiohttp import web

from madderwind.dataplane.admission import Rejected
from madderwind.dataplane.body_memory import BodyMemoryFull, BodyReservation
from madderwind.dataplane.client_answers import ClientDisconnected
from madderwind.dataplane.client_requests import CutShortByShutdown, UnusableRequest, read_request
from madderwind.dataplane.own_answers import own_answer, refusal
from madderwind.dataplane.request_forwarding import RequestForwarding
from madderwind.dataplane.request_parts import MS_PER_S, RequestParts
from madderwind.transport.bodies import discard_rest


class Forwarder:
    """Handler for all requests of clients."""

    def __init__(self, parts: RequestParts) -> None:
        self._parts = parts
        self._request_numbers = itertools.count()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request, from its head to its final response."""
        with BodyReservation(self._parts.body_memory) as reservation:
            return await self._serve(request, reservation)

    async def _serve(self, request: web.BaseRequest, reservation: BodyReservation) -> web.StreamResponse:
        parts = self._parts
        loop = asyncio.get_running_loop()
        arrived_ms = loop.time() * MS_PER_S
        try:
            client_request = await read_request(
                request,
                parts.admission.limits,
                lambda: self._deadline_s(request, arrived_ms),
                parts.shutdown,
                reservation,
            )
        except UnusableRequest as error:
            return self._reject_unusable(error)
        except BodyMemoryFull as error:
            discard_rest(request)
            return self._reject_and_close(parts.admission.retryable_rejection(str(error)))
        except CutShortByShutdown as error:
            return self._reject_and_close(parts.admission.retryable_rejection(str(error)))
        now_ms = loop.time() * MS_PER_S
        decision = parts.admission.admit(now_ms, arrived_ms, client_request.target, request.headers)
        if isinstance(decision, Rejected):
            return self._reject(decision)
        parts.budget.request(now_ms, decision.service)
        forwarding = RequestForwarding(parts, f"{next(self._request_numbers)}", client_request, decision)
        try:
            return await forwarding.run()
        except ClientDisconnected:
            parts.counters["client gone"] += 1
            return forwarding.answer.abort()
        finally:
            client_request.body = b""  # released at once, not by the next collection of cycles

    def _deadline_s(self, request: web.BaseRequest, arrived_ms: float) -> float:
        """The end of a request's time limit, on the loop's clock."""
        path = request._message.path
        return self._parts.admission.until_ms(arrived_ms, path, request.headers) / MS_PER_S

    def _reject(self, rejected: Rejected) -> web.Response:
        """The response to a request that is not forwarded."""
        self._parts.counters[f"rejected {rejected.status}"] += 1
        if rejected.retry_after_ms is None:
            return own_answer(rejected.status, rejected.reason)
        return refusal(rejected.status, rejected.reason, rejected.retry_after_ms)

    def _reject_and_close(self, rejected: Rejected) -> web.Response:
        """The response to a request of which more may follow on its connection."""
        response = self._reject(rejected)
        response.force_close()
        return response

    def _reject_unusable(self, error: UnusableRequest) -> web.StreamResponse:
        """The response to a request that was not read completely.

        A limit that a newer configuration may have raised does not cause a final rejection.
        """
        admission = self._parts.admission
        if error.exceeds_limit and not admission.knows_newest:
            return self._reject_and_close(admission.provisional_rejection())
        self._parts.counters[f"unusable {error.status}"] += 1
        return own_answer(error.status, str(error), closes=True)
