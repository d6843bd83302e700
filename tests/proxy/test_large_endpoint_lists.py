"""Tests of endpoint lists with thousands of backends: CPU time of updates, and reuse of indices."""

import gc
import time
import unittest
from functools import partial

from pierglade.balancer.balancer import Balancer
from pierglade.balancer.endpoint_stats import INDEX_REUSE_RATIO
from pierglade.model.endpoint import EndpointState
from pierglade.proxy.state.effects import LogEvent
from pierglade.proxy.state.endpoints import MAX_LOGGED_NAMES
from pierglade.proxy.state.events import ConfigurationLoaded, EndpointsUpdated
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import (
    MS,
    BalancerHarness,
    StateMachineHarness,
    balancer_settings,
    entry,
    listed,
)

HARD_LIMIT = 1000  # ms; the longest of the request classes in `Scene`
# Time after which the index of a removed backend is reused.
REUSE_DELAY_MS = INDEX_REUSE_RATIO * HARD_LIMIT + 1


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


def min_cpu_seconds(one, other, is_sufficient):
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
        small_s, large_s = min_cpu_seconds(
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
    def balancer_harness(self, count=3, **changed):
        balancer_harness = BalancerHarness([f"b{n}" for n in range(count)], **changed)
        return balancer_harness, balancer_harness.node

    def test_index_is_reused_after_the_delay_and_not_before(self):
        balancer_harness, node = self.balancer_harness()
        old = node.endpoints.index["b1"]
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        balancer_harness.after(REUSE_DELAY_MS - 1)
        balancer_harness.list(["c0"])
        self.assertEqual((node.endpoints.index["c0"], len(node.endpoints.names)), (3, 4))
        balancer_harness.after(1)
        balancer_harness.list(["c1"])
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
        balancer_harness, node = self.balancer_harness()
        old = node.endpoints.index["b1"]
        for state in (
            EndpointState.REMOVED,
            EndpointState.READY,
            EndpointState.DRAINING,
            EndpointState.REMOVED,
            EndpointState.READY,
        ):
            balancer_harness.list([listed("b1", state)])
        balancer_harness.after(REUSE_DELAY_MS)
        balancer_harness.list(["c0"])
        self.assertEqual(
            (node.endpoints.index["b1"], node.endpoints.index["c0"], len(node.endpoints.removed)),
            (old, 3, 0),
        )

    def test_draining_backend_keeps_its_index(self):
        balancer_harness, node = self.balancer_harness()
        balancer_harness.list([listed("b1", EndpointState.DRAINING)])
        balancer_harness.after(REUSE_DELAY_MS)
        balancer_harness.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_each_removal_restarts_the_delay(self):
        balancer_harness, node = self.balancer_harness()
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        balancer_harness.after(REUSE_DELAY_MS - 1)
        balancer_harness.list(["b1"])
        balancer_harness.list([listed("b1", EndpointState.REMOVED)])
        balancer_harness.after(1)
        balancer_harness.list(["c0"])
        self.assertEqual(node.endpoints.index["c0"], 3)

    def test_index_with_an_attempt_in_flight_is_not_reused(self):
        """Guards against recording the outcome of an attempt for another backend with the same index.

        The index of a backend that was removed later is reused nevertheless.
        """
        balancer_harness, node = self.balancer_harness(2)
        request = balancer_harness.take("i0", request_class=2, left=100000)
        backend = request.attempts[0].backend
        balancer_harness.list([listed(node.endpoints.names[backend], EndpointState.REMOVED)])
        balancer_harness.list([listed(node.endpoints.names[1 - backend], EndpointState.REMOVED)])
        balancer_harness.after(REUSE_DELAY_MS)
        balancer_harness.list(["c0", "c1"])
        self.assertEqual((node.endpoints.index["c0"], node.endpoints.index["c1"]), (1 - backend, 2))
        balancer_harness.end("i0")
        balancer_harness.list(["c2"])
        self.assertEqual(node.endpoints.index["c2"], backend)

    def test_many_new_backends_reuse_indices(self):
        balancer_harness, node = self.balancer_harness(300)
        balancer_harness.list([], whole=True)
        balancer_harness.after(REUSE_DELAY_MS)
        balancer_harness.list([f"c{n}" for n in range(400)], whole=True)
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
        balancer_harness, node = self.balancer_harness(300)
        balancer_harness.list([f"b{n}" for n in range(150, 450)], whole=True)
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
        balancer_harness = BalancerHarness(["b0", "b1", "b2"])
        balancer_harness.flow(60)
        node = balancer_harness.node
        self.assertEqual(sum(map(len, node.pause_forecast.samples)), 60)
        self.assertEqual(
            [sums[1] for sums in node.pause_forecast.sums],
            [sum(times) for times in node.pause_forecast.samples],
        )
        balancer_harness.list([listed("b0", started=balancer_harness.now)])
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
        self.harness = StateMachineHarness([f"b{n}" for n in range(5)])
        self.recorder = EndpointRecorder(self.harness.state_machine.balancers.current)

    def update(self, names, *more):
        self.harness.update_endpoints([*map(entry, names), *more], index=2)
        return self.recorder.entries[-1]

    def test_unchanged_list(self):
        lines = len(self.harness.lines)
        self.assertEqual(self.update(["b0", "b1", "b2", "b3", "b4"]), [])
        self.assertEqual(
            (len(self.harness.lines), self.harness.state_machine.endpoints.version), (lines, 2)
        )

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
                backend = self.harness.state_machine.endpoints.records["b4"]
                self.assertEqual(
                    (
                        backend.entry.zone,
                        backend.entry.cell,
                        backend.entry.weight,
                        backend.started,
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
        self.assertEqual(len(self.harness.state_machine.balancers.current.rotation.by_rank), 5)
        self.assertEqual(len(self.harness.state_machine.endpoints.removed), 0)

    def test_last_of_two_entries_with_a_name_is_applied(self):
        for entries in (
            (entry("b4", "DRAINING"), entry("b4")),
            (entry("b4"), entry("b4", "DRAINING")),
        ):
            self.setUp()
            self.update(["b0", "b1", "b2", "b3"], *entries)
            backend = self.harness.state_machine.endpoints.records["b4"]
            ready = entries[1]["status"] == "SERVING"
            self.assertEqual(
                backend.state, EndpointState.READY if ready else EndpointState.DRAINING
            )
            self.assertEqual(
                len(self.harness.state_machine.balancers.current.rotation.by_rank),
                5 if ready else 4,
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
                self.harness.update_endpoints(
                    [entry("b0", "DRAINING"), entry("b1"), invalid], index=2
                )
                self.assertEqual(self.recorder.entries, [])
                self.assertEqual(
                    {
                        record.state
                        for record in self.harness.state_machine.endpoints.records.values()
                    },
                    {EndpointState.READY},
                )
                self.assertIsNone(self.harness.state_machine.endpoints.version)

    def test_earlier_balancer_receives_updates_too(self):
        self.harness.send_request("c0")
        older = self.harness.state_machine.balancers.current
        self.harness.handle_event(
            ConfigurationLoaded("", {"settings": "others"}, balancer_settings(max_retry_after=7))
        )
        self.assertEqual(self.harness.state_machine.balancers.earlier, [older])
        self.recorder = EndpointRecorder(self.harness.state_machine.balancers.current)
        self.update(["b0", "b1", "b2", "b3"])
        self.assertEqual(
            [older.endpoints.state[older.endpoints.index["b4"]], len(older.rotation.by_rank)],
            [EndpointState.REMOVED, 4],
        )
        self.assertEqual(self.update(["b0", "b1", "b2", "b3", "b4"]), [("b4", EndpointState.READY)])
        self.assertEqual(len(older.rotation.by_rank), 5)

    def test_removed_backend_is_dropped_after_the_delay_unless_connected(self):
        state_machine = self.harness.state_machine
        names = ["b0", "b1", "b2", "b3"]
        self.harness.update_endpoints(
            [entry(name, "DRAINING") for name in names], index=2, whole=False
        )
        self.harness.update_endpoints(
            [entry(name, "DELETED") for name in names[1:]], index=3, whole=False
        )
        state_machine.endpoints.records["b1"].open_connections = 1
        self.harness.now += (REUSE_DELAY_MS - 1) * MS
        self.harness.update_endpoints(["c1"], index=4, whole=False)
        self.assertEqual(set(state_machine.endpoints.records), {"b0", "b1", "b2", "b3", "b4", "c1"})
        self.harness.now += 1
        self.harness.update_endpoints(["c2"], index=5, whole=False)
        self.assertEqual(set(state_machine.endpoints.records), {"b0", "b1", "b4", "c1", "c2"})
        self.assertEqual(list(state_machine.endpoints.removed), ["b1"])
        state_machine.endpoints.records["b1"].open_connections = 0
        self.harness.update_endpoints(["c3"], index=6, whole=False)
        self.assertEqual(set(state_machine.endpoints.records), {"b0", "b4", "c1", "c2", "c3"})

    def test_returned_backend_is_not_dropped(self):
        for state in ("DELETED", "SERVING"):
            self.harness.update_endpoints([entry("b1", state)], index=2, whole=False)
        self.harness.now += REUSE_DELAY_MS * MS
        self.harness.update_endpoints(["c1"], index=3, whole=False)
        self.assertIn("b1", self.harness.state_machine.endpoints.records)

    def test_log_line_names_first_changes_and_counts_the_rest(self):
        harness = StateMachineHarness([])
        harness.now += 1
        effects = harness.state_machine.apply(
            harness.now,
            EndpointsUpdated(
                {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [entry(f"b{n}") for n in range(MAX_LOGGED_NAMES + 5)],
                }
            ),
        )
        fields = next(
            effect.fields
            for effect in effects
            if isinstance(effect, LogEvent) and effect.event == "endpoints_updated"
        )
        self.assertEqual((len(fields["changed"]), fields["more"]), (MAX_LOGGED_NAMES, 5))


class NoIteration(dict):
    """A dict that must not be iterated over."""

    def fail(self):
        raise AssertionError("all entries of the dict were iterated over")

    __iter__ = keys = values = items = fail


class UpdateCost(unittest.TestCase):
    """Guards against updates whose CPU time grows with the size of the list, in the state machine."""

    def harness(self, count):
        harness = StateMachineHarness([], node_count=720)
        self.handle_event(harness, [entry(f"b{n}") for n in range(count)])
        return harness

    def handle_event(self, harness, endpoints, whole=True):
        harness.state_machine.apply(
            harness.state_machine.step.now + 1,
            EndpointsUpdated({"index": 1, "snapshot": whole, "endpoints": endpoints}),
        )

    def test_single_change_does_not_iterate_over_all_backends(self):
        """Guards against a search through all backends for removed ones at each change.

        The search would take more CPU time than the change itself.
        """
        harness = self.harness(30)
        harness.state_machine.endpoints.records = NoIteration(
            harness.state_machine.endpoints.records
        )
        for state in ("DRAINING", "DELETED", "SERVING"):
            self.handle_event(harness, [entry("b7", state)], False)
        self.assertEqual(len(harness.state_machine.balancers.current.rotation.by_rank), 30)

    def test_unchanged_list_is_cheaper_than_the_first(self):
        endpoints = [entry(f"b{n}") for n in range(4000)]
        harness = self.harness(4000)
        first_s, second_s = min_cpu_seconds(
            lambda: partial(self.handle_event, StateMachineHarness([], node_count=720), endpoints),
            lambda: lambda: self.handle_event(harness, endpoints),
            lambda first_s, second_s: 3 * second_s < first_s,
        )
        self.assertLess(
            3 * second_s, first_s, f"{second_s * 1000:.1f} ms, the first {first_s * 1000:.1f} ms"
        )
