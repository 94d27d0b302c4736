"""The data plane: takes requests from clients and passes them on to upstreams."""
