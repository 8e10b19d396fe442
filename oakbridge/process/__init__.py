"""Supervision of one process of this project: starts, retries with backoff, crash loops.  No I/O."""
