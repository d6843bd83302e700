"""Accept, socket, connect, reads and writes that fail for a moment: all rules hold."""

import contextlib
import json
import threading
import time
import unittest

from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request, respond

WAIT_MS = 2000
ANSWER_LIMIT_S = 0.5
CLIENTS = 12
REQUESTS = 20  # of each client
NEW_CONNECTIONS_S = 0.4  # after SIGTERM, in which clients still connect
PATHS = ("/check", "/hold", "/settle")


class FailingSystemCalls(unittest.TestCase):
    def play(self, faults, body=b"", stop=False):
        self.backends = [Backend(f"b{n}", self.serve) for n in range(3)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(
            self.discovery,
            module="tests.support.faulty_node",
            environ={"FAULTS": json.dumps(faults)},
        ).wait_ready()
        self.answers, self.stopped_at = {}, None
        try:
            time.sleep(0.6)  # until calls fail
            self.run_clients(body, stop)
            self.check()
        finally:
            for each in (self.node, self.discovery, *self.backends):
                each.close()

    @staticmethod
    def serve(sock, received):
        time.sleep(0.01)
        respond(sock, b"answer to " + received.trace_id.encode())

    def run_clients(self, body, stop):
        threads = [
            threading.Thread(target=self.client, args=(n, body, stop), daemon=True)
            for n in range(CLIENTS)
        ]
        for each in threads:
            each.start()
        if stop:
            time.sleep(0.3)
            self.stopped_at = time.monotonic()
            self.node.terminate()
        for each in threads:
            each.join(60)

    def client(self, number, body, stop):
        for n in range(REQUESTS):
            if self.stopped_at and time.monotonic() > self.stopped_at + NEW_CONNECTIONS_S:
                return
            trace_id = f"c{number}-{n}"
            path = PATHS[n % len(PATHS)]
            sent_at = time.monotonic()
            try:
                with contextlib.closing(Client(self.node.place, 10)) as client:
                    data = b"" if path == "/check" else body
                    answer = client.send(request(path, trace_id, WAIT_MS, data)).answer()
                self.answers[trace_id] = (answer.status, answer.body, time.monotonic() - sent_at)
            except OSError as error:
                self.answers[trace_id] = (0, str(error).encode(), time.monotonic() - sent_at)

    def check(self):
        unanswered = {each: got for each, got in self.answers.items() if not got[0]}
        self.assertEqual(unanswered, {})
        late = {
            each: got
            for each, got in self.answers.items()
            if got[2] > WAIT_MS / 1000 + ANSWER_LIMIT_S
        }
        self.assertEqual(late, {})
        wrong = {
            each: got
            for each, got in self.answers.items()
            if got[0] == 200 and got[1] != b"answer to " + each.encode()
        }
        self.assertEqual(wrong, {})
        ids = [
            each.trace_id
            for backend in self.backends
            for each in backend.received
            if each.path == "/settle"
        ]
        self.assertEqual(len(ids), len(set(ids)), "an unsafe request ran twice")
        served = sum(got[0] == 200 for got in self.answers.values())
        self.assertGreater(served, len(self.answers) / 3)
        self.assertEqual(self.node.events("internal_error"), [])

    def test_accept_fails(self):
        self.play({"seed": 1, "accept": 0.4})

    def test_accept_fails_while_the_listener_is_closed(self):
        for seed in range(3):
            self.play({"seed": seed, "accept": 0.95}, stop=True)

    def test_sockets_cannot_be_made(self):
        self.play({"seed": 2, "socket": 0.3})

    def test_connections_cannot_be_made(self):
        self.play({"seed": 3, "connect": 0.3})

    def test_errors_of_this_machine_are_no_faults_of_backends(self):
        backend = Backend("b0", self.serve_and_close)
        discovery = Discovery([backend.entry()])
        faults = {"seed": 8, "socket": 0.5, "full": 0.3}
        node = NodeProcess(
            discovery,
            module="tests.support.faulty_node",
            environ={"FAULTS": json.dumps(faults)},
        ).wait_ready()
        try:
            time.sleep(0.6)  # until calls fail
            statuses = [node.ask("/settle", f"s{n}", WAIT_MS).status for n in range(REQUESTS)]
            self.assertEqual(statuses, [200] * REQUESTS)
        finally:
            for each in (node, discovery, backend):
                each.close()

    @staticmethod
    def serve_and_close(sock, received):
        respond(sock, fields=b"Connection: close\r\n")
        sock.close()

    def test_reads_and_writes_are_short(self):
        self.play({"seed": 4, "short": 0.5}, body=b"x" * 3000)

    def test_connections_to_backends_break(self):
        self.play({"seed": 5, "broken": 0.05})

    def test_all_at_once(self):
        for seed in (6, 7):
            self.play(
                {
                    "seed": seed,
                    "accept": 0.2,
                    "socket": 0.1,
                    "connect": 0.1,
                    "short": 0.3,
                    "broken": 0.02,
                },
                body=b"x" * 3000,
                stop=seed == 7,
            )
