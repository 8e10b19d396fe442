"""A fleet of real processes on loopback, under faults by a seed, and what it is judged by.

Pure: ``plan`` (the file), ``schedule`` (which fault when), ``links`` (what passes between two hosts), ``history`` and
the checkers.  Helper processes: ``switch``, ``servers``, ``load`` and ``process_manager``; ``runner`` plays a run.
``simulation`` is a fleet in simulated time, without processes.
"""
