"""Many replicas of the real balancer in simulated time, sharing servers and service discovery.

The simulation models only what figures over all replicas need: servers with workers, a queue, a
connection limit and slow start; requests at random times; a discovery service that answers one
poll after another; sites that fail, and clients that retry.  The same seed gives the same run.
Times are integer microseconds.
"""
