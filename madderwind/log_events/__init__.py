"""Names of the events that the programs log, with the fields that each carries: one module a program.

Operators search logs by these names. `docs/operating-system.md` explains those of the control plane,
`docs/dataplane.md` those of the data plane; tests hold pages and modules together.
"""
