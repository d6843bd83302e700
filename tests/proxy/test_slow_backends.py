"""Backends that write large answers late or slowly, or read large requests slowly."""

import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.support.node_process import (
    Backend,
    Client,
    Discovery,
    NodeProcess,
    request,
    wait_until,
)

ANSWER_LIMIT_S = 0.5  # how late an answer may be before it counts as lost
WAIT_MS = 2500
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_END = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def whole_body(sizes):
    return b"".join(bytes([97 + n % 26]) * size for n, size in enumerate(sizes))


class SlowBackends(unittest.TestCase):
    read_pause_s = 0.0
    memory_mb = 192

    def setUp(self):
        self.backends = [
            Backend(f"b{n}", self.serve, read_pause_s=self.read_pause_s) for n in range(3)
        ]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(
            self.discovery, limits={"memory_mb": self.memory_mb, "sockets": 1024}
        ).wait_ready()
        self.cut_off = []

    def tearDown(self):
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    def serve(self, sock, received):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def answer_delay(self, data, wait_ms, path="/settle"):
        """Returns the answer, and when it came after the request's last byte was written."""
        client = Client(self.node.place, 30)
        written_at = []

        def write():
            client.sock.sendall(data)
            written_at.append(time.monotonic())

        writer = threading.Thread(target=write, daemon=True)
        writer.start()
        answer = client.answer()
        writer.join(1)
        client.close()
        return answer, answer.at - (written_at[0] if written_at else answer.at)


