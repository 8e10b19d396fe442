"""Several processes on one port, each a replica of the tier, under one supervisor that accepts.

Without I/O:

- ``limits``: one worker's part of a node's limits
- ``connection_balancer``: which worker gets the next connection
- ``unacknowledged``: connections that a worker has not received yet
- ``pool``: which workers run; restarts and rolling restarts
- ``messages``: the channel's packets
- ``status``: one status of all workers

In the supervisor's process: ``supervisor``, ``acceptor``, ``worker_process``, ``control_handler``.
In a worker's: ``channel``.
"""
