"""A minimal HTTP/1.1 codec for the rig's clients, upstreams and agents: one message at a time.

The rig handles the raw bytes itself, because a library would correct or hide what the checker has to detect
(a second answer, bytes after the end).
"""

from __future__ import annotations

import asyncio

import msgspec


class Message(msgspec.Struct):
    """A request or an answer as received."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: int = 0

    def header(self, name: str) -> str | None:
        return next((value for n, value in self.headers if n.lower() == name.lower()), None)

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, connection: int = 0) -> Message:
    """Read one message, chunked or not. Raises IncompleteReadError if the connection ends."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = [(n, v.strip()) for n, _, v in (line.partition(":") for line in head[1:] if line)]
    message = Message(head[0], headers, b"", connection)
    if message.header("Transfer-Encoding") == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass  # trailers
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
    return message


def answer(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunk(raw: bytes) -> bytes:
    """Encode one chunk of a chunked answer."""
    return b"%x\r\n%s\r\n" % (len(raw), raw)
