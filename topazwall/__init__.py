"""The decisions of a load balancer for services that call services, without any I/O."""

from topazwall.choice import Balancer

__all__ = ["Balancer"]
