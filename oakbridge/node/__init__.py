"""The node process: sockets, timers and configuration around the balancer, which makes all decisions."""
