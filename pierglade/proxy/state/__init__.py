"""All state of a proxy process, one component per module: connections, endpoints, lifecycle.

No I/O. `machine.py` is the only entry point: events go in there and effects come out.
"""
