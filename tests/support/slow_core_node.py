"""`python -m tests.support.slow_core_node`: a node on a fifth of a core, as its work takes five times as long."""

import sys
import time

from pierglade import __main__ as node
from pierglade.proxy.http.reader import MessageReader
from pierglade.proxy.server import ProxyServer

SLOWDOWN = 5


def slowed(function):
    """Returns the function, made to occupy the CPU for SLOWDOWN times as long."""

    def run(*arguments, **named):
        began_ns = time.monotonic_ns()
        try:
            return function(*arguments, **named)
        finally:
            ends_ns = began_ns + SLOWDOWN * (time.monotonic_ns() - began_ns)
            while time.monotonic_ns() < ends_ns:
                pass

    return run


if __name__ == "__main__":
    ProxyServer.handle_event = slowed(ProxyServer.handle_event)
    MessageReader.next = slowed(MessageReader.next)
    sys.exit(node.main())
