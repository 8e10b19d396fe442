"""The agent of a host: runs node instances and changes their generation, completely or not at all.

Pure: ``lease`` (who may change things), ``state_machine`` (which generation an instance runs;
``records`` and ``actions`` are its types).  On disk: ``store`` (the lock), ``journal`` and
``record_codec`` (``agent.db``), ``generations`` (folders and links).  At run time: ``agent``,
``managed_instance`` with its ``executor`` and ``supervised_node``, ``host`` and ``local_host`` (the
machine).  For operators: ``operator_api`` and ``status_codec``.
"""
