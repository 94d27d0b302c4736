"""Test and measurement tools: simulations, fault tests, emulators, local fleets and the bench adapter."""
