"""An upgrade in which the files of sent ids can't be opened for a while: no unsafe id runs at both processes."""

import os
import unittest

from pierglade.processes import children
from tests.support.node_process import Backend, Client, Discovery, NodeProcess, wait_until
from tests.support.unshared_ids_node import MARK

LIMIT_S = 20.0
REPEATS = 10  # on connections of their own; the kernel gives them to the newest listener
STATUS_CALL = b"GET /status HTTP/1.1\r\nHost: node\r\n\r\n"
UNSHARED_IDS_NODE = "tests.support.unshared_ids_node"


class UpgradeWithoutIds(unittest.TestCase):
    def setUp(self):
        self.backends = [Backend(f"b{n}") for n in range(2)]
        self.discovery = Discovery([each.entry() for each in self.backends])
        self.nodes = []

    def tearDown(self):
        for each in (*self.nodes, self.discovery, *self.backends):
            each.close()

    def start(self, **changed):
        management = f"127.0.0.1:{children.free_port()}"
        node = NodeProcess(
            self.discovery, module=UNSHARED_IDS_NODE, management=management, **changed
        )
        self.nodes.append(node)
        return node

    def start_successor(self, old):
        """Starts a new process that can't open the files; returns it once it has its list."""
        self.mark(old)
        new = self.start(listen="%s:%d" % old.place, folder=old.folder)
        wait_until(lambda: new.events("ids_not_shared"), LIMIT_S, "it fails to open the files")
        self.backends.append(Backend("new"))
        self.discovery.tell(self.backends[-1].entry())
        wait_until(lambda: new.events("endpoints_updated"), LIMIT_S, "it has the list")
        return new

    @staticmethod
    def mark(node):
        with open(os.path.join(node.folder, MARK), "w"):
            pass

    @staticmethod
    def unmark(node):
        os.remove(os.path.join(node.folder, MARK))

    @staticmethod
    def is_serving(node):
        """Returns whether the process says yes to the platform."""
        host, _, port = node.config["management"].rpartition(":")
        client = Client((host, int(port)), LIMIT_S)
        try:
            return client.send(STATUS_CALL).answer().status == 200
        finally:
            client.close()

    def ran(self, trace_id):
        return sum(each.ids().count(trace_id) for each in self.backends)

    def check_repeats(self, node):
        for _ in range(REPEATS):
            self.assertEqual(node.ask("/settle", "once").status, 400)
        self.assertEqual(self.ran("once"), 1)

    def test_unsafe_id_does_not_run_at_both_processes(self):
        """Guards against a new process that serves before it knows the ids sent (soak, seed 7008)."""
        old = self.start().wait_ready()
        self.assertEqual(old.ask("/settle", "once").status, 200)
        new = self.start_successor(old)
        self.check_repeats(old)
        self.assertFalse(self.is_serving(new))
        self.unmark(old)
        wait_until(lambda: self.is_serving(new), LIMIT_S, "the new process serves")
        self.check_repeats(new)
        self.assertEqual(new.ask("/settle", "fresh").status, 200)

    def test_ids_sent_before_the_files_could_be_opened_are_shared_later(self):
        """Guards against ids that are never told as they were sent while the files failed."""
        folder_owner = self.start().wait_ready()  # for its folder
        folder_owner.process.kill()
        folder_owner.process.wait()
        self.mark(folder_owner)
        old = self.start(folder=folder_owner.folder).wait_ready()
        self.assertEqual(old.ask("/settle", "once").status, 200)
        self.unmark(old)
        new = self.start(listen="%s:%d" % old.place, folder=old.folder)
        wait_until(lambda: self.is_serving(new), LIMIT_S, "the new process serves")
        self.check_repeats(new)

    def test_new_process_serves_once_the_other_one_has_ended(self):
        old = self.start().wait_ready()
        new = self.start_successor(old)
        old.terminate()
        old.process.wait(LIMIT_S)
        wait_until(lambda: self.is_serving(new), LIMIT_S, "the new process serves")
        self.assertEqual(new.ask("/settle", "fresh").status, 200)
