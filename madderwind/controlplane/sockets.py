"""Options of the sockets between the system's own processes.

A peer that lost power or is behind a network partition sends nothing, so connections to it have to time out.
"""

from __future__ import annotations

import socket
from typing import Any

# A connection with unacknowledged data for this long is closed.
ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500
# Keepalive probes detect a lost peer on an idle connection.
PROBE_AFTER_S, PROBE_INTERVAL_S, PROBES = 3, 1, 3


def set_options(tcp_socket: socket.socket) -> None:
    """Disable Nagle's algorithm, and time out connections to a peer that no longer responds."""
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def connecting_socket(address: Any) -> socket.socket:
    """Create the socket for an outgoing connection of the client library."""
    family, kind, protocol, _, _ = address
    tcp_socket = socket.socket(family=family, type=kind, proto=protocol)
    set_options(tcp_socket)
    return tcp_socket
