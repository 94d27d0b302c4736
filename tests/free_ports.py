"""Ports for test servers whose addresses have to be known before they listen.

The ports are below the ephemeral range, from which the system assigns ports to outgoing connections and to
sockets bound to port 0. Each worker of pytest-xdist has its own part of the range. So no other socket takes a
port before the test has bound it.
"""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT, PORTS_PER_WORKER, MAX_WORKERS = 20_000, 1_000, 12
LOOPBACK = "127.0.0.1"

_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]) % MAX_WORKERS
_ports = itertools.cycle(range(PORTS_PER_WORKER))


def free_port() -> int:
    """Return a port that no socket is bound to, a different one on each call.

    Raises:
        OSError: All of this worker's ports are in use.
    """
    for _ in range(PORTS_PER_WORKER):
        port = FIRST_PORT + _worker * PORTS_PER_WORKER + next(_ports)
        with socket.socket() as probe:
            if probe.connect_ex((LOOPBACK, port)) and _is_bindable(port):
                return port
    raise OSError(f"no port is free from {FIRST_PORT + _worker * PORTS_PER_WORKER} on")


def _is_bindable(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
