"""Stand-ins for the services around the fleet: model servers on one simulated clock. No input or output."""
