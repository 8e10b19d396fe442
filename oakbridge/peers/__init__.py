"""Membership: which nodes are there, which have failed, and how complete a node's view is.

SWIM with Lifeguard's corrections.  The protocol is pure, messages and the time in, actions out:
``member`` is its face, ``failure_detector``, ``membership``, ``dissemination``, ``push_pull`` and
``join`` its parts.  ``service`` gives it sockets; ``simulation`` a network by seed.
"""
