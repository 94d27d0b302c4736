"""The registry of upstreams: what control planes store of them, and what a data plane knows.

Upstreams send heartbeats to any control plane; control planes gossip what they learned and merge it by the
heartbeats' sequence numbers. `registry` is a control plane's side, `known_upstreams` a data plane's, `states`
what both share, `heartbeats` the reading of an upstream's call, `checkpoint` the copy on disk.
"""
