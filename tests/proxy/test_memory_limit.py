"""Crowds of clients that write or read slowly, before a process with the least memory of the pages."""

import threading
import time
import unittest

from tests.support.crowd import Crowd
from tests.support.node_process import Backend, Discovery, NodeProcess, request, respond

MEMORY_MB = 32  # the least that the pages name; measured as private memory, as the bench does
SOCKETS = 1024
CLIENTS = 900
CROWD_S = 3.0
SAMPLE_S = 0.01
ANSWER_LIMIT_S = 0.5  # how late an answer may be before it counts as lost
WAIT_MS = 1000  # of the other clients


def serve(sock, received):
    """Answers with as many bytes as the path says, chunked where it says so."""
    kind, _, size = received.path.rpartition("/")[2].partition("-")
    if kind == "length":
        respond(sock, b"x" * int(size))
    elif kind == "chunked":
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(int(size) // 8192):
            sock.sendall(b"2000\r\n%s\r\n" % (b"x" * 8192))
        sock.sendall(b"0\r\n\r\n")
    else:
        respond(sock)


def chunked(data):
    return data.replace(b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n")


class CrowdCase(unittest.TestCase):
    def setUp(self):
        self.backends = [Backend(f"b{n}", serve) for n in range(4)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(
            self.discovery, limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS}
        ).wait_ready()
        self.answers, self.is_over = [], False

    def tearDown(self):
        self.is_over = True
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    def usual_client(self):
        number = 0
        while not self.is_over:
            number += 1
            sent_at = time.monotonic()
            answer = self.node.ask("/settle", f"usual-{number}", WAIT_MS)
            self.answers.append((answer.status, answer.at - sent_at))
            time.sleep(0.05)

    def play(self, data, receive_buffer=None, clients=CLIENTS):
        """Plays a crowd; fails if the process ends, passes its limit, or loses other requests."""
        usual = threading.Thread(target=self.usual_client, daemon=True)
        usual.start()
        crowd = Crowd(self.node.place, clients, data, receive_buffer)
        highest_mb, ends_at = 0.0, None
        while ends_at is None or time.monotonic() < ends_at:
            if ends_at is None and crowd.is_connected.is_set():
                ends_at = time.monotonic() + CROWD_S
            highest_mb = max(highest_mb, self.node.memory_mb("RssAnon"))
            time.sleep(SAMPLE_S)
        crowd.close()
        self.is_over = True
        usual.join(10)
        self.assertIsNone(self.node.process.poll(), "the process ended")
        self.assertLess(highest_mb, MEMORY_MB, "private memory in MB")
        late = [each for each in self.answers if each[1] > WAIT_MS / 1000 + ANSWER_LIMIT_S]
        self.assertEqual(late, [], "answers lost")
        self.assertNotIn(0, [status for status, _ in self.answers], "closed with no answer")
        self.assertEqual(self.node.ask("/settle", "after").status, 200)
        return self.answers


class SlowWriters(CrowdCase):
    def test_memory_with_bodies_of_64_kb_that_stop_before_the_end(self):
        self.play(lambda i: request("/settle", f"c{i}", body=b"x" * 65000)[:-1])

    def test_memory_with_large_bodies_that_stop_half_way(self):
        self.play(lambda i: request("/settle", f"c{i}", body=b"x" * 600000)[:300000])

    def test_memory_with_heads_of_many_short_fields(self):
        fields = b"".join(b"%x:\r\n" % n for n in range(2400))
        self.play(lambda i: request("/settle", f"c{i}", body=b"12345", extra=fields)[:-1])

    def test_memory_with_large_heads_that_never_end(self):
        self.play(lambda i: b"GET /check HTTP/1.1\r\nA: " + b"a" * 16000)

    def test_memory_with_bodies_in_chunks_of_two_bytes(self):
        pieces = b"2\r\nxy\r\n" * 20000
        self.play(lambda i: chunked(request("/settle", f"c{i}")) + pieces, clients=400)


class SlowReaders(CrowdCase):
    SMALL_BUFFER = 4096

    def test_memory_with_unread_answers_of_60_kb(self):
        self.play(lambda i: request("/check/length-60000", f"c{i}"), self.SMALL_BUFFER)

    def test_memory_with_unread_answers_of_one_mb(self):
        self.play(lambda i: request("/check/length-1000000", f"c{i}"), self.SMALL_BUFFER)

    def test_memory_with_unread_chunked_answers(self):
        self.play(lambda i: request("/check/chunked-1000000", f"c{i}"), self.SMALL_BUFFER)


class MixedCrowd(CrowdCase):
    def test_memory_with_clients_of_all_kinds_at_once(self):
        fields = b"".join(b"%x:\r\n" % n for n in range(2400))
        kinds = (
            lambda i: request("/settle", f"c{i}", body=b"x" * 65000)[:-1],
            lambda i: request("/settle", f"c{i}", body=b"x" * 600000)[:300000],
            lambda i: request("/settle", f"c{i}", body=b"12345", extra=fields)[:-1],
            lambda i: b"GET /check HTTP/1.1\r\nA: " + b"a" * 16000,
            lambda i: request("/check/length-1000000", f"c{i}"),
            lambda i: request("/check/chunked-1000000", f"c{i}"),
        )
        self.play(lambda i: kinds[i % len(kinds)](i), SlowReaders.SMALL_BUFFER)


class Upgrade(CrowdCase):
    def test_memory_of_both_processes_of_an_upgrade_beside_a_crowd(self):
        crowd = Crowd(
            self.node.place, CLIENTS, lambda i: request("/settle", f"c{i}", body=b"x" * 65000)[:-1]
        )
        crowd.is_connected.wait(CROWD_S)
        successor = NodeProcess(
            self.discovery,
            limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS},
            listen="%s:%d" % self.node.place,
            folder=self.node.folder,
        )
        self.addCleanup(successor.close)
        successor.wait_ready()
        highest_mb = sum(each.memory_mb("RssAnon") for each in (self.node, successor))
        crowd.close()
        self.assertLess(highest_mb, MEMORY_MB, "private memory of both in MB")
