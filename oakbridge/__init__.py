"""A client-side load balancer for services that call services, and the nodes that run it."""

from oakbridge.policy.balancer import Balancer

__version__ = "0.3.0"
__all__ = ["Balancer", "__version__"]
