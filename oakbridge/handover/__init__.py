"""Hot restart: the running process of a node hands over to a new process of the same node.

The running process is the predecessor, the new one the successor.  ``messages`` and ``packets``
define the protocol between them, ``state_machine`` makes the decisions of both sides, and
``predecessor`` and ``successor`` carry these out.
"""
