"""Client for the admin address: sends one command line and reads the whole answer."""

from __future__ import annotations

import socket

# The server has to answer within 1 s.
CALL_TIMEOUT_S = 5.0


def call(address: tuple[str, int], line: str) -> str:
    """Send a command and return the answer. Raises OSError if none arrives in time."""
    with socket.create_connection(address, timeout=CALL_TIMEOUT_S) as connection:
        connection.sendall(line.encode() + b"\n")
        chunks = []
        while chunk := connection.recv(65536):
            chunks.append(chunk)
    return b"".join(chunks).decode()
