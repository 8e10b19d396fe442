"""The agent of a host: runs the host's nodes and changes their configuration atomically.

An instance is one node that the agent manages.  A generation is a numbered, complete set of an
instance's configuration files.  A step changes an instance from one generation to another.

Without I/O: ``lease`` (which operator may change instances) and ``state_machine`` (which generation
an instance runs), with their types in ``records`` and ``actions``.  On disk: ``store`` (the lock),
``journal`` and ``record_codec`` (``agent.db``), ``generations`` (folders and links).  At run time:
``agent``, ``managed_instance`` with its ``executor`` and ``supervised_node``, ``host`` and
``local_host`` (the machine).  For operators: ``operator_api`` and ``status_codec``.
"""
