"""Explicit-state model checking of the pure parts of a node."""
