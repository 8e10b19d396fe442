"""Deterministic subsetting: which servers each replica uses, and what a change of size means.

Pure: ``arcs`` (replicas and servers on rings), ``request_rate`` (what a replica reports of its
load), ``subset_assigner`` (one replica's subset), ``subset_forecast`` (figures for a size before
it is so), ``operator_view`` (what operators are told).  Shell: ``runner``.
"""
