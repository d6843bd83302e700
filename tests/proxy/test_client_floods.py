"""One or six clients that send at full speed, beside clients that send now and then."""

import subprocess
import sys
import threading
import time
import unittest

from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request, respond

FLOOD_S = 3.0
BACKEND_S = 0.02  # that a backend takes for a request
WAIT_MS = 300  # of the other clients
ANSWER_LIMIT_S = 0.5  # how late an answer may be before it counts as lost
USUAL_CLIENTS = 4
MAX_GROWTH_MB = 12.0


def serve(sock, received):
    time.sleep(BACKEND_S)
    respond(sock)


class Floods(unittest.TestCase):
    module = "pierglade"

    def setUp(self):
        self.backends = [Backend(f"b{n}", serve) for n in range(4)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(self.discovery, module=self.module).wait_ready()
        self.answers, self.is_over = [], False

    def tearDown(self):
        self.is_over = True
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    def usual_client(self, number):
        count, client = 0, None
        while not self.is_over:
            count += 1
            path = "/settle" if count % 2 else "/check"
            client = client or Client(self.node.place)
            sent_at = time.monotonic()
            try:
                client.send(request(path, f"usual-{number}-{count}", WAIT_MS))
                answer = client.answer()
            except OSError:
                answer = None
            if answer is not None and answer.status:
                self.answers.append((answer.status, answer.at - sent_at))
            if answer is None or not answer.status or answer.fields.get("connection") == "close":
                client.close()
                client = None
            time.sleep(0.02)
        if client is not None:
            client.close()

    def play(self, kind, flooders):
        threads = [
            threading.Thread(target=self.usual_client, args=(n,), daemon=True)
            for n in range(USUAL_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        memory_mb = self.node.memory_mb("RssAnon")
        command = [sys.executable, "-m", "tests.support.flood", *map(str, self.node.place)]
        floods = [subprocess.Popen([*command, kind, str(FLOOD_S)]) for _ in range(flooders)]
        for each in floods:
            each.wait()
        growth_mb = self.node.memory_mb("RssAnon") - memory_mb
        self.is_over = True
        for thread in threads:
            thread.join(10)
        late = [each for each in self.answers if each[1] > WAIT_MS / 1000 + ANSWER_LIMIT_S]
        self.assertEqual(late, [], "answers lost")
        self.assertLess(growth_mb, MAX_GROWTH_MB)
        served = sum(status == 200 for status, _ in self.answers)
        return served / len(self.answers)

    def test_answers_in_time_beside_ever_new_classes(self):
        self.assertGreater(self.play("classes", 6), 0.9)

    def test_answers_in_time_beside_ever_new_tenants(self):
        self.play("tenants", 6)

    def test_answers_in_time_beside_health_checks_at_full_speed(self):
        self.assertGreater(self.play("health", 6), 0.9)

    def test_answers_in_time_beside_malformed_requests_at_full_speed(self):
        self.assertGreater(self.play("unsound", 6), 0.9)

    def test_answers_in_time_beside_heads_that_repeat_a_field(self):
        self.assertGreater(self.play("fields", 1), 0.9)

    def test_answers_in_time_beside_tiny_chunks(self):
        self.assertGreater(self.play("chunks", 1), 0.9)


class FloodsOfASlowCore(Floods):
    """The same on a fifth of a core."""

    module = "tests.support.slow_core_node"
