"""What held in a run, by its history.

A module each for what is checked: answers and effects (``request_rules``), service, membership,
server load, load distribution and lost sites; ``judge`` has the table of all figures.  All are
pure, and each is tested with a fault planted for it (tests/lab).  A figure is None where a run has
nothing to judge it by.
"""
