"""The fleet: what operators and agents say to each other, and over what.

``wire`` (the protocol's messages, pure), ``http`` (HTTP over mutual TLS, both ends), ``pki`` (the fleet's own
certificate authority).  Decisions about rollouts are not in here yet; those about one host are in ``agent``.
"""
