"""The agent: one for each host, it runs node instances there and changes them over, whole or not at all.

``lease`` (who may change), ``supervisor`` (one process) and ``instance`` (which generation it runs) are pure;
``store`` is the journal and the files, ``runner`` the shell.
"""
