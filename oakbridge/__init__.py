"""A load balancer for services that call services: its decisions without any I/O, and what runs them."""

from oakbridge.policy.balancer import Balancer

__all__ = ["Balancer"]
