"""The command line ``oakbridge``.  Each command is a module of its own, imported when it is called."""
