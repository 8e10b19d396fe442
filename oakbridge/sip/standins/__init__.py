"""SIP user agents for tests and measurements: pure, driven by the caller's clock."""
