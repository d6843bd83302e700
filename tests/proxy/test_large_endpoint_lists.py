"""Lists of thousands of backends: what a word of discovery costs, and that indexes are used again in time."""

import gc
import time
import unittest
from functools import partial

from pierglade.balancer.balancer import Balancer
from pierglade.balancer.endpoint_stats import REUSE_AFTER
from pierglade.model.endpoint import EndpointState
from pierglade.proxy.state.effects import LogEvent
from pierglade.proxy.state.endpoints import NAMED
from pierglade.proxy.state.events import ConfigurationLoaded, EndpointsUpdated
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, Desk, Scene, balancer_settings, entry, listed

HARD_LIMIT = 1000  # ms; the longest of the scene's offerings
FORGOTTEN = REUSE_AFTER * HARD_LIMIT + 1  # ms after which a gone backend's index is used again


def fleet(first, count):
    return [listed(f"b{n}", zone=f"z{n % 10}") for n in range(first, first + count)]


def cpu(make_ready):
    """Processor time of the call that `make_ready` gives, without collections, which fall into long ones."""
    call = make_ready()
    gc.disable()
    try:
        began = time.process_time()
        call()
        return time.process_time() - began
    finally:
        gc.enable()


def least(one, other, enough):
    """The least processor time of both, turn by turn, until `enough` of both holds: a busy machine may add to
    either for a while, but not for ever."""
    spans = []
    while len(spans) < 3 or len(spans) < 15 and not enough(*map(min, zip(*spans))):
        spans.append((cpu(one), cpu(other)))
    return map(min, zip(*spans))


