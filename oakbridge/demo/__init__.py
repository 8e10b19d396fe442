"""The demo: stand-in servers, a node in its own process, and a load that is bounded in time."""
