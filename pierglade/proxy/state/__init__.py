"""All state of a node on sockets, part by part: clients, links, the list, stopping.

No I/O. `net/reducer.py` is the door: nothing else calls in here.
"""
