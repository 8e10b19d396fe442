"""Operators' commands on a separate address: health, servers taken offline, and drains.

- ``protocol``: the line protocol, without I/O;
- ``listener``: the connections of operators;
- ``executor``: carries the commands out on a node;
- ``service``: a node with operators' commands and hot restart.
"""
