"""Runs a fleet of real processes on loopback under faults drawn by a seed, and checks the results.

Without I/O: ``plan`` (the plan file's tables), ``schedule`` (the times of the faults), ``links``
(the state of the network), ``history`` and ``checks``.  Helper processes: ``switch``, ``servers``,
``load`` and ``process_manager``; ``runner`` starts them and performs a run.  ``simulation`` is a
fleet in simulated time, without processes; ``model_check`` explores the states of a discovery
client.
"""
