"""Runs balancers for the simulator, by its line protocol."""
