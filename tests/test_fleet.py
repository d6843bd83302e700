"""What many nodes do together: forty sets of decisions on one hand-moved clock, and counts over logs."""

import json
import pathlib
import subprocess
import sys
import tempfile
from collections import Counter

from pierglade import records as r
from pierglade.choice import Node
from tests.scene import MS, TraceTest, listed, terms

COUNT = pathlib.Path(__file__).parent.parent / "experiments" / "fleet" / "count.py"


class Counts(TraceTest):
    def test_added_up_over_nodes_and_nothing_guessed_from_what_cannot_be_read(self):
        logs = {"n0": [(0, "started", {}), (1000, "counts", {"trips": 4, "probes": 1}),
                       (1200, "list", {"changed": [["b1", "gone"]]}),
                       (1300, "trip lost", {"backend": "b1"}), (2000, "counts", {"trips": 2, "no word": 1})],
                "n1": [(10, "started", {}), (1010, "counts", {"trips": 3, "links opened": 5}),
                       (1300, "trip lost", {"backend": "b1"}), (1900, "list", {"changed": [["b1", "gone"]]}),
                       (2500, "started", {})]}
        lines = []
        with tempfile.TemporaryDirectory() as folder:
            place = pathlib.Path(folder)

            def count(*arguments):
                ran = subprocess.run([sys.executable, COUNT, *arguments], capture_output=True, text=True)
                said = (ran.stdout + ran.stderr).replace(folder, "FOLDER").replace(str(COUNT), "count.py")
                lines.extend([*said.splitlines(), f"exit {ran.returncode}"])

            count(folder)
            for node, told in logs.items():
                text = [json.dumps({"at_ms": 5e6 + at, "node": node, "event": event, **fields})
                        for at, event, fields in told]
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
        known = dict(nodes=40, members=[r.Member("north", 1200.0)], **changed)
        self.now = 10000 * MS
        nodes = [Node(f"seed {n}", terms(number=n, **known), self.now) for n in range(40)]
        for node in nodes:
            node.listed(self.now, [listed(f"b{b}") for b in range(60)], True)
        return nodes

    def run_for(self, nodes, ms, carry):
        """Moves the clock on; carry(node, kind, subject) does what is decided."""
        end = self.now + ms * MS
        while True:
            wake, node = min((node.wake(self.now) or end, n) for n, node in enumerate(nodes))
            if wake >= end:
                break
            self.now = wake
            while (decision := nodes[node].decide(self.now)) is not None:
                carry(nodes[node], *decision)
        self.now = end

    def test_calls_to_discovery_that_is_lost_to_all_at_once(self):
        """Asked again after 0.5 to 4 s by each of forty nodes, a discovery that serves three calls a second
        never got to the end of its queue, and no node heard a change."""
        nodes, calls, begin = self.nodes(asks_list=True), Counter(), 10000 * MS
        for node in nodes:
            while node.decide(self.now) is not None:
                pass
            node.unlisted(self.now)

        def refuse(node, kind, subject):
            if kind is r.ASK:
                calls[(self.now - begin) // (1000 * MS)] += 1
                node.unlisted(self.now)

        self.run_for(nodes, 60000, refuse)
        gaps = " ".join(str(calls[second]) for second in range(60))
        self.check("fleet_calls", [f"calls in each second: {gaps}"])

    def test_views_go_evenly_round(self):
        """Drawn by chance, some backends were in two thirds more views than the mean; evened at each change
        of the list, the views of a third of the nodes moved with each."""
        nodes, lines = self.nodes(), []

        def tell(what, before):
            views = Counter(node.names[b] for node in nodes for b in node.turn)
            moved = sum(len({node.names[b] for b in node.turn} - held) for node, held in zip(nodes, before))
            lines.append(f"{what}: {min(views.values())} to {max(views.values())} nodes see each backend, "
                         f"{moved} new in views")

        def held():
            return [{node.names[b] for b in node.turn} for node in nodes]

        tell("at first", [set()] * 40)
        for n in range(36):     # Six in ten backends are replaced within 7 s.
            before = held() if n % 12 == 0 else before
            self.now += 200 * MS
            for node in nodes:
                node.listed(self.now, [listed(f"c{n}"), listed(f"b{n}", r.GONE)], False)
            if n % 12 == 11:
                tell(f"{n + 1} replaced", before)
        before = held()
        for n in range(40):
            self.now += 5000 * MS
            for node in nodes:
                node.listed(self.now, [], False)
        tell("200 s later", before)
        self.check("fleet_views", lines)

    def test_a_dead_backend_is_not_asked_by_all_at_once(self):
        """Each node probes what it lost; the rate that the backend sees is bounded, and it is found soon."""
        nodes, probes, well, begin = self.nodes(), Counter(), [], 10000 * MS
        seers = [node for node in nodes if node.index["b7"] in node.turn]
        for node in seers:
            node._begin(node.index["b7"], "failing", self.now)

        def probe(node, kind, subject):
            if kind is r.PROBE:
                probes[(self.now - begin) // (1000 * MS)] += 1
                node.probed(self.now, "b7", self.now - begin > 10000 * MS, 5)
                if node.trial_due[subject] and node not in well:
                    well.append(node)
                    probes["last"] = self.now - begin

        self.run_for(seers, 16000, probe)
        rates = " ".join(str(probes[second]) for second in range(16))
        last = probes["last"] / 10000 - 10
        self.check("fleet_dead", [f"{len(seers)} nodes see it; probes in each second: {rates}",
                                  f"{len(well)} found it back, the last {last:.1f} s after"])

    def test_a_cold_backend_gets_what_it_can_from_all_together(self):
        """Held to half the usual pace until warm, six in ten backends that were replaced had idle cores; over
        three times what it can do for 2 s, by all nodes together, one falls over."""
        nodes = self.nodes(cold_from=0.36, tip_multiple=3.0)
        for node in nodes:
            node.listed(self.now, [listed("cold", started=self.now)], False)
        usual = nodes[0].warm_pace * nodes[0].size[0] * 10000
        seers = [node for node in nodes if node.index["cold"] in node.turn]
        lines, begin, sent = [f"{len(seers)} nodes see it"], self.now, Counter()
        warm = usual * len(seers)
        # Each sends all that it is allowed, as with work waiting all the time.
        for step in range(8000):
            self.now = begin + step * MS
            for node in seers:
                cold = node.index["cold"]
                if node._cold_allows(cold, self.now):
                    node.allowance[cold] -= 1
                    sent[step // 1000] += 1
        for second in range(8):
            can = 0.36 + 0.64 * second / 8
            lines.append(f"second {second}: {sent[second]} sent by all, it can do {can:.2f} of a warm one's "
                         f"{warm:.0f}, and falls over at {3 * can * warm:.0f}")
        self.check("together_cold", lines)
