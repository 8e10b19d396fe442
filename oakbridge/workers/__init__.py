"""A node of several worker processes: a supervisor accepts connections and dispatches them.

Each worker is a replica of the tier.  Modules without I/O:

- ``limits``: one worker's share of the node's limits
- ``connection_balancer``: which worker gets the next connection
- ``unacknowledged``: connections that were sent to a worker and that it has not acknowledged
- ``pool``: which workers run; restarts and rolling restarts
- ``messages``: encoding of the packets between the supervisor and a worker
- ``status``: merges the workers' statuses into one

In the supervisor's process: ``supervisor``, ``acceptor``, ``worker_process``, ``control_handler``.
In a worker's process: ``channel``.
"""
