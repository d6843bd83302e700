"""What is counted over the logs of all nodes."""

import json
import pathlib
import subprocess
import sys
import tempfile

from tests.scene import TraceTest

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
                (place / f"{node}.log").write_text("\n".join(["a shell's word", "0.01 " + text[0], *text[1:]]))
            count(folder)
            (place / "n2.log").write_text('{"at_ms": 5, "event"')
            count(folder)
        count()
        self.check("fleet_counts", lines)