class Cost(unittest.TestCase):
    """Four times the backends cost under eight times as much: square, it would be sixteen times."""

    def check(self, call):
        few, many = least(lambda: call(1000), lambda: call(4000), lambda few, many: many < 8 * few)
        self.assertLess(
            many, 8 * few, f"{few * 1000:.1f} ms for 1000, {many * 1000:.1f} ms for 4000"
        )

    def node(self, count):
        node = Balancer(4, balancer_settings(node_count=720), 0)
        node.endpoints_updated(0, fleet(0, count), True)
        return node

    def test_the_first_list(self):
        def first(count):
            node, entries = Balancer(4, balancer_settings(node_count=720), 0), fleet(0, count)
            return lambda: node.endpoints_updated(0, entries, True)

        self.check(first)

    def test_half_of_the_list_replaced(self):
        def replaced(count):
            node, entries = self.node(count), fleet(count // 2, count)
            return lambda: node.endpoints_updated(1, entries, True)

        self.check(replaced)

    def test_all_new_after_all_are_gone_for_long(self):
        def anew(count):
            node, entries = self.node(count), fleet(count, count)
            node.endpoints_updated(1, [], True)
            return lambda: node.endpoints_updated(1 + FORGOTTEN * MS, entries, True)

        self.check(anew)

    def test_all_in_view_and_one_leaves(self):
        """Looked for in the new rotation one by one, each of the old cost all of them."""

        def leaves(count):
            node = Balancer(4, balancer_settings(tenants=TenantRegistry()), 0)
            node.endpoints_updated(0, fleet(0, count), True)
            node.rotation.position = count - 1
            node.endpoints_updated(
                1,
                [listed(node.endpoints.names[node.rotation.subset[-1]], EndpointState.REMOVED)],
                False,
            )
            return lambda: node.endpoints_updated(
                2, [listed(f"b{n}", EndpointState.REMOVED) for n in range(count // 2)], False
            )

        self.check(leaves)


class Index(unittest.TestCase):
    def scene(self, count=3, **changed):
        scene = Scene([f"b{n}" for n in range(count)], **changed)
        return scene, scene.node

    def test_used_again_after_the_time_and_not_before(self):
        scene, node = self.scene()
        old = node.endpoints.index["b1"]
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(FORGOTTEN - 1)
        scene.list(["c0"])
        self.assertEqual((node.endpoints.index["c0"], len(node.endpoints.names)), (3, 4))
        scene.after(1)
        scene.list(["c1"])
        self.assertEqual(
            (node.endpoints.index["c1"], node.endpoints.names[old], len(node.endpoints.names)),
            (old, "c1", 4),
        )
        self.assertNotIn("b1", node.endpoints.index)
        self.assertEqual(
            sorted(node.endpoints.names[b] for b in node.rotation.subset), ["b0", "b2", "c0", "c1"]
        )

    def test_what_came_back_keeps_its_own(self):
        scene, node = self.scene()
        old = node.endpoints.index["b1"]
        for state in (
            EndpointState.REMOVED,
            EndpointState.READY,
            EndpointState.DRAINING,
            EndpointState.REMOVED,
            EndpointState.READY,
        ):
            scene.list([listed("b1", state)])
        scene.after(FORGOTTEN)
        scene.list(["c0"])
        self.assertEqual(
            (node.endpoints.index["b1"], node.endpoints.index["c0"], len(node.endpoints.removed)),
            (old, 3, 0),
        )

    def test_what_only_drains_keeps_its_own(self):
        scene, node = self.scene()
        scene.list([listed("b1", EndpointState.DRAINING)])
        scene.after(FORGOTTEN)
        scene.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_gone_again_the_time_begins_anew(self):
        scene, node = self.scene()
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(FORGOTTEN - 1)
        scene.list(["b1"])
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(1)
        scene.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_not_with_a_trip_out_while_others_are(self):
        """What comes of the trip is learned of the index; another behind it is free all the same."""
        scene, node = self.scene(2)
        request = scene.take("i0", request_class=2, left=100000)
        held = request.attempts[0].backend
        scene.list([listed(node.endpoints.names[held], EndpointState.REMOVED)])
        scene.list([listed(node.endpoints.names[1 - held], EndpointState.REMOVED)])
        scene.after(FORGOTTEN)
        scene.list(["c0", "c1"])
        self.assertEqual((node.endpoints.index["c0"], node.endpoints.index["c1"]), (1 - held, 2))
        scene.end("i0")
        scene.list(["c2"])
        self.assertEqual(node.endpoints.index["c2"], held)

    def test_many_new_names_after_many_gone(self):
        scene, node = self.scene(300)
        scene.list([], whole=True)
        scene.after(FORGOTTEN)
        scene.list([f"c{n}" for n in range(400)], whole=True)
        self.assertEqual(
            (len(node.endpoints.names), len(node.rotation.by_rank), len(node.endpoints.index)),
            (400, 400, 400),
        )
        self.assertEqual(sorted(node.endpoints.index.values()), list(range(400)))
        self.assertEqual(len(node.endpoints.removed), 0)
        self.assertEqual(
            [node.endpoints.rank[b] for b in node.rotation.by_rank], sorted(node.endpoints.rank)
        )

    def test_half_replaced_leaves_the_rest_in_its_order(self):
        scene, node = self.scene(300)
        scene.list([f"b{n}" for n in range(150, 450)], whole=True)
        self.assertEqual(
            sorted(node.endpoints.names[b] for b in node.rotation.by_rank),
            sorted(f"b{n}" for n in range(150, 450)),
        )
        ranks = [node.endpoints.rank[b] for b in node.rotation.by_rank]
        self.assertEqual(ranks, sorted(ranks))


class Idle(unittest.TestCase):
    def test_what_nothing_was_sent_to_shares_its_empty_past(self):
        node = Balancer(4, balancer_settings(node_count=720), 0)
        node.endpoints_updated(0, fleet(0, 300), True)
        for name in ("samples", "pauses", "sums"):
            self.assertEqual(
                len({id(past) for past in getattr(node.pause_forecast, name)}), 1, name
            )

    def test_the_past_of_one_is_its_own(self):
        scene = Scene(["b0", "b1", "b2"])
        scene.flow(60)
        node = scene.node
        self.assertEqual(sum(map(len, node.pause_forecast.samples)), 60)
        self.assertEqual(
            [sums[1] for sums in node.pause_forecast.sums],
            [sum(times) for times in node.pause_forecast.samples],
        )
        scene.list([listed("b0", started=scene.now)])
        self.assertEqual(
            (
                len(node.pause_forecast.samples[node.endpoints.index["b0"]]),
                node.pause_forecast.answered[node.endpoints.index["b0"]],
            ),
            (0, 0),
        )
        self.assertEqual(sum(map(len, node.pause_forecast.samples)), 40)


class Told:
    """Stands before a node's `listed` and keeps what it is told."""

    def __init__(self, node):
        self.entries, self.next = [], node.endpoints_updated
        node.endpoints_updated = self

    def __call__(self, now, entries, whole):
        self.entries.append([(e.name, e.state) for e in entries])
        self.next(now, entries, whole)


class Heard(unittest.TestCase):
    """A whole list heard again, as after discovery was started anew: only what differs is applied."""

    def setUp(self):
        self.desk = Desk([f"b{n}" for n in range(5)])
        self.told = Told(self.desk.reducer.balancers.current)

    def hear(self, names, *more):
        self.desk.hear([*map(entry, names), *more], index=2)
        return self.told.entries[-1]

    def test_all_as_it_was(self):
        lines = len(self.desk.lines)
        self.assertEqual(self.hear(["b0", "b1", "b2", "b3", "b4"]), [])
        self.assertEqual((len(self.desk.lines), self.desk.reducer.endpoints.version), (lines, 2))

    def test_each_difference_is_told(self):
        for change in (
            dict(zone="west"),
            dict(group=3),
            dict(weight=2.0),
            dict(since_ms=5),
            dict(address="127.0.0.1:9990"),
            dict(status="DRAINING"),
        ):
            with self.subTest(change):
                self.setUp()
                told = self.hear(["b0", "b1", "b2", "b3"], {**entry("b4"), **change})
                self.assertEqual(
                    told,
                    [("b4", EndpointState.DRAINING if "status" in change else EndpointState.READY)],
                )
                backend = self.desk.reducer.endpoints.records["b4"]
                self.assertEqual(
                    (
                        backend.entry.zone,
                        backend.entry.cell,
                        backend.entry.weight,
                        backend.entry.started_at,
                        backend.address,
                        backend.state,
                    ),
                    (
                        change.get("zone", "east"),
                        change.get("group", 0),
                        change.get("weight", 1.0),
                        change.get("since_ms", 0) * 10,
                        change.get("address", "127.0.0.1:9004"),
                        EndpointState.DRAINING if "status" in change else EndpointState.READY,
                    ),
                )

    def test_left_out_and_back_as_it_was(self):
        self.assertEqual(self.hear(["b0", "b1", "b2", "b3"]), [("b4", EndpointState.REMOVED)])
        self.assertEqual(self.hear(["b0", "b1", "b2", "b3", "b4"]), [("b4", EndpointState.READY)])
        self.assertEqual(len(self.desk.reducer.balancers.current.rotation.by_rank), 5)
        self.assertEqual(len(self.desk.reducer.endpoints.removed), 0)

    def test_named_twice_the_last_word_holds(self):
        for twice in (
            (entry("b4", "DRAINING"), entry("b4")),
            (entry("b4"), entry("b4", "DRAINING")),
        ):
            self.setUp()
            self.hear(["b0", "b1", "b2", "b3"], *twice)
            backend = self.desk.reducer.endpoints.records["b4"]
            ready = twice[1]["status"] == "SERVING"
            self.assertEqual(
                backend.state, EndpointState.READY if ready else EndpointState.DRAINING
            )
            self.assertEqual(
                len(self.desk.reducer.balancers.current.rotation.by_rank), 5 if ready else 4
            )

    def test_refused_nothing_of_it_is_applied(self):
        """Also where the fault stands behind a good difference, or in one that is equal but for it."""
        for wrong in (
            {**entry("b4"), "since_ms": "soon"},
            {**entry("b4"), "status": "UP"},
            {**entry("b4"), "weight": None},
            {**entry("b4"), "address": "nowhere"},
            {"name": "b4"},
            7,
        ):
            with self.subTest(wrong):
                self.setUp()
                self.desk.hear([entry("b0", "DRAINING"), entry("b1"), wrong], index=2)
                self.assertEqual(self.told.entries, [])
                self.assertEqual(
                    {b.state for b in self.desk.reducer.endpoints.records.values()},
                    {EndpointState.READY},
                )
                self.assertIsNone(self.desk.reducer.endpoints.version)

    def test_an_older_node_hears_it_too(self):
        self.desk.ask("c0")
        older = self.desk.reducer.balancers.current
        self.desk.tell(
            ConfigurationLoaded("", {"settings": "others"}, balancer_settings(max_retry_after=7))
        )
        self.assertEqual(self.desk.reducer.balancers.earlier, [older])
        self.told = Told(self.desk.reducer.balancers.current)
        self.hear(["b0", "b1", "b2", "b3"])
        self.assertEqual(
            [older.endpoints.state[older.endpoints.index["b4"]], len(older.rotation.by_rank)],
            [EndpointState.REMOVED, 4],
        )
        self.assertEqual(self.hear(["b0", "b1", "b2", "b3", "b4"]), [("b4", EndpointState.READY)])
        self.assertEqual(len(older.rotation.by_rank), 5)

    def test_forgotten_in_time_and_not_while_it_has_links(self):
        reducer = self.desk.reducer
        names = ["b0", "b1", "b2", "b3"]
        self.desk.hear([entry(name, "DRAINING") for name in names], index=2, whole=False)
        self.desk.hear([entry(name, "DELETED") for name in names[1:]], index=3, whole=False)
        reducer.endpoints.records["b1"].links = 1
        self.desk.now += (FORGOTTEN - 1) * MS
        self.desk.hear(["c1"], index=4, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b1", "b2", "b3", "b4", "c1"})
        self.desk.now += 1
        self.desk.hear(["c2"], index=5, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b1", "b4", "c1", "c2"})
        self.assertEqual(list(reducer.endpoints.removed), ["b1"])
        reducer.endpoints.records["b1"].links = 0
        self.desk.hear(["c3"], index=6, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b4", "c1", "c2", "c3"})

    def test_back_before_the_time_it_is_not_forgotten(self):
        for state in ("DELETED", "SERVING"):
            self.desk.hear([entry("b1", state)], index=2, whole=False)
        self.desk.now += FORGOTTEN * MS
        self.desk.hear(["c1"], index=3, whole=False)
        self.assertIn("b1", self.desk.reducer.endpoints.records)

    def test_a_long_line_tells_of_the_first_and_how_many_more(self):
        desk = Desk([])
        desk.now += 1
        effects = desk.reducer.apply(
            desk.now,
            EndpointsUpdated(
                {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [entry(f"b{n}") for n in range(NAMED + 5)],
                }
            ),
        )
        fields = next(
            effect.fields
            for effect in effects
            if isinstance(effect, LogEvent) and effect.event == "endpoints_updated"
        )
        self.assertEqual((len(fields["changed"]), fields["more"]), (NAMED, 5))


class Unwalked(dict):
    """One that nothing goes through."""

    def refuse(self):
        raise AssertionError("all were gone through")

    __iter__ = keys = values = items = refuse


class HeardAtSize(unittest.TestCase):
    """What is heard costs with what has changed, through the reducer."""

    def desk(self, count):
        desk = Desk([], node_count=720)
        self.tell(desk, [entry(f"b{n}") for n in range(count)])
        return desk

    def tell(self, desk, endpoints, whole=True):
        desk.reducer.apply(
            desk.reducer.step.now + 1,
            EndpointsUpdated({"index": 1, "snapshot": whole, "endpoints": endpoints}),
        )

    def test_one_change_does_not_go_through_all(self):
        """Looked through at each change for what to forget, all cost more than the change itself."""
        desk = self.desk(30)
        desk.reducer.endpoints.records = Unwalked(desk.reducer.endpoints.records)
        for state in ("DRAINING", "DELETED", "SERVING"):
            self.tell(desk, [entry("b7", state)], False)
        self.assertEqual(len(desk.reducer.balancers.current.rotation.by_rank), 30)

    def test_the_whole_again_costs_little_of_the_first(self):
        endpoints = [entry(f"b{n}") for n in range(4000)]
        desk = self.desk(4000)
        first, again = least(
            lambda: partial(self.tell, Desk([], node_count=720), endpoints),
            lambda: lambda: self.tell(desk, endpoints),
            lambda first, again: 3 * again < first,
        )
        self.assertLess(3 * again, first, f"{again * 1000:.1f} ms, the first {first * 1000:.1f} ms")
