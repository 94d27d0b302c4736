"""The stream of versioned updates from control planes to data planes; both sides are state machines."""
