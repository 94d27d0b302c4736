"""The control plane: replica and witness of the configuration, registry of upstreams, the operator's API."""
