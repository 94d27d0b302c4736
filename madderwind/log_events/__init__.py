"""Names and fields of the events that the programs log, with one module per program.

Operators search logs by these names. `docs/operating-system.md` explains those of the control plane,
`docs/dataplane.md` those of the data plane; tests check that the pages match these modules.
"""
