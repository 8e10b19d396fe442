"""The fleet's protocol: what operators and agents say to each other, and over what.

``messages`` and ``codec`` (the messages and their form on the wire, pure), ``server`` (the agent's
end), ``connection`` and ``client`` (the operator's end), ``quorum`` (who has won the lease, pure),
``identity`` and ``pki`` (certificates), ``inventory`` (``fleet.toml``), ``health`` (of an instance,
by its agent's status).  Decisions about one host are in ``oakbridge.agent``, those about many in
``oakbridge.rollout``.
"""
