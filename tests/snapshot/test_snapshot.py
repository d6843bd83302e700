"""Snapshots: the format under damage, aging, and the files under disk faults."""

import fcntl
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from types import SimpleNamespace
from unittest import mock

import gevent
import msgspec
from hypothesis import given, settings, strategies

from pierglade.proxy.snapshot_writer import SnapshotSettings, SnapshotWriter
from pierglade.snapshot import aging, schema, store
from tests.support.scene import StateMachineHarness, TraceTest, entry

TICKS_PER_S = 10000
STATISTICS = {
    "level": 3.0,
    "quick": 0.5,
    "mean_pause": 4000,
    "work": 900,
    "pauses": [100, 300, 500, 700],
    "work_due": 1100.0,
    "window": 20,
    "usual": 8.0,
    "usual_of": 12,
}


def make_snapshot(**changes):
    fields = dict(
        node="n1",
        written_at=100 * TICKS_PER_S,
        node_started_at=0,
        request_rate=0.0,
        endpoints_version=7,
        endpoints=[entry("b0")],
        request_classes={
            "look": {
                "expected": 4000,
                "hard_limit": 10000,
                "repeats": "harmless",
                "typical": 900.0,
                "skew": 0.4,
                "hinted": 0.0,
                "answers": 5000,
                "usual_left": 10000,
                "usual_votes": 9,
            }
        },
        backends={"b0": schema.StoredBackend("127.0.0.1:9000", 0, STATISTICS)},
    )
    return schema.Snapshot(**{**fields, **changes})


PLAIN_DATA = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.text(max_size=8)
    | strategies.floats(allow_nan=False),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


class SchemaTest(TraceTest):
    @settings(max_examples=60, deadline=None)
    @given(
        strategies.dictionaries(
            strategies.text(max_size=6), PLAIN_DATA.map(lambda value: {"x": value}), max_size=3
        ),
        strategies.integers(0, 2**50),
        strategies.floats(0, 1e6),
    )
    def test_decode_inverts_encode(self, request_classes, written_at, request_rate):
        snapshot = make_snapshot(
            request_classes=request_classes, written_at=written_at, request_rate=request_rate
        )
        self.assertEqual(schema.decode(schema.encode(snapshot)), snapshot)

    def test_flipped_bytes_and_truncations(self):
        """A snapshot with a flipped bit pattern in any byte, cut at any byte, or extended is rejected."""
        valid = schema.encode(make_snapshot())
        damaged = [valid[:length] for length in range(len(valid))] + [valid + b"x"]
        for index in range(len(valid)):
            damaged += [
                valid[:index] + bytes([valid[index] ^ mask]) + valid[index + 1 :]
                for mask in (1, 128, 255)
            ]
        for data in damaged:
            with self.assertRaises(schema.CorruptSnapshotError):
                schema.decode(data)

    def test_older_and_newer_versions(self):
        """Migrations run one version at a time; a newer version, a missing migration or an invalid body is rejected."""
        data, lines = schema.encode(make_snapshot()), []

        def add_field(raw):
            raw["asked"] = 2.5
            return raw

        def drop_field(raw):
            del raw["node"]
            return raw

        for case, migrations, newest_version in (
            ("two migrations", {1: add_field, 2: lambda raw: raw}, 3),
            ("missing migration", {1: add_field}, 3),
            ("migration to an invalid body", {1: drop_field}, 2),
            ("newer version", {}, 0),
        ):
            try:
                lines.append(
                    f"{case}: request rate {schema.decode(data, migrations, newest_version).request_rate}"
                )
            except schema.CorruptSnapshotError as error:
                lines.append(f"{case}: {error}")
        self.check("learned_versions", lines)


