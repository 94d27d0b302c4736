"""A chunked response that stays open."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

import aiohttp
from yarl import URL


class StreamEnded(Exception):
    """The stream broke, timed out or never started; the text says how."""


async def parts(
    address: tuple[str, int], target: str, until_s: Callable[[], float]
) -> AsyncGenerator[bytes, None]:
    """Yield the response's bytes as they arrive.

    Raises StreamEnded when the response ends, or once the loop's clock is past `until_s`. `until_s` is called
    before each wait, so that the caller can extend the time on any sign of life. It bounds the connect and
    the response's head as well, so the waits never add up beyond it.
    """
    url = URL(f"http://{address[0]}:{address[1]}{target}", encoded=True)
    try:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None), cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        ) as session:
            async with asyncio.timeout_at(until_s()):
                response = await session.get(url, allow_redirects=False)
            async with response:
                if response.status != 200:
                    raise StreamEnded(f"status {response.status}")
                while True:
                    async with asyncio.timeout_at(until_s()):
                        part = await response.content.readany()
                    if not part:
                        raise StreamEnded("ended")
                    yield part
    except TimeoutError:
        raise StreamEnded("silent") from None
    except (aiohttp.ClientError, OSError) as error:
        raise StreamEnded(f"{type(error).__name__}: {error}") from None
