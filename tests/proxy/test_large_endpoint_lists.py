"""Tests of endpoint lists with thousands of backends: CPU time of updates, and reuse of indices."""

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

HARD_LIMIT = 1000  # ms; the longest of the request classes in `Scene`
# Time after which the index of a removed backend is reused.
REUSE_DELAY_MS = REUSE_AFTER * HARD_LIMIT + 1


def fleet(first, count):
    return [listed(f"b{n}", zone=f"z{n % 10}") for n in range(first, first + count)]


def cpu_seconds(prepare):
    """Returns the CPU time of the call that `prepare` returns, without garbage collections.

    Collections would fall into long calls rather than short ones.
    """
    call = prepare()
    gc.disable()
    try:
        began = time.process_time()
        call()
        return time.process_time() - began
    finally:
        gc.enable()


def least(one, other, is_sufficient):
    """Returns the minimum CPU time of each, measured alternately until `is_sufficient` holds for both.

    A busy machine may lengthen single measurements, but not all of them.
    """
    times = []
    while len(times) < 3 or len(times) < 15 and not is_sufficient(*map(min, zip(*times))):
        times.append((cpu_seconds(one), cpu_seconds(other)))
    return map(min, zip(*times))


class Cost(unittest.TestCase):
    """Guards against quadratic CPU time of list updates.

    Four times the backends must take less than eight times the CPU time; quadratic, it is sixteen times.
    """

    def check(self, call):
        small_s, large_s = least(
            lambda: call(1000), lambda: call(4000), lambda small_s, large_s: large_s < 8 * small_s
        )
        self.assertLess(
            large_s,
            8 * small_s,
            f"{small_s * 1000:.1f} ms for 1000, {large_s * 1000:.1f} ms for 4000",
        )

    def node(self, count):
        node = Balancer(4, balancer_settings(node_count=720), 0)
        node.endpoints_updated(0, fleet(0, count), True)
        return node

    def test_initial_list(self):
        def initial_list(count):
            node, entries = Balancer(4, balancer_settings(node_count=720), 0), fleet(0, count)
            return lambda: node.endpoints_updated(0, entries, True)

        self.check(initial_list)

    def test_half_of_the_list_replaced(self):
        def replaced(count):
            node, entries = self.node(count), fleet(count // 2, count)
            return lambda: node.endpoints_updated(1, entries, True)

        self.check(replaced)

    def test_new_list_after_all_indices_became_free(self):
        def all_new(count):
            node, entries = self.node(count), fleet(count, count)
            node.endpoints_updated(1, [], True)
            return lambda: node.endpoints_updated(1 + REUSE_DELAY_MS * MS, entries, True)

        self.check(all_new)

    def test_all_in_view_and_one_leaves(self):
        """Guards against a search of the whole new rotation for each backend of the old one."""

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


class IndexReuse(unittest.TestCase):
    def scene(self, count=3, **changed):
        scene = Scene([f"b{n}" for n in range(count)], **changed)
        return scene, scene.node

    def test_index_is_reused_after_the_delay_and_not_before(self):
        scene, node = self.scene()
        old = node.endpoints.index["b1"]
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(REUSE_DELAY_MS - 1)
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
            sorted(node.endpoints.names[index] for index in node.rotation.subset),
            ["b0", "b2", "c0", "c1"],
        )

    def test_returned_backend_keeps_its_index(self):
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
        scene.after(REUSE_DELAY_MS)
        scene.list(["c0"])
        self.assertEqual(
            (node.endpoints.index["b1"], node.endpoints.index["c0"], len(node.endpoints.removed)),
            (old, 3, 0),
        )

    def test_draining_backend_keeps_its_index(self):
        scene, node = self.scene()
        scene.list([listed("b1", EndpointState.DRAINING)])
        scene.after(REUSE_DELAY_MS)
        scene.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_each_removal_restarts_the_delay(self):
        scene, node = self.scene()
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(REUSE_DELAY_MS - 1)
        scene.list(["b1"])
        scene.list([listed("b1", EndpointState.REMOVED)])
        scene.after(1)
        scene.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_index_with_an_attempt_in_flight_is_not_reused(self):
        """Guards against recording the outcome of an attempt for another backend with the same index.

        The index of a backend that was removed later is reused nevertheless.
        """
        scene, node = self.scene(2)
        request = scene.take("i0", request_class=2, left=100000)
        backend = request.attempts[0].backend
        scene.list([listed(node.endpoints.names[backend], EndpointState.REMOVED)])
        scene.list([listed(node.endpoints.names[1 - backend], EndpointState.REMOVED)])
        scene.after(REUSE_DELAY_MS)
        scene.list(["c0", "c1"])
        self.assertEqual((node.endpoints.index["c0"], node.endpoints.index["c1"]), (1 - backend, 2))
        scene.end("i0")
        scene.list(["c2"])
        self.assertEqual(node.endpoints.index["c2"], backend)

    def test_many_new_backends_reuse_indices(self):
        scene, node = self.scene(300)
        scene.list([], whole=True)
        scene.after(REUSE_DELAY_MS)
        scene.list([f"c{n}" for n in range(400)], whole=True)
        self.assertEqual(
            (len(node.endpoints.names), len(node.rotation.by_rank), len(node.endpoints.index)),
            (400, 400, 400),
        )
        self.assertEqual(sorted(node.endpoints.index.values()), list(range(400)))
        self.assertEqual(len(node.endpoints.removed), 0)
        self.assertEqual(
            [node.endpoints.rank[index] for index in node.rotation.by_rank],
            sorted(node.endpoints.rank),
        )

    def test_rotation_keeps_its_order_when_half_is_replaced(self):
        scene, node = self.scene(300)
        scene.list([f"b{n}" for n in range(150, 450)], whole=True)
        self.assertEqual(
            sorted(node.endpoints.names[index] for index in node.rotation.by_rank),
            sorted(f"b{n}" for n in range(150, 450)),
        )
        ranks = [node.endpoints.rank[index] for index in node.rotation.by_rank]
        self.assertEqual(ranks, sorted(ranks))


