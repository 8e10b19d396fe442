"""Supervision of one oakbridge process: starts, restarts with backoff, crash loops.  No I/O."""
