"""Clients that leave: what they had sent is not sent on, and their ids do not run a second time."""

import threading
import time
import unittest

from tests.support.node_process import (
    SETTINGS,
    Backend,
    Client,
    Discovery,
    NodeProcess,
    request,
    respond,
    wait_until,
)

LEFT_GRACE_S = 0.1  # after the close, in which an attempt may still begin
RETURN_S = 2.6  # after which an id comes again
RUN_S = 0.4  # that a backend takes for a request


class DepartedClients(unittest.TestCase):
    may_cancel = True

    def setUp(self):
        self.started = []
        self.backends = [Backend(f"b{n}", self.serve) for n in range(2)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.started += [*self.backends, self.discovery]
        self.node = self.start_node()

    def start_node(self, **changed):
        limits = {**SETTINGS["limits"], "mayCancel": self.may_cancel}
        settings = {**SETTINGS, "limits": limits}
        node = NodeProcess(self.discovery, settings=settings, **changed).wait_ready()
        self.started.insert(0, node)
        return node

    def tearDown(self):
        for each in self.started:
            each.close()

    def serve(self, sock, received):
        time.sleep(RUN_S)
        respond(sock, status=503, fields=b"X-Never-Ran: 1\r\n")

    def received(self):
        return sorted(
            (each for backend in self.backends for each in backend.received),
            key=lambda each: each.at,
        )

    def runs(self, trace_id):
        return sum(each.trace_id == trace_id for each in self.received())


class Pipelining(DepartedClients):
    def test_nothing_is_sent_on_after_a_close_behind_unread_requests(self):
        for count in (1, 40, 300, 5000):
            with self.subTest(pipelined=count):
                first = f"first-{count}"
                client = Client(self.node.place)
                client.sock.settimeout(1.0)
                more = b"".join(request("/check", f"more-{count}-{n}") for n in range(count))
                threading.Thread(
                    target=self.write_all, args=(client, first, more), daemon=True
                ).start()
                wait_until(lambda first=first: self.runs(first), 10, "the first one is received")
                client.close()
                closed_at = time.monotonic()
                time.sleep(3 * RUN_S)
                late = [
                    (each.trace_id, round(each.at - closed_at, 2))
                    for each in self.received()
                    if each.at > closed_at + LEFT_GRACE_S
                ]
                self.assertEqual(late, [])

    @staticmethod
    def write_all(client, first, more):
        try:
            client.send(request("/check", first) + more)
        except OSError:
            pass


class ReturningIds(DepartedClients):
    def serve(self, sock, received):
        time.sleep(2 * RETURN_S if received.path.endswith("long") else 0.0)
        respond(sock)

    def leave(self, node, trace_id):
        """A client that leaves while its request runs."""
        client = Client(node.place).send(request("/settle/long", trace_id, 4000))
        wait_until(lambda: self.runs(trace_id), 10, "the request is received")
        client.close()

    def test_id_does_not_run_again_after_its_client_has_left(self):
        self.leave(self.node, "again")
        time.sleep(RETURN_S)
        answer = self.node.ask("/settle/short", "again")
        self.assertEqual((answer.status, self.runs("again")), (400, 1))

    def test_id_does_not_run_again_after_its_answer(self):
        self.assertEqual(self.node.ask("/settle/short", "answered").status, 200)
        time.sleep(RETURN_S)
        self.assertEqual(self.node.ask("/settle/short", "answered").status, 400)
        self.assertEqual(self.runs("answered"), 1)

    def test_id_does_not_run_again_at_the_other_process_of_an_upgrade(self):
        listen = "%s:%d" % self.node.place
        late = [Client(self.node.place) for _ in range(2)]  # stay with the old process
        for n, each in enumerate(late):
            self.assertEqual(each.send(request("/check", f"early-{n}")).answer().status, 200)
        self.leave(self.node, "before")
        new = self.start_node(listen=listen, folder=self.node.folder)
        self.leave(new, "at-new")
        self.assertEqual(new.ask("/settle/short", "before").status, 400)
        self.assertEqual(late[0].send(request("/settle/short", "at-new")).answer().status, 400)
        self.node.terminate()
        self.assertEqual(new.ask("/settle/short", "before").status, 400)
        for each in late:
            each.close()
        self.assertEqual((self.runs("before"), self.runs("at-new")), (1, 1))


class Uploads(DepartedClients):
    may_cancel = False
    SIZE = 1500000  # more than is buffered whole; it fits into the kernels' buffers

    def setUp(self):
        super().setUp()
        for each in self.backends:
            each.read_pause_s = 0.01  # 16 kB each: a second for all

    def test_request_of_a_client_that_left_behind_its_body_is_not_completed(self):
        for coding in (b"Content-Length: 1500000", b"Transfer-Encoding: chunked"):
            trace_id = f"left-{coding[:4].decode()}"
            head = request("/settle", trace_id, 4000).replace(b"Content-Length: 0", coding)
            body = b"x" * self.SIZE
            if coding.startswith(b"T"):
                body = b"%x\r\n%s\r\n0\r\n\r\n" % (self.SIZE, body)
            client = Client(self.node.place)
            client.send(head + body)
            client.close()
            time.sleep(2.5)
            self.assertEqual(self.runs(trace_id), 0, coding)
