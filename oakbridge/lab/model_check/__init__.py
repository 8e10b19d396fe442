"""Explicit-state model checking of those parts of a node that do no I/O."""
