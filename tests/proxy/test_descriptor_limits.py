"""A node process whose descriptors are all taken by clients that wait for slow backends."""

import contextlib
import os
import resource
import signal
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import gevent
import gevent.socket

from pierglade.proxy.descriptor_release import DescriptorRelease
from pierglade.proxy.state.constants import RESERVED_DESCRIPTORS
from pierglade.proxy.state.descriptors import DescriptorBudget
from pierglade.proxy.state.step import Step
from tests.support.node_process import Backend, Discovery, NodeProcess, respond, wait_until

DESCRIPTORS = 64
LIMIT = 28  # connections
CLIENTS = 100
WAIT_MS = 4000
HELD_S = 1.5  # how long backends hold all requests
ANSWER_S = 0.5  # in which a request that can't be sent is rejected
RESEND_S = 0.01
ROUNDS, ROUND_S = 4, 0.2
CONNECT_AFTER_TERM_S = 0.2
LISTEN_AFTER_TERM_S = 0.7  # after that the node closes its listener


def read_to_the_end(sock):
    with contextlib.suppress(OSError):
        sock.recv(1)


class Release(unittest.TestCase):
    def test_descriptor_of_a_closed_socket_is_in_use_until_its_reader_has_ended(self):
        theirs, ours = gevent.socket.socketpair()
        kernel_socket = ours._sock
        descriptors = mock.Mock(unreleased_count=0)
        reading = gevent.spawn(read_to_the_end, ours)
        gevent.sleep(0)
        DescriptorRelease(descriptors).close(ours)
        self.assertEqual((kernel_socket.fileno() >= 0, descriptors.unreleased_count), (True, 1))
        gevent.sleep(0)
        self.assertEqual((kernel_socket.fileno() >= 0, descriptors.unreleased_count), (False, 0))
        self.assertTrue(reading.dead)
        theirs.close()

    def test_unreleased_descriptors_are_not_given_to_new_clients(self):
        budget = DescriptorBudget(Step(0), None, RESERVED_DESCRIPTORS + LIMIT, True)
        budget.open_count = LIMIT
        self.assertGreater(budget.max_new_clients(LIMIT), 0)
        budget.unreleased_count = RESERVED_DESCRIPTORS
        self.assertEqual(budget.max_new_clients(LIMIT), 0)

    def test_process_that_a_successor_replaces_still_accepts_what_is_queued(self):
        budget = DescriptorBudget(Step(0), None, RESERVED_DESCRIPTORS + LIMIT, sole_process=True)
        budget.open_count = LIMIT
        budget.limit = budget.full_limit // 2  # as it stops
        self.assertGreater(budget.max_new_clients(LIMIT), 0)

    def test_process_with_hardly_any_descriptors_still_accepts(self):
        for limit in (-12, 0, RESERVED_DESCRIPTORS):
            budget = DescriptorBudget(Step(0), None, limit, sole_process=False)
            self.assertGreater(budget.max_new_clients(LIMIT), 0, limit)


class WaitingClients(unittest.TestCase):
    def setUp(self):
        self.release = threading.Event()
        self.backends = [Backend(f"b{n}", self.serve) for n in range(2)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.node = NodeProcess(self.discovery, limits={"sockets": DESCRIPTORS}).wait_ready()
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.node.process.pid, resource.RLIMIT_NOFILE, limits)

    def tearDown(self):
        self.release.set()
        self.node.close()
        for each in (self.discovery, *self.backends):
            each.close()

    def serve(self, sock, received):
        self.release.wait(HELD_S)
        respond(sock)

    def ask(self, trace_id):
        """Returns the status of the final answer; an unread request is sent again."""
        while not (status := self.node.ask("/settle", trace_id, WAIT_MS).status):
            time.sleep(RESEND_S)
        return status

    def start_waiting(self, pool, number):
        """Sends the requests of a crowd whose answers are held back; returns their futures."""
        self.release.clear()
        asked = [pool.submit(self.ask, f"r{number}-{n}") for n in range(CLIENTS)]
        wait_until(
            lambda: len(os.listdir(f"/proc/{self.node.process.pid}/fd")) > DESCRIPTORS // 2,
            5,
            "clients wait",
        )
        return asked

    def test_no_descriptor_runs_out_while_more_clients_wait_than_there_are_descriptors(self):
        with ThreadPoolExecutor(CLIENTS) as pool:
            for number in range(ROUNDS):
                asked = self.start_waiting(pool, number)
                time.sleep(ROUND_S)
                self.release.set()
                self.assertLessEqual({each.result() for each in asked}, {200, 503})
        self.assertEqual(self.node.events("accept_failed"), [])

    def test_new_client_is_answered_at_once_while_all_descriptors_wait(self):
        with ThreadPoolExecutor(CLIENTS) as pool:
            self.start_waiting(pool, 0)
            sent_at = time.monotonic()
            status = self.ask("late")
            took_s = time.monotonic() - sent_at
            self.assertFalse(self.release.is_set())
            self.release.set()
        self.assertEqual(status, 503)
        self.assertLess(took_s, ANSWER_S)

    def test_queued_connections_are_answered_as_the_listener_closes_without_descriptors(self):
        self.release.set()
        self.node.terminate()
        time.sleep(CONNECT_AFTER_TERM_S)
        self.node.process.send_signal(signal.SIGSTOP)
        with ThreadPoolExecutor(CLIENTS) as pool:
            asked = [pool.submit(self.answer_once, n) for n in range(CLIENTS)]
            time.sleep(LISTEN_AFTER_TERM_S)
            self.node.process.send_signal(signal.SIGCONT)
            statuses = [each.result() for each in asked]
        self.assertLessEqual(set(statuses), {200, 503}, f"{statuses.count(0)} lost")

    def answer_once(self, number):
        try:
            return self.node.ask("/settle", f"queued-{number}", WAIT_MS).status
        except OSError:
            return 0
