"""Fleet-wide limits: tenant quotas and the budget of repeated sends."""