class EarlierBuildsTest(TraceTest):
    """Snapshot files that earlier builds wrote (tests/snapshot/fixtures/README.md)."""

    def test_a_file_of_13653db_is_read_and_restored(self):
        """The file decodes, encodes to the same bytes, and its statistics are restored."""
        path = pathlib.Path(__file__).parent / "fixtures" / "13653db.learned"
        snapshot = store.load(path)
        self.assertEqual(schema.decode(schema.encode(snapshot)), snapshot)
        self.assertEqual(schema.encode(snapshot), path.read_bytes())
        harness = StateMachineHarness(["b0", "b1"])
        harness.state_machine.step.now = snapshot.written_at
        summary = harness.state_machine.snapshot.restore(snapshot, 60 * TICKS_PER_S)
        node = harness.state_machine.balancers.current
        lines = [
            summary,
            f"written {snapshot.written_at} by {snapshot.node}, endpoints version {snapshot.endpoints_version}, "
            f"request rate {snapshot.request_rate}",
        ]
        lines += [
            f"{request_class.name}: typical {row.typical:.6f} of {row.answers}, skew {row.skew:.6f}, "
            f"usual time {row.usual_left}, votes {row.usual_votes}"
            for request_class, row in zip(
                harness.state_machine.balancers.settings.request_classes, node.request_stats.classes
            )
        ]
        for name in ("b0", "b1"):
            backend = node.endpoints.index[name]
            lines.append(
                f"{name}: level {node.outliers.latency_level[backend]:.6f}, "
                f"quick {node.outliers.recent_level[backend]:.6f}, "
                f"pause {node.pause_forecast.mean_pause[backend]}, "
                f"work {node.pause_forecast.answered[backend]}, window {node.pause_forecast.window[backend]}"
            )
        self.check("snapshot_of_13653db", lines)


class AgingTest(TraceTest):
    def restored(self, snapshot, at_s=100, entries=("b0",), half_life_s=60):
        """Returns what a new node that starts at `at_s` restores."""
        harness = StateMachineHarness(entries)
        harness.state_machine.step.now = at_s * TICKS_PER_S
        try:
            summary = harness.state_machine.snapshot.restore(snapshot, half_life_s * TICKS_PER_S)
        except schema.UntrustedSnapshotError as error:
            return str(error)
        node = harness.state_machine.balancers.current
        backend, row = node.endpoints.index["b0"], node.request_stats.classes[0]
        return (
            f"{summary}; typical {row.typical:.0f} of {row.answers}, usual time {row.usual_left}; level "
            f"{node.outliers.latency_level[backend]:.2f}, pause {node.pause_forecast.mean_pause[backend]}, "
            f"due {node.pause_forecast.next_pause_answered[backend]} at work {node.pause_forecast.answered[backend]}, "
            f"throughput {node.load_reports.baseline_throughput[backend]:g} of {node.load_reports.baseline_reports[backend]}; ejection {node.ejections.reason[backend]}"
        )

    def test_restored_by_age_and_by_identity(self):
        """Statistics decay with age; nothing is restored of a backend or request class that has changed."""
        harness = StateMachineHarness(["b0"])
        request_class = harness.state_machine.balancers.settings.request_classes[0]
        row = {
            "expected": request_class.latency_objective,
            "hard_limit": request_class.request_timeout,
            "repeats": schema.STORED_IDEMPOTENCY[request_class.idempotency],
            "typical": 900.0,
            "skew": 0.4,
            "hinted": 0.0,
            "answers": 5000,
            "usual_left": 10000,
            "usual_votes": 9,
        }
        address = harness.state_machine.endpoints.records["b0"].address
        original = make_snapshot(
            request_classes={request_class.name: row},
            backends={"b0": schema.StoredBackend(address, 0, STATISTICS)},
        )
        # 500 requests per second; the gap between pauses is 200 requests.
        high_rate = msgspec.structs.replace(original, request_rate=0.05)
        cases = (
            ("immediately", original, 100),
            ("after a half-life", original, 160),
            ("after two half-lives", original, 220),
            ("hours later", original, 20000),
            ("a clock set back", original, 90),
            ("a clock skew of 3 s", original, 97),
            ("0.05 s at 500 per second", high_rate, 100.05),
            ("1 s at that rate", high_rate, 101),
            (
                "another deployment",
                msgspec.structs.replace(original, request_classes={"sale": row}),
                100,
            ),
            (
                "other limits",
                msgspec.structs.replace(
                    original, request_classes={request_class.name: {**row, "expected": 1}}
                ),
                100,
            ),
            (
                "moved to another address",
                msgspec.structs.replace(
                    original, backends={"b0": schema.StoredBackend("x:1", 0, STATISTICS)}
                ),
                100,
            ),
            (
                "replaced by another process",
                msgspec.structs.replace(
                    original, backends={"b0": schema.StoredBackend(address, -5, STATISTICS)}
                ),
                100,
            ),
            (
                "statistics that are no numbers",
                msgspec.structs.replace(
                    original,
                    backends={
                        "b0": schema.StoredBackend(
                            address,
                            0,
                            {
                                **STATISTICS,
                                "level": "high",
                                "work": float("nan"),
                                "pauses": [1, None],
                            },
                        )
                    },
                ),
                100,
            ),
        )
        lines = [
            f"{case}: {self.restored(snapshot, int(at_s) if at_s == int(at_s) else at_s)}"
            for case, snapshot, at_s in cases
        ]
        self.check("learned_ages", lines)

    def test_newer_endpoint_list(self):
        """The configured list is used if its version is as new as the snapshot's; otherwise the snapshot's is."""
        snapshot, lines = make_snapshot(), []
        for known in (
            None,
            {"index": 6, "endpoints": [entry("b1")]},
            {"index": 7, "endpoints": [entry("b2")]},
            {"index": None, "endpoints": [entry("b3")]},
            {"index": 9, "endpoints": []},
        ):
            newer = aging.newer_endpoint_list(snapshot, known)
            lines.append(
                f"{known and known['index']}: {[entry['name'] for entry in newer['endpoints']]}"
            )
        lines.append(
            f"neither has a list: {aging.newer_endpoint_list(make_snapshot(endpoints=[]), None)}"
        )
        self.check("learned_lists", lines)


