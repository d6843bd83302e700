"""The node on sockets: a reducer with no I/O, and what reads and writes for it."""
