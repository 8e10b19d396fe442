"""Cluster membership: which nodes exist, which have failed, and how complete a node's view is.

The protocol is SWIM with Lifeguard's extensions.  It does no I/O: messages and the time go in,
actions come out.  ``member`` is its interface; ``failure_detector``, ``membership``,
``dissemination``, ``push_pull`` and ``join`` implement it.  ``service`` runs it on sockets,
``simulation`` on a simulated network.
"""
