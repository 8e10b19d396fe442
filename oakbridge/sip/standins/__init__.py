"""Stand-in SIP user agents for tests and benchmarks.

They perform no I/O, and whoever drives them passes the time in microseconds.
"""
