"""Load-balancing decisions without I/O: server selection, retries, queueing and load shedding."""
