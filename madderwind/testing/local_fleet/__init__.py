"""A whole fleet on one machine: its processes, traffic for it, faults in it, and a report on both."""
