"""The configuration file of a node without the platform: definitions, checks and reference."""
