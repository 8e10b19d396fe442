"""The command line ``oakbridge``.  The module of a command is imported when the command is used."""
