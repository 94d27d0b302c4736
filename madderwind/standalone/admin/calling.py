"""An operator's call from the command line: one line, and all that is answered."""

from __future__ import annotations

import socket

# Answers are owed in 1 s.
PATIENCE_S = 5.0


def call(address: tuple[str, int], line: str) -> str:
    """OSError where nobody answers in time."""
    with socket.create_connection(address, timeout=PATIENCE_S) as connection:
        connection.sendall(line.encode() + b"\n")
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts).decode()
