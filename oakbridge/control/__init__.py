"""The local control socket: a running node's report of itself, and the few commands it takes.

- ``protocol``: encoding of requests and responses, without I/O; ``errors``: what can go wrong;
- ``arguments``: what each command takes;
- ``handler``, ``peers``, ``sites``: carry commands out; ``status``: the schema of a node's report;
- ``server``: the node's end of the socket; ``client``: the command line's; ``paths``: where it is.
"""
