"""A chunked answer that stays open."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

import aiohttp
from yarl import URL


class StreamEnded(Exception):
    """The stream broke, fell silent or was no stream at all; the text says how."""


async def parts(
    address: tuple[str, int], target: str, until_s: Callable[[], float]
) -> AsyncGenerator[bytes, None]:
    """The answer's bytes as they come. StreamEnded when it ends, or once the loop's clock is past `until_s`.

    That is asked anew before each wait: the caller moves it on for what it takes for a sign of life. It
    bounds the connecting and the answer's head as well, so no sum of waits goes past it.
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
