"""Many nodes together: forty balancers on one manual clock, and counts over logs."""

import json
import pathlib
import subprocess
import sys
import tempfile

from pierglade.balancer.balancer import Balancer
from pierglade.model.decision import CheckHealth, PollEndpoints
from pierglade.model.endpoint import EjectionReason, EndpointState
from pierglade.tenants.registry import TenantRegistry
from tests.support.scene import MS, TraceTest, balancer_settings, listed

COUNT = pathlib.Path(__file__).parents[2] / "experiments" / "fleet" / "count.py"


class Counts(TraceTest):
    def test_counts_are_summed_over_nodes_and_unreadable_logs_are_errors(self):
        """Counting fails with a message if there are no logs, or if a log has a truncated line."""
        logs = {
            "n0": [
                (0, "started", {}),
                (1000, "counters", {"attempts": 4, "health_checks": 1}),
                (1200, "endpoints_updated", {"changed": [["b1", "removed"]]}),
                (1300, "attempt_failed", {"backend": "b1"}),
                (2000, "counters", {"attempts": 2, "discovery_losses": 1}),
            ],
            "n1": [
                (10, "started", {}),
                (1010, "counters", {"attempts": 3, "connections_opened": 5}),
                (1300, "attempt_failed", {"backend": "b1"}),
                (1900, "endpoints_updated", {"changed": [["b1", "removed"]]}),
                (2500, "started", {}),
            ],
        }
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            folder_path = pathlib.Path(folder)

            def count(*arguments):
                process = subprocess.run(
                    [sys.executable, COUNT, *arguments], capture_output=True, text=True
                )
                output = (
                    (process.stdout + process.stderr)
                    .replace(folder, "FOLDER")
                    .replace(str(COUNT), "count.py")
                )
                lines.extend([*output.splitlines(), f"exit {process.returncode}"])

            count(folder)
            for node, events in logs.items():
                log_lines = [
                    json.dumps({"at_ms": 5e6 + at, "node": node, "event": event, **fields})
                    for at, event, fields in events
                ]
                log_lines[0] = "output of a shell\n0.01 " + log_lines[0]
                (folder_path / f"{node}.log").write_text("\n".join(log_lines))
            count(folder)
            (folder_path / "n2.log").write_text('{"at_ms": 5, "event"')
            count(folder)
        count()
        self.check("fleet_counts", lines)


