"""Counts closed sockets whose file descriptors are still in use."""

from collections.abc import Callable

import gevent

from pierglade.proxy import socket_io
from pierglade.proxy.state.descriptors import DescriptorBudget


class DescriptorRelease:
    """Closes sockets, and counts those that gevent has not released yet.

    While a greenlet waits for a socket, a later callback of the event loop ends that wait and only
    then releases the descriptor. Until then the budget must not give it to another connection.
    """

    def __init__(self, descriptors: DescriptorBudget):
        self.descriptors, self.hub = descriptors, gevent.get_hub()

    def close(self, sock, close: Callable = socket_io.close_now):
        """Closes a socket by `close`."""
        kernel_socket = sock._sock
        close(sock)
        if kernel_socket.fileno() >= 0:
            self.descriptors.unreleased_count += 1
            # Callbacks run in their order, so this one runs after the release.
            self.hub.loop.run_callback(self._released)

    def _released(self):
        self.descriptors.unreleased_count -= 1
