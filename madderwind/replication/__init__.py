"""Primary-backup replication of the configuration, with witnesses that store only epochs. Free of I/O.

Why not one replicated log by majority: an acknowledged command must survive the loss of any `tolerance`
machines with their disks, and service must go on with those that are left. So a command is acknowledged once
the whole in-sync set holds it, and a small register decides, by single-decree Paxos among the members, who is
primary and which replicas are in sync (a *view*). A replica that lags or is lost leaves the set with a new
view; an old primary is fenced by the epoch. Viewstamped Replication, Harp, PacificA and Vertical Paxos are
the ancestors.

Read in this order:

- `commands`, `events`, `actions`, `status`: what a host hands in and gets back.
- `replica`: one replica, put together; `dispatch`: which part handles which message.
- `role_machine`: follower, candidate, primary, and the table of legal changes.
- `primary` with `peer_table`, `commit_log`, `view_planner`, `lease`, `log_shipping`; `follower`; `witness`,
`view_register`.
- `view_proposals`, `proposer`, `decision_learner`, `election`: how the next view is decided.
- `store`, `journal`, `records`, `log`: what is durable, and what may be sent only once it is.
"""