WRITER = """
import sys
from pierglade.snapshot import schema, store
from tests.snapshot.test_snapshot import make_snapshot
snapshots, number = store.SnapshotStore(sys.argv[1], "n1"), 0
snapshots.lock_files()
while True:
    number += 1
    snapshots.write(schema.encode(make_snapshot(written_at=number, node="n" * (number % 4000))))
    if number == 1:
        print("ready", flush=True)  # killed earlier, it would leave no readable generation
"""


def killed_while_writing(times, seed=1):
    """Kills `times` writers at random moments; returns how many files were read, corrupt and missing."""
    rng, readable, corrupt, missing = random.Random(seed), 0, 0, 0
    with tempfile.TemporaryDirectory() as path:
        for _ in range(times):
            writer = subprocess.Popen([sys.executable, "-c", WRITER, path], stdout=subprocess.PIPE)
            writer.stdout.readline()
            time.sleep(rng.uniform(0.002, 0.02))
            writer.send_signal(signal.SIGKILL)
            writer.communicate()
            snapshot, _, rejected = store.SnapshotStore(path, "n1").read()
            corrupt += len(rejected)
            readable += snapshot is not None
            missing += snapshot is None
    return readable, corrupt, missing


class ContentionSignalLock:
    """A lock that sets an event when a second thread is about to wait for it."""

    def __init__(self, waited_for):
        self.lock, self.waited_for = threading.Lock(), waited_for

    def __enter__(self):
        if not self.lock.acquire(blocking=False):
            self.waited_for.set()
            self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()


