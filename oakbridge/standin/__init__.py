"""Stand-ins for external systems, used by the demo, the tests and the benchmarks.

``behaviour`` draws the latency and the result of each request from a seed, without I/O.  ``server``
is an HTTP server with that behaviour.  ``host`` simulates the node processes of an agent's machine.
"""
