"""The local control socket: what a running node believes, and the few things that it can be told.

``protocol`` is the wire (pure), ``server`` the node's end, ``client`` the other one.
"""