class SharedHistory(unittest.TestCase):
    def test_backends_without_requests_share_empty_histories(self):
        node = Balancer(4, balancer_settings(node_count=720), 0)
        node.endpoints_updated(0, fleet(0, 300), True)
        for name in ("samples", "pauses", "sums"):
            self.assertEqual(
                len({id(history) for history in getattr(node.pause_forecast, name)}), 1, name
            )

    def test_backends_with_requests_have_their_own_histories(self):
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


class EndpointRecorder:
    """Replaces `endpoints_updated` of a balancer; records the entries and passes them on."""

    def __init__(self, node):
        self.entries, self.next = [], node.endpoints_updated
        node.endpoints_updated = self

    def __call__(self, now, entries, whole):
        self.entries.append([(e.name, e.state) for e in entries])
        self.next(now, entries, whole)


class RepeatedFullList(unittest.TestCase):
    """Guards against applying unchanged entries of a whole list that is received again.

    Discovery sends the whole list again after its restart; only differences are applied.
    """

    def setUp(self):
        self.desk = Desk([f"b{n}" for n in range(5)])
        self.recorder = EndpointRecorder(self.desk.reducer.balancers.current)

    def update(self, names, *more):
        self.desk.hear([*map(entry, names), *more], index=2)
        return self.recorder.entries[-1]

    def test_unchanged_list(self):
        lines = len(self.desk.lines)
        self.assertEqual(self.update(["b0", "b1", "b2", "b3", "b4"]), [])
        self.assertEqual((len(self.desk.lines), self.desk.reducer.endpoints.version), (lines, 2))

    def test_each_difference_is_applied(self):
        for overrides in (
            dict(zone="west"),
            dict(group=3),
            dict(weight=2.0),
            dict(since_ms=5),
            dict(address="127.0.0.1:9990"),
            dict(status="DRAINING"),
        ):
            with self.subTest(overrides):
                self.setUp()
                updates = self.update(["b0", "b1", "b2", "b3"], {**entry("b4"), **overrides})
                self.assertEqual(
                    updates,
                    [
                        (
                            "b4",
                            EndpointState.DRAINING
                            if "status" in overrides
                            else EndpointState.READY,
                        )
                    ],
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
                        overrides.get("zone", "east"),
                        overrides.get("group", 0),
                        overrides.get("weight", 1.0),
                        overrides.get("since_ms", 0) * 10,
                        overrides.get("address", "127.0.0.1:9004"),
                        EndpointState.DRAINING if "status" in overrides else EndpointState.READY,
                    ),
                )

    def test_backend_is_missing_and_returns(self):
        self.assertEqual(self.update(["b0", "b1", "b2", "b3"]), [("b4", EndpointState.REMOVED)])
        self.assertEqual(self.update(["b0", "b1", "b2", "b3", "b4"]), [("b4", EndpointState.READY)])
        self.assertEqual(len(self.desk.reducer.balancers.current.rotation.by_rank), 5)
        self.assertEqual(len(self.desk.reducer.endpoints.removed), 0)

    def test_last_of_two_entries_with_a_name_is_applied(self):
        for entries in (
            (entry("b4", "DRAINING"), entry("b4")),
            (entry("b4"), entry("b4", "DRAINING")),
        ):
            self.setUp()
            self.update(["b0", "b1", "b2", "b3"], *entries)
            backend = self.desk.reducer.endpoints.records["b4"]
            ready = entries[1]["status"] == "SERVING"
            self.assertEqual(
                backend.state, EndpointState.READY if ready else EndpointState.DRAINING
            )
            self.assertEqual(
                len(self.desk.reducer.balancers.current.rotation.by_rank), 5 if ready else 4
            )

    def test_nothing_of_an_invalid_list_is_applied(self):
        """The invalid entry may follow a valid difference, or differ from the known one in the invalid field only."""
        for invalid in (
            {**entry("b4"), "since_ms": "soon"},
            {**entry("b4"), "status": "UP"},
            {**entry("b4"), "weight": None},
            {**entry("b4"), "address": "nowhere"},
            {"name": "b4"},
            7,
        ):
            with self.subTest(invalid):
                self.setUp()
                self.desk.hear([entry("b0", "DRAINING"), entry("b1"), invalid], index=2)
                self.assertEqual(self.recorder.entries, [])
                self.assertEqual(
                    {record.state for record in self.desk.reducer.endpoints.records.values()},
                    {EndpointState.READY},
                )
                self.assertIsNone(self.desk.reducer.endpoints.version)

    def test_earlier_balancer_receives_updates_too(self):
        self.desk.ask("c0")
        older = self.desk.reducer.balancers.current
        self.desk.tell(
            ConfigurationLoaded("", {"settings": "others"}, balancer_settings(max_retry_after=7))
        )
        self.assertEqual(self.desk.reducer.balancers.earlier, [older])
        self.recorder = EndpointRecorder(self.desk.reducer.balancers.current)
        self.update(["b0", "b1", "b2", "b3"])
        self.assertEqual(
            [older.endpoints.state[older.endpoints.index["b4"]], len(older.rotation.by_rank)],
            [EndpointState.REMOVED, 4],
        )
        self.assertEqual(self.update(["b0", "b1", "b2", "b3", "b4"]), [("b4", EndpointState.READY)])
        self.assertEqual(len(older.rotation.by_rank), 5)

    def test_removed_backend_is_dropped_after_the_delay_unless_connected(self):
        reducer = self.desk.reducer
        names = ["b0", "b1", "b2", "b3"]
        self.desk.hear([entry(name, "DRAINING") for name in names], index=2, whole=False)
        self.desk.hear([entry(name, "DELETED") for name in names[1:]], index=3, whole=False)
        reducer.endpoints.records["b1"].links = 1
        self.desk.now += (REUSE_DELAY_MS - 1) * MS
        self.desk.hear(["c1"], index=4, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b1", "b2", "b3", "b4", "c1"})
        self.desk.now += 1
        self.desk.hear(["c2"], index=5, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b1", "b4", "c1", "c2"})
        self.assertEqual(list(reducer.endpoints.removed), ["b1"])
        reducer.endpoints.records["b1"].links = 0
        self.desk.hear(["c3"], index=6, whole=False)
        self.assertEqual(set(reducer.endpoints.records), {"b0", "b4", "c1", "c2", "c3"})

    def test_returned_backend_is_not_dropped(self):
        for state in ("DELETED", "SERVING"):
            self.desk.hear([entry("b1", state)], index=2, whole=False)
        self.desk.now += REUSE_DELAY_MS * MS
        self.desk.hear(["c1"], index=3, whole=False)
        self.assertIn("b1", self.desk.reducer.endpoints.records)

    def test_log_line_names_first_changes_and_counts_the_rest(self):
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


class NoIteration(dict):
    """A dict that must not be iterated over."""

    def fail(self):
        raise AssertionError("all entries of the dict were iterated over")

    __iter__ = keys = values = items = fail


class UpdateCost(unittest.TestCase):
    """Guards against updates whose CPU time grows with the size of the list, in the state machine."""

    def desk(self, count):
        desk = Desk([], node_count=720)
        self.tell(desk, [entry(f"b{n}") for n in range(count)])
        return desk

    def tell(self, desk, endpoints, whole=True):
        desk.reducer.apply(
            desk.reducer.step.now + 1,
            EndpointsUpdated({"index": 1, "snapshot": whole, "endpoints": endpoints}),
        )

    def test_single_change_does_not_iterate_over_all_backends(self):
        """Guards against a search through all backends for removed ones at each change.

        The search would take more CPU time than the change itself.
        """
        desk = self.desk(30)
        desk.reducer.endpoints.records = NoIteration(desk.reducer.endpoints.records)
        for state in ("DRAINING", "DELETED", "SERVING"):
            self.tell(desk, [entry("b7", state)], False)
        self.assertEqual(len(desk.reducer.balancers.current.rotation.by_rank), 30)

    def test_unchanged_list_is_cheaper_than_the_first(self):
        endpoints = [entry(f"b{n}") for n in range(4000)]
        desk = self.desk(4000)
        first_s, second_s = least(
            lambda: partial(self.tell, Desk([], node_count=720), endpoints),
            lambda: lambda: self.tell(desk, endpoints),
            lambda first_s, second_s: 3 * second_s < first_s,
        )
        self.assertLess(
            3 * second_s, first_s, f"{second_s * 1000:.1f} ms, the first {first_s * 1000:.1f} ms"
        )
