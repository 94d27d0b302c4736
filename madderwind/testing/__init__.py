"""What tests and measures: simulations, fault tests, stand-ins, local fleets, the bench's adapter."""
