"""Options of the sockets between the system's own processes.

A peer without power or behind a network partition sends nothing: connections to it have to time out.
"""

from __future__ import annotations

import socket
from typing import Any

# Bytes that are not acknowledged for so long end the connection.
ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500
# Where nothing is sent, probes tell whether the other side is there.
PROBE_AFTER_S, PROBE_INTERVAL_S, PROBES = 3, 1, 3


def set_options(tcp_socket: socket.socket) -> None:
    """Send at once, and give up on a peer that no longer answers."""
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def connecting_socket(address: Any) -> socket.socket:
    """A socket for a connection that the client library is about to make."""
    family, kind, protocol, _, _ = address
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    set_options(tcp_socket)
    return tcp_socket
