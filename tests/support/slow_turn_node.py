"""`python -m tests.support.slow_turn_node`: a node in which each wait for a turn is long, as on a busy machine."""

import sys

import gevent

from pierglade import __main__ as node
from pierglade.proxy.turn_limiter import TurnLimiter

TURN_S = 0.03  # far longer than a reset takes on loopback


def wait(limiter):
    gevent.sleep(TURN_S)


if __name__ == "__main__":
    TurnLimiter.wait_if_busy = wait
    sys.exit(node.main())
