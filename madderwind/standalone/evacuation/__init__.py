"""Leaving a zone or region that fails, as a fleet, and returning in steps. Free of I/O."""
