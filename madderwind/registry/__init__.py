"""The registry of upstreams, as control planes store it and as data planes see it.

Upstreams send heartbeats to any control plane. Control planes gossip changes and merge them by the sequence
numbers of the heartbeats. `registry` is the control plane's registry, `known_upstreams` the data plane's
view, `states` the states that both share, `heartbeats` the parser of heartbeats, `checkpoint` the copy on
disk.
"""
