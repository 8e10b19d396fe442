"""SIP (RFC 3261): a stateful proxy, as a second front on a node's balancer."""
