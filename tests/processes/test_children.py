"""Child processes of the tools: signals to their owner, and the ports that they listen on."""

import asyncio
import contextlib
import os
import signal
import socket
import time
import unittest
from unittest import mock

from pierglade.processes import children


class StopBySignal(unittest.TestCase):
    def test_signal_during_a_callback_ends_the_coroutine(self):
        """The event loop logged and dropped the exception, and the program ran to its planned end."""

        async def main(number):
            loop = asyncio.get_running_loop()
            loop.call_soon(os.kill, os.getpid(), number)
            await asyncio.sleep(20)

        for number in (signal.SIGTERM, signal.SIGINT):
            for each in (signal.SIGTERM, signal.SIGINT):
                self.addCleanup(signal.signal, each, signal.getsignal(each))
            with children.Children() as owner:
                began = time.monotonic()
                with self.assertRaisesRegex(children.StoppedBySignalError, number.name):
                    owner.run(main(number))
                self.assertLess(time.monotonic() - began, 10)

    def test_signal_outside_of_a_coroutine_is_raised(self):
        for each in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, each, signal.getsignal(each))
        with children.Children() as owner:
            self.assertEqual(owner.run(asyncio.sleep(0, "result")), "result")
            with self.assertRaisesRegex(children.StoppedBySignalError, "SIGTERM"):
                os.kill(os.getpid(), signal.SIGTERM)
                time.sleep(20)


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
