"""Hot restart: a node's process hands over to one that is started beside it.

The running process is the predecessor, the started one the successor.  ``messages`` and ``packets``
are what goes between them, ``state_machine`` decides, and ``predecessor`` and ``successor`` carry
its decisions out.
"""
