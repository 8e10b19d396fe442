"""A load balancer for services that call services: its decisions without any I/O, and what runs them."""

from oakbridge.policy.balancer import Balancer

__version__ = "0.3.0"
__all__ = ["Balancer", "__version__"]
