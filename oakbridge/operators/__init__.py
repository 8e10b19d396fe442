"""Calls by which operators take servers out, drain the node and ask how it is, on an address of their own."""