class Together(TraceTest):
    """Forty nodes with sixty backends; the traces show sums over all nodes."""

    def nodes(self, **changed):
        self.begin = self.now = 10000 * MS
        nodes = [
            Balancer(
                f"seed {n}",
                balancer_settings(
                    node_number=n,
                    node_count=40,
                    tenants=TenantRegistry({"north": 1200.0}),
                    **changed,
                ),
                self.now,
            )
            for n in range(40)
        ]
        self.update_endpoints(nodes, [listed(f"b{number}") for number in range(60)], True)
        return nodes

    def update_endpoints(self, nodes, entries, is_snapshot=False):
        for node in nodes:
            node.endpoints_updated(self.now, entries, is_snapshot)

    def run_for(self, nodes, ms, carry_out):
        """Advances the clock; returns what `carry_out` counted of the decisions of each second."""
        end, seconds = self.now + ms * MS, [0] * (ms // 1000)
        while (wake := min((node.next_wakeup(self.now) or end, n) for n, node in enumerate(nodes)))[
            0
        ] < end:
            self.now, node = wake[0], nodes[wake[1]]
            while (decision := node.next_decision(self.now)) is not None:
                seconds[(self.now - self.begin) // (1000 * MS)] += carry_out(node, decision) or 0
        return " ".join(map(str, seconds))

    def test_polls_of_discovery_are_spread_after_all_nodes_lost_it(self):
        """Guards against overloading discovery after an outage.

        When each of forty nodes retried after 0.5 to 4 s, a discovery that served three polls a
        second never emptied its queue, and no node received a change.
        """
        nodes = self.nodes(polls_endpoints=True)

        def refuse(node, decision):
            node.discovery_lost(self.now)
            return type(decision) is PollEndpoints

        for node in nodes:
            self.assertEqual(node.next_decision(self.now), PollEndpoints())
            node.discovery_lost(self.now)
        self.check("fleet_calls", ["polls in each second: " + self.run_for(nodes, 60000, refuse)])

    def test_subsets_cover_backends_evenly(self):
        """Guards against uneven subsets and against needless changes of them.

        With random subsets, some backends were in two thirds more subsets than the mean; when the
        subsets were rebalanced at each change of the list, those of a third of the nodes changed
        each time.
        """
        nodes, lines, before = self.nodes(), [], [set()] * 40
        # Six in ten backends are replaced within 7 s; then the list stays as it is.
        for n in range(-1, 76):
            if 0 <= n < 36:
                self.now += 200 * MS
                self.update_endpoints(
                    nodes, [listed(f"c{n}"), listed(f"b{n}", EndpointState.REMOVED)]
                )
            elif n >= 36:
                self.now += 5000 * MS
                self.update_endpoints(nodes, [])
            if n in (-1, 11, 23, 35, 75):
                subsets = [
                    {node.endpoints.names[index] for index in node.rotation.subset}
                    for node in nodes
                ]
                node_counts = [
                    sum(nodes[0].endpoints.names[index] in subset for subset in subsets)
                    for index in nodes[0].rotation.by_rank
                ]
                added = sum(len(subset - old) for subset, old in zip(subsets, before))
                lines.append(
                    f"{self.now / MS - 10000:8.1f}  {min(node_counts)} to {max(node_counts)} nodes "
                    f"use each of {len(node_counts)} backends, {added} added to subsets"
                )
                before = subsets
        self.check("fleet_views", lines)

    def test_health_checks_of_a_dead_backend_are_bounded(self):
        """Each node probes a backend that it ejected.

        The backend must not be probed by all nodes at once, and its recovery must be noticed soon.
        """
        using_nodes, recovered_after = (
            [node for node in self.nodes() if node.endpoints.index["b7"] in node.rotation.subset],
            {},
        )
        for node in using_nodes:
            node.outliers.eject(node.endpoints.index["b7"], EjectionReason.FAILING, self.now)

        def probe(node, decision):
            since_recovery = self.now - self.begin - 10000 * MS
            node.health_checked(self.now, "b7", since_recovery > 0, 5)
            if since_recovery > 0:
                recovered_after.setdefault(node, since_recovery)
            return type(decision) is CheckHealth

        rates = self.run_for(using_nodes, 16000, probe)
        last = max(recovered_after.values()) / 10000
        self.check(
            "fleet_dead",
            [
                f"{len(using_nodes)} nodes use it; probes in each second: {rates}",
                f"{len(recovered_after)} noticed its recovery, the last one after {last:.1f} s",
            ],
        )

    def test_slow_start_limits_the_load_from_all_nodes_together(self):
        """Guards against idle cores and against collapse of backends in slow start.

        Limited to half the usual rate until warm, the six in ten backends that were replaced had
        idle cores. A backend that all nodes together send more than three times its capacity for 2 s
        collapses.
        """
        nodes, lines = self.nodes(slow_start_capacity=0.36, slow_start_overload=3.0), []
        self.update_endpoints(nodes, [listed("cold", started=self.now)])
        using_nodes = [
            node for node in nodes if node.endpoints.index["cold"] in node.rotation.subset
        ]
        warm_rate = (
            nodes[0].slow_start.warm_rate * nodes[0].endpoints.size[0] * 10000 * len(using_nodes)
        )
        for second in range(8):  # Each node sends all that it may, as if requests always waited.
            sent = 0
            for self.now in range(
                self.begin + second * 10000, self.begin + (second + 1) * 10000, MS
            ):
                for node in using_nodes:
                    cold = node.endpoints.index["cold"]
                    if node.slow_start.allows(
                        cold,
                        self.now,
                        node.endpoints.size[cold],
                        len(node.rotation.by_rank),
                        len(node.rotation.subset),
                    ):
                        node.slow_start.attempt_sent(cold, self.now)
                        sent += 1
            capacity = 0.36 + 0.64 * second / 8
            lines.append(
                f"second {second}: {sent} sent by {len(using_nodes)} nodes, capacity {capacity:.2f} of "
                f"{warm_rate:.0f} when warm, collapses at {3 * capacity * warm_rate:.0f}"
            )
        self.check("together_cold", lines)
