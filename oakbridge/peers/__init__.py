"""Nodes that know each other: who is there, who has failed, and how sure one is of it.

The core (``record``, ``news``, ``suspicion``, ``member``, ``stance``, ``places``, ``voices``) is pure: messages and the
time in, messages and changes out.  ``shell`` gives it sockets; ``simulated`` a network by seed.
"""
