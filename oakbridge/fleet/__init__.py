"""The protocol between the fleet's operators and the agents on its hosts.

``messages`` and ``codec`` have the messages and their form on the wire, ``server`` the agent's end,
``connection`` and ``client`` the operator's end.  ``quorum`` decides which operator has won the
lease, ``identity`` and ``pki`` are for certificates, ``inventory`` for ``fleet.toml``, and
``health`` derives an instance's health from its agent's status.  ``messages``, ``codec``,
``quorum`` and ``health`` do no I/O.  Decisions about one host are in ``oakbridge.agent``, those
about several hosts in ``oakbridge.rollout``.
"""
