"""Operators' commands, on an address of their own: servers, drains and health.

- ``protocol``: the lines, without I/O; ``listener``: the connections that they come on;
- ``executor``: carries the commands out on a node;
- ``service``: a node with both, and with the hand-over from one process to the next (hot restart).
"""
