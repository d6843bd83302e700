"""Lists of thousands of backends: what a word of discovery costs, and that indexes are used again in time."""

import time
import unittest

from pierglade import records as r
from pierglade.choice import FORGET, Node
from pierglade.tenants import Tenants
from tests.scene import MS, Scene, listed, terms

HARD_LIMIT = 1000       # ms; the longest of the scene's offerings
FORGOTTEN = FORGET * HARD_LIMIT + 1     # ms after which a gone backend's index is used again


def fleet(first, count):
    return [listed(f"b{n}", zone=f"z{n % 10}") for n in range(first, first + count)]


def least(call, times=3):
    """Least processor time of some calls, each with what `call` makes ready first."""
    spans = []
    for _ in range(times):
        run = call()
        began = time.process_time()
        run()
        spans.append(time.process_time() - began)
    return min(spans)


class Cost(unittest.TestCase):
    """Four times the backends cost under eight times as much: square, it would be sixteen times."""

    def check(self, call):
        few, many = least(lambda: call(1000)), least(lambda: call(4000))
        self.assertLess(many, 8 * few, f"{few * 1000:.1f} ms for 1000, {many * 1000:.1f} ms for 4000")

    def node(self, count):
        node = Node(4, terms(nodes=720), 0)
        node.listed(0, fleet(0, count), True)
        return node

    def test_the_first_list(self):
        def first(count):
            node, entries = Node(4, terms(nodes=720), 0), fleet(0, count)
            return lambda: node.listed(0, entries, True)
        self.check(first)

    def test_half_of_the_list_replaced(self):
        def replaced(count):
            node, entries = self.node(count), fleet(count // 2, count)
            return lambda: node.listed(1, entries, True)
        self.check(replaced)

    def test_all_new_after_all_are_gone_for_long(self):
        def anew(count):
            node, entries = self.node(count), fleet(count, count)
            node.listed(1, [], True)
            return lambda: node.listed(1 + FORGOTTEN * MS, entries, True)
        self.check(anew)

    def test_all_in_view_and_one_leaves(self):
        """Looked for in the new rotation one by one, each of the old cost all of them."""
        def leaves(count):
            node = Node(4, terms(tenants=Tenants()), 0)
            node.listed(0, fleet(0, count), True)
            node.at = count - 1
            node.listed(1, [listed(node.names[node.turn[-1]], r.GONE)], False)
            return lambda: node.listed(2, [listed(f"b{n}", r.GONE) for n in range(count // 2)], False)
        self.check(leaves)


class Index(unittest.TestCase):
    def scene(self, count=3, **changed):
        scene = Scene([f"b{n}" for n in range(count)], **changed)
        return scene, scene.node

    def test_used_again_after_the_time_and_not_before(self):
        scene, node = self.scene()
        old = node.index["b1"]
        scene.list([listed("b1", r.GONE)])
        scene.after(FORGOTTEN - 1)
        scene.list(["c0"])
        self.assertEqual((node.index["c0"], len(node.names)), (3, 4))
        scene.after(1)
        scene.list(["c1"])
        self.assertEqual((node.index["c1"], node.names[old], len(node.names)), (old, "c1", 4))
        self.assertNotIn("b1", node.index)
        self.assertEqual(sorted(node.names[b] for b in node.turn), ["b0", "b2", "c0", "c1"])

    def test_what_came_back_keeps_its_own(self):
        scene, node = self.scene()
        old = node.index["b1"]
        for state in (r.GONE, r.READY, r.DRAINING, r.GONE, r.READY):
            scene.list([listed("b1", state)])
        scene.after(FORGOTTEN)
        scene.list(["c0"])
        self.assertEqual((node.index["b1"], node.index["c0"], len(node.gone)), (old, 3, 0))

    def test_what_only_drains_keeps_its_own(self):
        scene, node = self.scene()
        scene.list([listed("b1", r.DRAINING)])
        scene.after(FORGOTTEN)
        scene.list(["c0"])
        self.assertEqual(node.index["c0"], 3)

    def test_gone_again_the_time_begins_anew(self):
        scene, node = self.scene()
        scene.list([listed("b1", r.GONE)])
        scene.after(FORGOTTEN - 1)
        scene.list(["b1"])
        scene.list([listed("b1", r.GONE)])
        scene.after(1)
        scene.list(["c0"])
        self.assertEqual(node.index["c0"], 3)

    def test_not_with_a_trip_out_while_others_are(self):
        """What comes of the trip is learned of the index; another behind it is free all the same."""
        scene, node = self.scene(2)
        invocation = scene.take("i0", offering=2, left=100000)
        held = invocation.trips[0].backend
        scene.list([listed(node.names[held], r.GONE)])
        scene.list([listed(node.names[1 - held], r.GONE)])
        scene.after(FORGOTTEN)
        scene.list(["c0", "c1"])
        self.assertEqual((node.index["c0"], node.index["c1"]), (1 - held, 2))
        scene.end("i0")
        scene.list(["c2"])
        self.assertEqual(node.index["c2"], held)

    def test_many_new_names_after_many_gone(self):
        scene, node = self.scene(300)
        scene.list([], whole=True)
        scene.after(FORGOTTEN)
        scene.list([f"c{n}" for n in range(400)], whole=True)
        self.assertEqual((len(node.names), len(node.ranked), len(node.index)), (400, 400, 400))
        self.assertEqual(sorted(node.index.values()), list(range(400)))
        self.assertEqual(len(node.gone), 0)
        self.assertEqual([node.rank[b] for b in node.ranked], sorted(node.rank))

    def test_half_replaced_leaves_the_rest_in_its_order(self):
        scene, node = self.scene(300)
        scene.list([f"b{n}" for n in range(150, 450)], whole=True)
        self.assertEqual(sorted(node.names[b] for b in node.ranked), sorted(f"b{n}" for n in range(150, 450)))
        ranks = [node.rank[b] for b in node.ranked]
        self.assertEqual(ranks, sorted(ranks))


class Idle(unittest.TestCase):
    def test_what_nothing_was_sent_to_shares_its_empty_past(self):
        node = Node(4, terms(nodes=720), 0)
        node.listed(0, fleet(0, 300), True)
        for name in ("samples", "pauses", "sums"):
            self.assertEqual(len({id(past) for past in getattr(node, name)}), 1, name)

    def test_the_past_of_one_is_its_own(self):
        scene = Scene(["b0", "b1", "b2"])
        scene.flow(60)
        node = scene.node
        self.assertEqual(sum(map(len, node.samples)), 60)
        self.assertEqual([sums[1] for sums in node.sums], [sum(times) for times in node.samples])
        scene.list([listed("b0", started=scene.now)])
        self.assertEqual((len(node.samples[node.index["b0"]]), node.work[node.index["b0"]]), (0, 0))
        self.assertEqual(sum(map(len, node.samples)), 40)