def run_overlapping(snapshots, call, first, second):
    """Runs `second` while `first` is blocked after its first `call` (such as "os.fsync").

    `first` continues when `second` has ended or waits for the lock of the store, without any sleep.
    Returns the results of both.
    """
    first_blocked, second_waits, results = threading.Event(), threading.Event(), {}
    snapshots.write_lock = ContentionSignalLock(second_waits)
    module, name = call.split(".")
    original = getattr({"os": os, "fcntl": fcntl}[module], name)

    def block_once(*args):
        result = original(*args)
        if not first_blocked.is_set():
            first_blocked.set()
            second_waits.wait(20)
        return result

    def run(name, function):
        try:
            results[name] = function()
        except OSError as error:
            results[name] = error
        if name == "second":
            second_waits.set()

    with mock.patch(call, block_once):
        threads = [
            threading.Thread(target=run, args=("first", first)),
            threading.Thread(target=run, args=("second", second)),
        ]
        threads[0].start()
        first_blocked.wait(20)
        threads[1].start()
        for thread in threads:
            thread.join(20)
    return results["first"], results["second"]


class SnapshotStoreTest(TraceTest):
    def test_overlapping_writes_are_serialized(self):
        """The final write at SIGTERM overlaps with a periodic one: both are stored, the later as the newest.

        With one part file for both, the second write renamed what the first had already moved.
        """
        with tempfile.TemporaryDirectory() as path:
            snapshots = store.SnapshotStore(path, "n1")
            self.addCleanup(snapshots.release)
            locked = run_overlapping(
                snapshots, "fcntl.flock", snapshots.lock_files, snapshots.lock_files
            )
            self.assertEqual(locked, (True, True))
            snapshots.write(schema.encode(make_snapshot(written_at=1)))
            written = run_overlapping(
                snapshots,
                "os.fsync",
                lambda: snapshots.write(schema.encode(make_snapshot(written_at=2))),
                lambda: snapshots.write(schema.encode(make_snapshot(written_at=3))),
            )
            self.assertEqual(written, (None, None))
            stored = {name: snapshot.written_at for name, snapshot in store.find_snapshots(path)}
            self.assertEqual(stored, {"n1.learned": 3, "n1.learned.1": 2})

    def test_part_files_of_killed_processes_are_removed(self):
        """A write removes part files of its own node, under the current and the earlier name, and no others."""
        with tempfile.TemporaryDirectory() as path:
            for name in ("n1.learned.part", "n1.learned.7-1.part", "n1.x.learned.7-1.part"):
                pathlib.Path(path, name).write_bytes(b"PG")
            snapshots = store.SnapshotStore(path, "n1")
            self.addCleanup(snapshots.release)
            snapshots.lock_files()
            self.assertEqual(len(list(store.find_snapshots(path))), 3)
            snapshots.write(schema.encode(make_snapshot()))
            self.assertEqual(
                [name for name, _ in store.find_snapshots(path)],
                ["n1.learned", "n1.x.learned.7-1.part"],
            )

    def test_killed_while_writing(self):
        """A writer killed at any moment leaves a readable generation.

        For a thousand kills: print(killed_while_writing(1000)) from this module.
        """
        self.assertEqual(killed_while_writing(8), (8, 0, 0))

    def test_fallback_to_the_previous_generation_and_lock(self):
        """A truncated or missing newest file falls back to the previous one; one process holds the lock."""
        lines = []
        with tempfile.TemporaryDirectory() as path:
            snapshots, other = store.SnapshotStore(path, "n1"), store.SnapshotStore(path, "n1")
            lines.append(
                f"locks: {snapshots.lock_files()} {other.lock_files()}, in use {store.is_in_use(path, 'n1')}"
            )
            for written in (1, 2, 3):
                snapshots.write(schema.encode(make_snapshot(written_at=written)))
            newest = pathlib.Path(path, "n1.learned")
            for state in ("intact", "truncated", "missing"):
                if state == "truncated":
                    newest.write_bytes(newest.read_bytes()[:-1])
                elif state == "missing":
                    newest.unlink()
                snapshot, file, rejected = snapshots.read()
                lines.append(f"{state}: {snapshot.written_at} from {file} {rejected}")
            snapshots.release()
            lines.append(f"released: {other.lock_files()}")
            other.release()
            for name in ("../n1", "", ".n"):
                try:
                    store.SnapshotStore(path, name)
                except OSError as error:
                    lines.append(str(error.strerror))
        self.check("learned_files", lines)

    def test_full_slow_and_missing_disk(self):
        """The event loop is not blocked, each reason is logged once, writes back off, the last file remains.

        After an internal error nothing is written, as the learned statistics may be wrong.
        """
        lines = []
        with tempfile.TemporaryDirectory() as path:
            server = SimpleNamespace(
                clock=SimpleNamespace(now=lambda: 100 * TICKS_PER_S),
                faults=0,
                state_machine=StateMachineHarness(["b0"]).state_machine,
                note=lambda event, **fields: lines.append(
                    f"{event} {fields['error'].replace(path, 'FOLDER')}"
                ),
            )
            writer = SnapshotWriter(server, SnapshotSettings(path, 10.0, 60.0, 1.0), "n1")
            lines.append(f"written {writer.write()}")
            for error in (
                OSError(28, "No space left on device"),
                OSError(28, "No space left on device"),
                OSError(30, "Read-only file system"),
            ):
                with mock.patch("os.write", side_effect=error):
                    lines.append(f"written {writer.write()}, next after {writer.backoff} periods")
            lines.append(f"remaining file {writer.store.read()[1]}")
            disk_done, iterations = threading.Event(), 0
            with mock.patch("os.fsync", side_effect=lambda fd: disk_done.wait(20)):
                write = gevent.spawn(writer.write)
                for _ in range(50):
                    gevent.sleep(0)
                    iterations += 1
                lines.append(
                    f"iterations of the event loop while the disk is slow {iterations}, done {write.ready()}"
                )
                disk_done.set()
                lines.append(f"written {write.get()}, next after {writer.backoff} period")
            server.faults = 1
            lines.append(f"after an internal error: written {writer.write()}")
            server.faults = 0
            writer.store.path = os.path.join(path, "gone")
            lines.append(f"written {writer.write()}")
            limited = SnapshotWriter(server, SnapshotSettings(path, 10.0, 60.0, 0.0001), "n2")
            lines.append(f"written {limited.write()}")
            writer.store.release()
            limited.store.release()
        self.check("learned_disk", lines)


