"""The checks of a run, computed from its history without I/O.

Each module covers one subject: responses and repeated effects (``request_rules``), service,
membership, server load, load distribution and lost sites.  ``judge`` has the table of all figures.
The tests in tests/lab plant a fault for each check.  A figure is None if a run has no data for it.
"""
