"""All state of a proxy process, part by part: connections, endpoints, lifecycle.

No I/O. `net/reducer.py` is the door: nothing else calls in here.
"""
