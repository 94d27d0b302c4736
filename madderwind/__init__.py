"""madderwind: a load balancer for service-to-service calls, built around a small decision module."""

__version__ = "0.2.0"
