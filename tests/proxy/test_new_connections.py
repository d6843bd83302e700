"""New connections beside streams that take most of the descriptors."""

import subprocess
import sys
import time
import unittest

from tests.support.crowd import Crowd
from tests.support.node_process import Backend, Discovery, NodeProcess, request, respond, wait_until

SOCKETS = 250
READER_PROCESSES, STREAMS = 4, 25  # streams of each process; a stream takes two descriptors
STREAM_BYTES = 100 << 20
BLOCK = b"x" * (1 << 20)
STREAM_S = 6.0
BURST = 300  # connections at once, each with a request that no backend is asked for
WAIT_MS = 300  # of the other clients
ANSWER_LIMIT_S = 0.5  # how late an answer may be before it counts as lost
PLAY_S = 3.0
FLOODERS = 6  # processes of clients that leave at once


def serve(sock, received):
    """Answers with as many bytes as the path says."""
    if not received.path.startswith("/check/length-"):
        return respond(sock)
    size = int(received.path.rpartition("-")[2])
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for _ in range(size // len(BLOCK)):
        sock.sendall(BLOCK)


class NewConnectionCase(unittest.TestCase):
    def setUp(self):
        self.backends = [Backend(f"b{n}", serve) for n in range(4)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(self.discovery, limits={"sockets": SOCKETS}).wait_ready()

    def tearDown(self):
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    def usual_clients(self):
        answers, ends_at, number = [], time.monotonic() + PLAY_S, 0
        while time.monotonic() < ends_at:
            number += 1
            sent_at = time.monotonic()
            answer = self.node.ask("/settle", f"usual-{number}", WAIT_MS)
            answers.append((answer.status, answer.at - sent_at))
            time.sleep(0.02)
        return answers

    def check(self, answers):
        late = [each for each in answers if each[1] > WAIT_MS / 1000 + ANSWER_LIMIT_S]
        self.assertEqual(late, [], "answers lost")
        self.assertNotIn(0, [status for status, _ in answers], "closed with no answer")


class NewConnections(NewConnectionCase):
    def start_streams(self):
        arguments = [*self.node.place, STREAMS, STREAM_BYTES, STREAM_S]
        command = [sys.executable, "-m", "tests.support.readers", *map(str, arguments)]
        for _ in range(READER_PROCESSES):
            self.addCleanup(subprocess.Popen(command).wait)
        streams = READER_PROCESSES * STREAMS
        wait_until(
            lambda: sum(len(each.received) for each in self.backends) >= streams, 5, "streams"
        )

    def test_answers_in_time_on_new_connections_beside_streams_and_a_burst(self):
        self.start_streams()
        crowd = Crowd(self.node.place, BURST, lambda i: request("/unknown", f"burst-{i}"))
        crowd.is_connected.wait(5)
        answers = self.usual_clients()
        crowd.close()
        self.check(answers)


class DepartingClients(NewConnectionCase):
    def test_answers_in_time_on_new_connections_beside_clients_that_leave_at_once(self):
        command = [sys.executable, "-m", "tests.support.flood", *map(str, self.node.place)]
        floods = [subprocess.Popen([*command, "departures", str(PLAY_S)]) for _ in range(FLOODERS)]
        answers = self.usual_clients()
        for each in floods:
            each.wait()
        self.check(answers)
