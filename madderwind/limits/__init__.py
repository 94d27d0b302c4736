"""Limits that hold over the whole fleet: tenants' quotas and the budget of repeated sends."""
