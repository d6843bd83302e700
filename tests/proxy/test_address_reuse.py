"""A new process comes up at the address of one that has gone: it is not taken for the old one."""

import time
import unittest

from pierglade.proxy.state.events import UpstreamConnected
from tests.support.node_process import Backend, Client, Discovery, NodeProcess, request, respond
from tests.support.scene import MS, StateMachineHarness, entry

ADDRESS = "127.0.0.1:9500"
REQUEST_MS = 1000  # that a client of the harness waits
SLOW_START_MS = 9000  # a little more than in the harness


def connected_names(harness):
    """The names of the backends to which connections were opened, and forgets them."""
    names = [line.split()[-1] for line in harness.lines if " Connect " in line]
    harness.lines = []
    return names


class SharedAddress(unittest.TestCase):
    def harness(self, *entries, **settings):
        harness = StateMachineHarness([], **settings)
        harness.update_endpoints(entries)
        harness.lines = []
        return harness

    def send(self, harness, count, start=0):
        for n in range(start, start + count):
            harness.send_request(f"c{n}", path="/pay")
        return connected_names(harness)

    def test_nothing_is_sent_to_a_name_whose_address_another_one_has(self):
        harness = self.harness(entry("b0", address=ADDRESS), entry("b1"))
        harness.update_endpoints([entry("b2", address=ADDRESS, since_ms=1)], index=2, whole=False)
        harness.after(SLOW_START_MS)
        harness.lines = []
        self.assertEqual(sorted(set(self.send(harness, 12))), ["b1", "b2"])

    def test_order_of_a_list_does_not_decide_who_has_an_address(self):
        entries = [entry("b2", address=ADDRESS, since_ms=1), entry("b0", address=ADDRESS)]
        for listed in (entries, entries[::-1]):
            harness = self.harness(*listed, entry("b1"))
            self.assertEqual(sorted(set(self.send(harness, 12))), ["b1", "b2"])

    def test_attempt_that_waits_for_a_connection_goes_elsewhere(self):
        harness = self.harness(entry("b0", address=ADDRESS), entry("b1"))
        names = self.send(harness, 2)
        self.assertEqual(sorted(names), ["b0", "b1"])
        waiting = harness.links[names.index("b0")]
        harness.update_endpoints([entry("b2", address=ADDRESS, since_ms=1)], index=2, whole=False)
        harness.lines = []
        harness.connect_upstream(harness.links.index(waiting))
        self.assertEqual([line for line in harness.lines if "SendRequest" in line], [])

    def test_name_that_comes_back_at_another_address_is_used_again(self):
        harness = self.harness(entry("b0", address=ADDRESS), entry("b1"))
        harness.update_endpoints([entry("b2", address=ADDRESS, since_ms=1)], index=2, whole=False)
        harness.update_endpoints([entry("b0", since_ms=2)], index=3, whole=False)
        harness.after(SLOW_START_MS)
        harness.lines = []
        self.assertIn("b0", self.send(harness, 12))

    def test_attempts_that_wait_for_a_connection_are_not_sent_to_a_restarted_process(self):
        for address in (ADDRESS, "127.0.0.1:9600"):
            with self.subTest(address=address):
                harness = self.harness(entry("b0", address=ADDRESS), entry("b1"))
                names = self.send(harness, 8)
                restarted = entry("b0", address=address, since_ms=harness.now // MS)
                harness.update_endpoints([restarted], index=2, whole=False)
                waiting = [harness.links[n] for n, name in enumerate(names) if name == "b0"]
                harness.lines = []
                for connection in waiting:
                    harness.handle_event(UpstreamConnected(connection))
                self.assertEqual([line for line in harness.lines if "SendRequest" in line], [])
                self.assertNotIn("b0", connected_names(harness))

    def test_keyed_request_stays_in_the_zone_where_it_may_have_run_as_its_backend_moves(self):
        harness = self.harness(entry("b0", address=ADDRESS))
        harness.send_request("c0", path="/hold")
        harness.connect_upstream()
        moved = entry("b0", address="127.0.0.1:9600", since_ms=harness.now // MS)
        others = [{**each, "zone": "west"} for each in (moved, entry("b1"))]
        harness.update_endpoints(others, index=2, whole=False)
        harness.lines = []
        harness.lose()
        harness.after(REQUEST_MS)
        self.assertEqual(connected_names(harness), [])

    def test_start_time_that_went_back_is_a_new_process_too(self):
        harness = self.harness(entry("b0", since_ms=1500))
        self.send(harness, 1)
        harness.connect_upstream()
        harness.reply()
        harness.after(100)
        harness.lines = []
        harness.update_endpoints([entry("b0", since_ms=200)], index=2, whole=False)
        self.assertTrue([line for line in harness.lines if "CloseUpstream" in line])


class UpgradedBackend(unittest.TestCase):
    def test_keyed_request_is_not_repeated_at_the_process_that_took_the_address(self):
        other = Backend("s-far", zone="b")
        old = Backend("s-old", lambda sock, received: self.replace(sock), zone="a")
        address = old.address
        discovery = Discovery([old.entry(), other.entry()])
        node = NodeProcess(discovery).wait_ready()
        self.new, self.old, self.discovery = None, old, discovery
        try:
            for n in range(12):
                client = Client(node.place)
                client.send(request("/hold", f"hold-{n}", 3000)).answer()
                client.close()
                if self.new is not None:
                    break
            time.sleep(0.5)
            self.assertEqual(self.new.address, address)
            first = old.ids()
            self.assertEqual([each for each in self.new.ids() if each in first], [])
            self.assertEqual([each for each in other.ids() if each in first], [])
        finally:
            node.close()
            for each in (discovery, old, other, self.new):
                each.close()

    def replace(self, sock):
        """The process dies within its request, and another one takes its address, in another zone."""
        self.old.close()
        self.new = Backend("s-new", respond_to_all, zone="b", address=self.old.address)
        self.discovery.tell(self.new.entry(since_ms=int(time.time() * 1000)))
        time.sleep(0.1)
        sock.close()


def respond_to_all(sock, received):
    respond(sock)
