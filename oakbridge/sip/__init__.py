"""A stateful SIP proxy (RFC 3261) that shares a node's balancer with the node's HTTP server."""