class SlowAnswers(SlowBackends):
    """An answer that its backend is still writing arrives whole, whatever its pauses."""

    def serve(self, sock, received):
        head, pauses, sizes = self.plan
        try:
            for piece in head:
                sock.sendall(piece)
                time.sleep(self.head_pause_s)
            for n, (pause_s, size) in enumerate(zip(pauses, sizes, strict=True)):
                time.sleep(pause_s)
                piece = bytes([97 + n % 26]) * size
                is_chunked = b"chunked" in b"".join(head)
                sock.sendall(b"%x\r\n%s\r\n" % (size, piece) if is_chunked else piece)
            if b"chunked" in b"".join(head):
                sock.sendall(b"0\r\n\r\n")
            if b"close" in b"".join(head):
                sock.close()
        except OSError:
            self.cut_off.append(received.trace_id)

    def check(
        self,
        head,
        pauses,
        sizes,
        wait_ms=WAIT_MS,
        head_pause_s=0.0,
        paths=("/check", "/hold", "/settle"),
    ):
        self.head_pause_s = head_pause_s
        self.plan = (head if isinstance(head, tuple) else (head,)), pauses, sizes
        with ThreadPoolExecutor() as pool:
            answers = list(
                pool.map(lambda path: self.node.ask(path, f"slow{path}", wait_ms), paths)
            )
        for path, answer in zip(paths, answers, strict=True):
            self.assertEqual(answer.status, 200, path)
            self.assertTrue(answer.whole, path)
            self.assertEqual(answer.body, whole_body(sizes), path)
        self.assertEqual(self.cut_off, [])

    def test_chunked_body_that_begins_late(self):
        self.check(CHUNKED, [0.9] + [0.01] * 20, [13543] * 21)

    def test_body_without_length_that_begins_late(self):
        self.check(UNTIL_END, [0.9] + [0.01] * 20, [13543] * 21)

    def test_body_that_begins_late_behind_its_first_bytes(self):
        self.check(CHUNKED, [0.0, 0.9] + [0.01] * 10, [5] + [13543] * 11)

    def test_body_written_below_the_usual_rate_past_the_deadline(self):
        self.check(CHUNKED, [0.15] * 20, [4000] * 20, wait_ms=1000)

    def test_body_that_pauses_in_the_middle_past_the_deadline(self):
        self.check(CHUNKED, [0.0] * 5 + [0.6, 0.9] + [0.0] * 5, [9000] * 12, wait_ms=1000)

    def test_head_written_in_two_pieces(self):
        head = (b"HTTP/1.1 200 OK\r\nConte", b"nt-Length: 135430\r\n\r\n")
        self.check(head, [0.0] * 10, [13543] * 10, head_pause_s=0.3)

    def test_small_body_with_length_that_pauses_where_no_retry_is_possible(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 15000\r\n\r\n"
        self.check(head, [0.0, 1.3, 0.1], [5000] * 3, paths=("/settle",))

    def test_small_body_with_length_that_pauses_at_each_backend(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 15000\r\n\r\n"
        self.plan, self.head_pause_s = ((head,), [0.0, 1.3, 0.1], [5000] * 3), 0.0
        for path in ("/check", "/hold"):
            answer = self.node.ask(path, f"slow{path}", WAIT_MS)
            self.assertEqual((answer.status, len(answer.body)), (200, 15000), path)

    def test_small_body_with_length_that_never_ends_is_given_up_in_time(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 15000\r\n\r\nbegun"
        self.plan, self.head_pause_s = ((head,), [], []), 20.0
        for path in ("/check", "/hold", "/settle"):
            sent_at = time.monotonic()
            answer = self.node.ask(path, f"stuck{path}", 1500)
            self.assertLess(answer.at - sent_at, 1.5 + ANSWER_LIMIT_S, path)
            self.assertIn(answer.status, (503, 504), path)

    def test_body_that_never_goes_on_is_ended_in_time(self):
        for first in (b"", b"5\r\nfirst\r\n"):
            for wait_ms in (300, 1500):
                self.head_pause_s = 20.0
                self.plan = (CHUNKED + first,), [], []
                sent_at = time.monotonic()
                answer = self.node.ask("/settle", f"stuck-{sent_at}", wait_ms)
                self.assertLess(answer.at - sent_at, wait_ms / 1000 + ANSWER_LIMIT_S)
                self.assertFalse(answer.whole and answer.status == 200)


class SlowReaders(SlowBackends):
    """A large request that its backend reads slowly is answered in its time."""

    read_pause_s = 0.05  # 16 kB each

    def test_large_request_is_answered_in_its_time(self):
        for size in (300000, 2000000, 4000000):
            data = request("/settle", f"large-{size}", 1000, b"x" * size)
            answer, delay_s = self.answer_delay(data, 1000)
            self.assertNotEqual(answer.status, 0)
            self.assertLess(delay_s, 1.0 + ANSWER_LIMIT_S, size)

    def test_large_chunked_request_is_answered_in_its_time(self):
        head = request("/settle", "chunked", 1000).replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        data = head + b"2000\r\n%s\r\n" % (b"x" * 8192) * 250 + b"0\r\n\r\n"
        answer, delay_s = self.answer_delay(data, 1000)
        self.assertNotEqual(answer.status, 0)
        self.assertLess(delay_s, 1.0 + ANSWER_LIMIT_S)


class SlowReadersWithoutMemory(SlowReaders):
    """The same where no body can be buffered whole."""

    memory_mb = 32

    def setUp(self):
        super().setUp()
        self.holders = [Client(self.node.place) for _ in range(60)]
        for n, each in enumerate(self.holders):
            each.send(request("/settle", f"holder-{n}", 4000, b"x" * 900000)[:-1])
        wait_until(
            lambda: [e for e in self.node.events("resources") if e["buffered_kb"] > 500],
            10,
            "the buffers are in use",
        )

    def tearDown(self):
        for each in self.holders:
            each.close()
        super().tearDown()


class SoundUploads(SlowBackends):
    """Slow uploads are served: what takes its time is not cut off."""

    def test_request_read_slowly_but_in_time_is_served(self):
        data = request("/settle", "in-time", 4000, b"x" * 400000)
        answer, _ = self.answer_delay(data, 4000)
        self.assertEqual(answer.status, 200)


class SlowUploads(SlowBackends):
    read_pause_s = 0.005

    def test_slow_upload_is_not_under_the_deadline_of_its_end(self):
        client = Client(self.node.place, 30)
        data = request("/settle", "slow", 1000, b"x" * 1500000)
        for begin in range(0, len(data), 100000):
            client.send(data[begin : begin + 100000])
            time.sleep(0.35)
        self.assertEqual(client.answer().status, 200)
        client.close()
