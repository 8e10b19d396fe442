"""Deterministic subsetting: which servers each replica uses, and a forecast for other sizes.

Without I/O: ``arcs`` (replicas and servers on rings), ``request_rate`` (the request rate that a
replica reports), ``subset_assigner`` (one replica's subset), ``subset_forecast`` (evenness,
connections and changed subsets at a given size), ``operator_view`` (the JSON that operators read).
``runner`` updates a node's subset and passes changes to its balancer.
"""
