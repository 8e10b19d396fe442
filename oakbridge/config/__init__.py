"""The configuration file of a node without the platform: its definitions, its checks, its reference."""
