"""The real node: sockets, clocks and processes round the decisions, and no decision of its own."""