class LearnedCommandTest(TraceTest):
    def test_show_verify_and_prune(self):
        """`pierglade learned` reports corrupt files, and prunes only files of nodes that do not run."""
        lines = []
        with tempfile.TemporaryDirectory() as path:
            running = store.SnapshotStore(path, "runs")
            running.lock_files()
            for snapshots in (running, store.SnapshotStore(path, "old")):
                snapshots.write(schema.encode(make_snapshot(written_at=TICKS_PER_S)))
            pathlib.Path(path, "torn.learned").write_bytes(b"PGLE")
            pathlib.Path(path, "cut.learned.part").write_bytes(b"PG")
            for arguments in (
                ["verify", path],
                ["show", f"{path}/torn.learned"],
                ["show", f"{path}/old.learned"],
                ["prune", path],
                ["verify", path],
                ["verify", f"{path}/none"],
            ):
                done = subprocess.run(
                    [sys.executable, "-m", "pierglade.cli", "learned", *arguments],
                    capture_output=True,
                    text=True,
                )
                output = done.stdout + done.stderr
                if arguments[0] == "show" and not done.returncode:
                    output = f"level {json.loads(output)['backends']['b0']['figures']['level']}"
                lines.append(f"{arguments[0]}: {done.returncode}")
                lines += [
                    "    "
                    + " ".join(
                        "AGE" if word.isdigit() and len(word) > 6 else word
                        for word in line.replace(path, "FOLDER").split(" ")
                    )
                    for line in output.splitlines()
                ]
            running.release()
        self.check("learned_command", lines)
