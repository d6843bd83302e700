"""Child processes of the tools: the ports that they are told to listen on."""

import contextlib
import socket
import unittest
from unittest import mock

from pierglade.processes import children


class FreePort(unittest.TestCase):
    def test_kernel_assigns_a_free_port_to_nobody_else(self):
        """Guards against "Address already in use" of a child that starts some time later.

        The kernel may assign a port of its own choice to another process meanwhile.
        """
        with contextlib.ExitStack() as stack:
            assigned = []
            for _ in range(200):
                sock = stack.enter_context(socket.socket())
                sock.bind(("127.0.0.1", 0))
                assigned.append(sock.getsockname()[1])
        for _ in range(100):
            port = children.free_port()
            self.assertLess(port, min(assigned))
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", port))

    def test_ports_in_use_are_passed_over(self):
        """Half of the candidates are taken, and none of them is returned."""
        ports = range(children.FREE_PORTS.start, children.FREE_PORTS.start + 40)
        with contextlib.ExitStack() as stack:
            for port in ports[::2]:
                sock = stack.enter_context(socket.socket())
                with contextlib.suppress(OSError):  # Another process has it, so it is taken too.
                    sock.bind(("127.0.0.1", port))
            with mock.patch.object(children, "FREE_PORTS", ports):
                for _ in range(20):
                    self.assertIn(children.free_port(), ports[1::2])
            with (
                mock.patch.object(children, "FREE_PORTS", ports[:1]),
                self.assertRaisesRegex(OSError, "no free port"),
            ):
                children.free_port()
