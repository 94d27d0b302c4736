"""Primary-backup replication of the configuration, with witnesses that store only epochs. Performs no I/O.

This is not a single log replicated to a majority, because an acknowledged command must survive the loss of
any `tolerance` machines with their disks, and service must continue on the remaining ones. A command is
therefore acknowledged once the whole in-sync set holds it. A small register decides, by single-decree Paxos
among the members, which replica is primary and which replicas are in sync (a *view*). A replica that lags or
is lost is removed from the set by a new view, and an old primary is fenced by the epoch. The design builds on
Viewstamped Replication, Harp, PacificA and Vertical Paxos.

Suggested reading order:

- `commands`, `events`, `actions`, `status`: the interface to the host.
- `replica`: assembles one replica; `dispatch`: dispatches messages to its components.
- `role_machine`: the roles follower, candidate and primary, and the legal transitions.
- `primary` with `submitted_commands`, `pending_requests`, `peer_table`, `view_planner`, `lease`,
  `log_shipping`; `follower`; `witness`, `view_register`.
- `view_proposals`, `proposer`, `decision_learner`, `election`: how the next view is decided.
- `store`, `journal`, `records`, `log`: durable state, and messages that may be sent only once it is synced.
"""
