"""The configuration file ``oakbridge.toml``: its definitions, checks and reference page."""
