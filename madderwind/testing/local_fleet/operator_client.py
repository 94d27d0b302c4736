"""An operator's calls: commands and reads at any control plane, sent again until one answers clearly."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

from madderwind.errors import OperatorCallError

MAX_REDIRECTS = 2
# A control plane that has not answered by then is given up for the next one.
ANSWER_TIMEOUT_S = 2.0
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
# Answers after which the same call elsewhere makes sense.
RETRYABLE_STATUSES = frozenset((408, 429))


class Answer(msgspec.Struct, frozen=True):
    """A clear answer: the status, and the body as it came."""

    status: int
    body: bytes

    @property
    def is_taken(self) -> bool:
        """Whether the call was carried out."""
        return self.status == 200


class OperatorClient:
    """Calls to the control planes at these public addresses; to be used as an async context."""

    def __init__(self, addresses: Sequence[str], within_s: float = 20.0) -> None:
        """`within_s`: how long a call is tried for."""
        self._addresses, self._within_s = list(addresses), within_s

    async def __aenter__(self) -> OperatorClient:
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout, trust_env=False)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def replace(self, base_version: int, document: bytes) -> Answer:
        """Send a whole configuration that follows a version, 0 for the first."""
        return await self._command("/config/replace", base_version, document)

    async def update(self, base_version: int, change: bytes) -> Answer:
        """Send a change of named items on top of a version."""
        return await self._command("/config/update", base_version, change)

    async def read(self) -> Answer:
        """The newest configuration; 404 where there is none yet."""
        return await self._call_until_conclusive("GET", "/config/read", {}, b"")

    async def read_at(self, address: str) -> Answer:
        """The newest configuration as one control plane gives it; OperatorCallError where it can't."""
        answer = await self._call("GET", f"http://{address}/config/read", {}, b"")
        if answer is None:
            raise OperatorCallError(f"{address} gave no clear answer")
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
                raise OperatorCallError(f"no clear answer within {self._within_s:g} s from {tried}")
            self._addresses.append(self._addresses.pop(0))
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _call(self, method: str, url: str, headers: dict[str, str], body: bytes) -> Answer | None:
        """One try; None where it gave no clear answer."""
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
