"""The demo: stand-in servers, a real node as a process of its own, and a small bounded load."""
