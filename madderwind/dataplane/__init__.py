"""The data plane: accepts requests from clients and forwards them to upstreams."""
