"""Sockets: listening for callers, connections to upstreams, and how connects, resets and timeouts end."""
