"""Fleet-wide evacuation of a failing zone or region and its stepwise return to service. Does no I/O."""
