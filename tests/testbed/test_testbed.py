"""What many nodes do together: forty sets of decisions on one hand-moved clock, and counts over logs."""

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
    def test_added_up_over_nodes_and_nothing_guessed_from_what_cannot_be_read(self):
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
            place = pathlib.Path(folder)

            def count(*arguments):
                ran = subprocess.run(
                    [sys.executable, COUNT, *arguments], capture_output=True, text=True
                )
                said = (
                    (ran.stdout + ran.stderr)
                    .replace(folder, "FOLDER")
                    .replace(str(COUNT), "count.py")
                )
                lines.extend([*said.splitlines(), f"exit {ran.returncode}"])

            count(folder)
            for node, told in logs.items():
                text = [
                    json.dumps({"at_ms": 5e6 + at, "node": node, "event": event, **fields})
                    for at, event, fields in told
                ]
                text[0] = "a shell's word\n0.01 " + text[0]
                (place / f"{node}.log").write_text("\n".join(text))
            count(folder)
            (place / "n2.log").write_text('{"at_ms": 5, "event"')
            count(folder)
        count()
        self.check("fleet_counts", lines)


class Together(TraceTest):
    """Forty nodes and sixty backends; what is printed is the sum over all nodes."""

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
        self.tell(nodes, [listed(f"b{b}") for b in range(60)], True)
        return nodes

    def tell(self, nodes, entries, whole=False):
        for node in nodes:
            node.endpoints_updated(self.now, entries, whole)

    def run_for(self, nodes, ms, carry):
        """Moves the clock on, and counts what is carried out in each second."""
        end, seconds = self.now + ms * MS, [0] * (ms // 1000)
        while (wake := min((node.next_wakeup(self.now) or end, n) for n, node in enumerate(nodes)))[
            0
        ] < end:
            self.now, node = wake[0], nodes[wake[1]]
            while (decision := node.next_decision(self.now)) is not None:
                seconds[(self.now - self.begin) // (1000 * MS)] += carry(node, decision) or 0
        return " ".join(map(str, seconds))

    def test_calls_to_discovery_that_is_lost_to_all_at_once(self):
        """Asked again after 0.5 to 4 s by each of forty nodes, a discovery that serves three calls a second
        never got to the end of its queue, and no node heard a change."""
        nodes = self.nodes(polls_endpoints=True)

        def refuse(node, decision):
            node.discovery_lost(self.now)
            return type(decision) is PollEndpoints

        for node in nodes:
            self.assertEqual(node.next_decision(self.now), PollEndpoints())
            node.discovery_lost(self.now)
        self.check("fleet_calls", ["calls in each second: " + self.run_for(nodes, 60000, refuse)])

    def test_views_go_evenly_round(self):
        """Drawn by chance, some backends were in two thirds more views than the mean; evened at each change
        of the list, the views of a third of the nodes moved with each."""
        nodes, lines, before = self.nodes(), [], [set()] * 40
        for n in range(
            -1, 76
        ):  # Six in ten backends are replaced within 7 s; then nothing happens.
            if 0 <= n < 36:
                self.now += 200 * MS
                self.tell(nodes, [listed(f"c{n}"), listed(f"b{n}", EndpointState.REMOVED)])
            elif n >= 36:
                self.now += 5000 * MS
                self.tell(nodes, [])
            if n in (-1, 11, 23, 35, 75):
                held = [{node.endpoints.names[b] for b in node.rotation.subset} for node in nodes]
                seen = [
                    sum(nodes[0].endpoints.names[b] in view for view in held)
                    for b in nodes[0].rotation.by_rank
                ]
                moved = sum(len(view - old) for view, old in zip(held, before))
                lines.append(
                    f"{self.now / MS - 10000:8.1f}  {min(seen)} to {max(seen)} nodes see each of "
                    f"{len(seen)} backends, {moved} new in views"
                )
                before = held
        self.check("fleet_views", lines)

    def test_a_dead_backend_is_not_asked_by_all_at_once(self):
        """Each node probes what it lost; the rate that the backend sees is bounded, and it is found soon."""
        seers, found = (
            [node for node in self.nodes() if node.endpoints.index["b7"] in node.rotation.subset],
            {},
        )
        for node in seers:
            node.outliers.eject(node.endpoints.index["b7"], EjectionReason.FAILING, self.now)

        def probe(node, decision):
            away = self.now - self.begin - 10000 * MS
            node.health_checked(self.now, "b7", away > 0, 5)
            if away > 0:
                found.setdefault(node, away)
            return type(decision) is CheckHealth

        rates = self.run_for(seers, 16000, probe)
        last = max(found.values()) / 10000
        self.check(
            "fleet_dead",
            [
                f"{len(seers)} nodes see it; probes in each second: {rates}",
                f"{len(found)} found it back, the last {last:.1f} s after",
            ],
        )

    def test_a_cold_backend_gets_what_it_can_from_all_together(self):
        """Held to half the usual pace until warm, six in ten backends that were replaced had idle cores; over
        three times what it can do for 2 s, by all nodes together, one falls over."""
        nodes, lines = self.nodes(slow_start_capacity=0.36, slow_start_overload=3.0), []
        self.tell(nodes, [listed("cold", started=self.now)])
        seers = [node for node in nodes if node.endpoints.index["cold"] in node.rotation.subset]
        warm = nodes[0].slow_start.warm_rate * nodes[0].endpoints.size[0] * 10000 * len(seers)
        for second in range(8):  # Each sends all that it may, as with work waiting all the time.
            sent = 0
            for self.now in range(
                self.begin + second * 10000, self.begin + (second + 1) * 10000, MS
            ):
                for node in seers:
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
            can = 0.36 + 0.64 * second / 8
            lines.append(
                f"second {second}: {sent} sent by {len(seers)} nodes, it can do {can:.2f} of a warm "
                f"one's {warm:.0f}, and falls over at {3 * can * warm:.0f}"
            )
        self.check("together_cold", lines)
