"""The proxy node: a state machine without I/O, and the sockets, timers and files around it."""
