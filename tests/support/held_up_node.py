"""`python -m tests.support.held_up_node`: a node that stands still for a while as it handles a marked request."""

import sys
import time

from pierglade import __main__ as node
from pierglade.proxy.state.requests import RequestIntake

HELD_UP_S = 0.8
MARK = b"held-up"


def held_up(received):
    """Returns the handler of a request, made to stand still once the time was read."""

    def run(self, client, message):
        if MARK in message.url:
            time.sleep(HELD_UP_S)
        return received(self, client, message)

    return run


if __name__ == "__main__":
    RequestIntake.received = held_up(RequestIntake.received)
    sys.exit(node.main())
