"""Requests that a client sent behind another one are answered when the node is told to end, or to stand by."""

import contextlib
import threading
import time
import unittest

from pierglade.processes import children
from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request, respond
from tests.support.scene import StateMachineHarness

LIMIT_S = 20.0
WORK_S = 0.05
CLIENTS, AT_ONCE = 4, 3
KILL_AFTER_S = 3.7  # the earliest of the protocol page, with deadlines of 3 s and more


class PipelinedAtStop(unittest.TestCase):
    def setUp(self):
        self.backends = [Backend(f"b{n}", self.serve) for n in range(3)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.management = f"127.0.0.1:{children.free_port()}"
        self.node = NodeProcess(self.discovery, management=self.management).wait_ready()
        self.has_begun = threading.Event()

    def tearDown(self):
        for each in (self.node, self.discovery, *self.backends):
            each.close()

    def serve(self, sock, received):
        self.has_begun.set()
        time.sleep(WORK_S)
        respond(sock, received.trace_id.encode())

    def batch(self, client, start):
        numbers = range(start, start + AT_ONCE)
        return b"".join(request("/settle", f"{client}-{n}") for n in numbers)

    def play(self, drain, late_batch=False):
        """Sends requests at once, drains the node, and checks that each one is answered."""
        clients = [Client(self.node.place, LIMIT_S) for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            client.send(self.batch(number, 0))
        self.assertTrue(self.has_begun.wait(LIMIT_S))
        drain()
        if late_batch:
            for number, client in enumerate(clients):
                client.send(self.batch(number, AT_ONCE))
        count = AT_ONCE * (2 if late_batch else 1)
        for number, client in enumerate(clients):
            answers = [client.answer() for _ in range(count)]
            # What has waited for long may be refused, as it is without a drain.
            self.assertEqual({each.status for each in answers} - {200, 503}, set())
            for n, each in enumerate(answers):
                self.assertIn(each.body, (b"%d-%d" % (number, n), b""))
            self.assertEqual(client.answer().status, 0)  # Closed, without another answer.
            client.close()

    def stand_by(self):
        host, _, port = self.management.rpartition(":")
        with contextlib.closing(Client((host, int(port)), LIMIT_S)) as client:
            client.send(b"PUT /standby HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(client.answer().status, 200)

    def test_requests_behind_another_one_are_answered_after_sigterm(self):
        """Guards against dropping requests that were read (review/8)."""
        self.play(self.node.terminate)
        self.assertEqual(self.node.process.wait(LIMIT_S), 0)

    def test_requests_that_come_behind_a_pending_one_are_answered_after_sigterm(self):
        self.play(self.node.terminate, late_batch=True)
        self.assertEqual(self.node.process.wait(LIMIT_S), 0)

    def test_requests_behind_another_one_are_answered_in_standby(self):
        """Guards against dropping requests that were read (review/8)."""
        self.play(self.stand_by)

    def test_client_that_sends_on_does_not_keep_the_process(self):
        client = Client(self.node.place, LIMIT_S)
        client.send(self.batch("c", 0))
        self.assertTrue(self.has_begun.wait(LIMIT_S))
        self.node.terminate()
        stopped_at, start = time.monotonic(), AT_ONCE
        with contextlib.suppress(OSError):
            while client.answer().fields.get("connection") != "close":
                client.send(request("/settle", f"c-{start}"))
                start += 1
        client.close()
        self.assertEqual(self.node.process.wait(LIMIT_S), 0)
        self.assertLess(time.monotonic() - stopped_at, KILL_AFTER_S)


class IdleWhileDraining(unittest.TestCase):
    def test_client_whose_answer_began_before_the_drain_is_closed_behind_it(self):
        """Guards against an idle connection of a node in standby."""
        harness = StateMachineHarness(["b0"])
        harness.send_request("c0")
        harness.connect_upstream()
        harness.reply()
        harness.state_machine.lifecycle.set_standby(True)
        harness.response_sent("c0")
        self.assertTrue(any("CloseWhenRead c0" in line for line in harness.lines), harness.lines)
