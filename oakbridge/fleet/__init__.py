"""The fleet: what operators and agents say to each other, and over what.

``wire`` (the protocol's messages, pure), ``http`` (HTTP over mutual TLS, both ends), ``pki`` (the fleet's own
certificate authority).  Decisions about one host are in ``agent``, those about many in ``rollout``.
"""
