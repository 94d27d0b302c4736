"""Emulated upstreams: an engine on a simulated clock, an in-memory fleet and a socket server."""
