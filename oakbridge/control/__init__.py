"""The local control socket: what a running node reports of itself, and the few commands that it takes.

``protocol`` is the encoding of requests and responses (no I/O), ``arguments`` what each command takes, ``handler``
carries commands out on a node, ``status`` is the schema of its report, ``server`` the node's end of the socket,
``client`` the command line's, ``paths`` where the socket is.
"""
