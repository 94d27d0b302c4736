"""Client for operator commands and reads, which retries at any control plane until a conclusive response."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

from madderwind.errors import OperatorCallError

MAX_REDIRECTS = 2
# After this time without a response the client tries the next control plane.
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
# Statuses below 500 after which the same call is retried at another control plane.
RETRYABLE_STATUSES = frozenset((408, 429))


class Answer(msgspec.Struct, frozen=True):
    """A conclusive response: the status and the raw body."""

    status: int
    body: bytes

    @property
    def is_taken(self) -> bool:
        """Whether the call succeeded."""
        return self.status == 200


class OperatorClient:
    """Calls the control planes at these public addresses. Use as an async context manager."""

    def __init__(self, addresses: Sequence[str], within_s: float = 20.0) -> None:
        """`within_s` limits how long a call is retried."""
        self._addresses, self._within_s = list(addresses), within_s

    async def __aenter__(self) -> OperatorClient:
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout, trust_env=False)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def replace(self, base_version: int, document: bytes) -> Answer:
        """Send a whole configuration based on a version, 0 for the first configuration."""
        return await self._command("/config/replace", base_version, document)

    async def update(self, base_version: int, change: bytes) -> Answer:
        """Send a change of named items based on a version."""
        return await self._command("/config/update", base_version, change)

    async def read(self) -> Answer:
        """Read the newest configuration; status 404 if there is none yet."""
        return await self._call_until_conclusive("GET", "/config/read", {}, b"")

    async def read_at(self, address: str) -> Answer:
        """Read the newest configuration from one control plane.

        Raises OperatorCallError without a conclusive response.
        """
        answer = await self._call("GET", f"http://{address}/config/read", {}, b"")
        if answer is None:
            raise OperatorCallError(f"{address} gave no conclusive response")
        return answer

    async def _command(self, path: str, base_version: int, body: bytes) -> Answer:
        headers = {"X-Base-Version": str(base_version), "Content-Type": "application/json"}
        return await self._call_until_conclusive("POST", path, headers, body)

    async def _call_until_conclusive(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        loop = asyncio.get_running_loop()
        deadline_s, backoff_s = loop.time() + self._within_s, MIN_BACKOFF_S
        while True:
            answer = await self._call(method, f"http://{self._addresses[0]}{path}", headers, body)
            if answer is not None:
                return answer
            if loop.time() + backoff_s > deadline_s:
                tried = ", ".join(sorted(self._addresses))
                raise OperatorCallError(f"no conclusive response within {self._within_s:g} s from {tried}")
            self._addresses.append(self._addresses.pop(0))
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _call(self, method: str, url: str, headers: dict[str, str], body: bytes) -> Answer | None:
        """Make one attempt, following redirects; None without a conclusive response."""
        try:
            for _ in range(MAX_REDIRECTS + 1):
                async with self._session.request(
                    method, url, headers=headers, data=body or None, allow_redirects=False
                ) as answer:
                    content = await answer.read()
                    if answer.status != 307:
                        break
                    url = answer.headers.get("Location", url)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        if answer.status >= 500 or answer.status in RETRYABLE_STATUSES or answer.status == 307:
            return None
        return Answer(answer.status, content)
