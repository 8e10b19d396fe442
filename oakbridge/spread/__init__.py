"""Deterministic subsetting: which servers each replica uses, and a forecast for other sizes.

Pure: ``arcs`` (replicas and servers on rings), ``request_rate`` (the request rate that a replica
reports), ``subset_assigner`` (one replica's subset), ``subset_forecast`` (evenness, connections and
changed subsets at a given size), ``operator_view`` (the JSON that operators read).  Shell:
``runner``.
"""
