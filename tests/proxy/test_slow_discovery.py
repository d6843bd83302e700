"""A discovery that answers late is heard, and one that leaves a call unanswered is asked again at once."""

import contextlib
import itertools
import time
import unittest

from tests.support.node_process import Backend, Discovery, NodeProcess, wait_until

LIMIT_S = 20.0
LATE_S = (0.3, 1.0)
TOLD_WITHIN_S = 6.0  # the latest of the pages, after discovery had a change
GRACE_S = 0.5
SLACK_S = 0.2
UNANSWERED = 3  # calls
UNANSWERED_LIMIT_S = 3.0  # less than a late response is waited for


class LateDiscovery(Discovery):
    """Answers each call `late_s` after it came, and the first `unanswered` ones never."""

    def __init__(self, entries, late_s, unanswered=0):
        self.late_s, self.unanswered, self.calls = late_s, unanswered, itertools.count()
        super().__init__(entries)

    def _serve(self, sock):
        if next(self.calls) < self.unanswered:
            with sock, contextlib.suppress(OSError):
                while sock.recv(4096):  # Until the node gives up.
                    pass
            return None
        time.sleep(self.late_s)
        return super()._serve(sock)


class SlowDiscovery(unittest.TestCase):
    def setUp(self):
        self.backends = [Backend(f"b{n}") for n in range(2)]
        self.entries = [each.entry() for each in self.backends]
        self.opened = []

    def tearDown(self):
        for each in (*self.opened, *self.backends):
            each.close()

    def discovery(self, late_s=0.0, unanswered=0):
        self.opened.insert(0, LateDiscovery(self.entries, late_s, unanswered))
        return self.opened[0]

    def node(self, discovery, **config):
        node = NodeProcess(discovery, **config)
        self.opened.insert(0, node)
        return node

    def test_drain_is_followed_after_a_move_to_a_slow_discovery(self):
        """Guards against sending to a drained backend where each list is late (review/10)."""
        for late_s in LATE_S:
            with self.subTest(late_s=late_s):
                old, new = self.discovery(), self.discovery(late_s)
                node = self.node(old).wait_ready()
                node.configure(node.config | {"discovery": new.address})
                node.reload()
                wait_until(lambda node=node: node.events("config_reloaded"), LIMIT_S, "it moves")
                new.tell(self.backends[0].entry("DRAINING"))
                told_at = time.monotonic()
                self.assert_followed(node, told_at)
                new.tell(self.backends[0].entry())

    def assert_followed(self, node, told_at):
        """Checks that the drained backend gets nothing from the latest time of the pages on."""
        wait_until(
            lambda: any("b0" in str(line) for line in node.events("endpoints_updated")[-1:]),
            TOLD_WITHIN_S + SLACK_S,
            "the node hears of the drain",
        )
        time.sleep(max(0.0, told_at + GRACE_S + SLACK_S - time.monotonic()))
        before = len(self.backends[0].received)
        for number in range(20):
            self.assertEqual(node.ask("/settle", f"after-{told_at}-{number}").status, 200)
        self.assertEqual(len(self.backends[0].received), before)

    def test_node_without_a_known_list_becomes_ready(self):
        """Guards against a node that is never ready as each list is late (review/10)."""
        for late_s in LATE_S:
            with self.subTest(late_s=late_s):
                self.node(self.discovery(late_s), known=None).wait_ready()

    def test_unanswered_calls_do_not_delay_the_ones_after_them(self):
        discovery = self.discovery(unanswered=UNANSWERED)
        began_at = time.monotonic()
        node = self.node(discovery, known=None).wait_ready()
        self.assertLess(time.monotonic() - began_at, UNANSWERED_LIMIT_S)
        self.assertEqual(node.ask("/settle", "first").status, 200)
