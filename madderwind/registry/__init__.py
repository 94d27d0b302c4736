"""The registry of upstreams: what control planes keep of them, and what a data plane knows."""
