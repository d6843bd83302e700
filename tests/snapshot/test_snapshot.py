"""Snapshots: the format under damage, what age leaves, and files under disk faults."""

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
from hypothesis import given, settings
from hypothesis import strategies as some

from pierglade.proxy.snapshot_writer import SnapshotSettings, SnapshotWriter
from pierglade.snapshot import aging as ageing
from pierglade.snapshot import schema as form
from pierglade.snapshot import store as files
from tests.support.scene import Desk, TraceTest, entry

S = 10000  # tenths of a ms in a second
FIGURES = {
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


def snapshot(**more):
    plain = dict(
        node="n1",
        written_at=100 * S,
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
        backends={"b0": form.StoredBackend("127.0.0.1:9000", 0, FIGURES)},
    )
    return form.Snapshot(**{**plain, **more})


PLAIN = some.recursive(
    some.none()
    | some.booleans()
    | some.integers(-(2**40), 2**40)
    | some.text(max_size=8)
    | some.floats(allow_nan=False),
    lambda inner: (
        some.lists(inner, max_size=4) | some.dictionaries(some.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


class Forms(TraceTest):
    @settings(max_examples=60, deadline=None)
    @given(
        some.dictionaries(some.text(max_size=6), PLAIN.map(lambda one: {"x": one}), max_size=3),
        some.integers(0, 2**50),
        some.floats(0, 1e6),
    )
    def test_there_and_back(self, request_classes, written, asked):
        one = snapshot(request_classes=request_classes, written_at=written, request_rate=asked)
        self.assertEqual(form.decode(form.encode(one)), one)

    def test_every_byte_flipped_and_every_truncation(self):
        good = form.encode(snapshot())
        spoilt = [good[:n] for n in range(len(good))] + [good + b"x"]
        for at in range(len(good)):
            spoilt += [
                good[:at] + bytes([good[at] ^ bit]) + good[at + 1 :] for bit in (1, 128, 255)
            ]
        for data in spoilt:
            with self.assertRaises(form.CorruptSnapshotError):
                form.decode(data)

    def test_older_and_newer_versions(self):
        """Two migrations; a newer version, a missing migration and a body of another shape."""
        data, lines = form.encode(snapshot()), []

        def add(raw):
            raw["asked"] = 2.5
            return raw

        def drop(raw):
            del raw["node"]
            return raw

        for what, steps, upto in (
            ("two steps", {1: add, 2: lambda raw: raw}, 3),
            ("a step missing", {1: add}, 3),
            ("a step that spoils", {1: drop}, 2),
            ("newer", {}, 0),
        ):
            try:
                lines.append(f"{what}: asked {form.decode(data, steps, upto).request_rate}")
            except form.CorruptSnapshotError as fault:
                lines.append(f"{what}: {fault}")
        self.check("learned_versions", lines)


class EarlierBuilds(TraceTest):
    """Files that earlier builds wrote (tests/snapshot/fixtures/README.md)."""

    def test_a_file_of_13653db_is_read_and_restored(self):
        path = pathlib.Path(__file__).parent / "fixtures" / "13653db.learned"
        one = files.load(path)
        self.assertEqual(form.decode(form.encode(one)), one)
        self.assertEqual(form.encode(one), path.read_bytes())
        desk = Desk(["b0", "b1"])
        desk.reducer.step.now = one.written_at
        line = desk.reducer.snapshot.restore(one, 60 * S)
        node = desk.reducer.balancers.current
        lines = [
            line,
            f"written {one.written_at} by {one.node}, list {one.endpoints_version}, asked {one.request_rate}",
        ]
        lines += [
            f"{o.name}: typical {row.typical:.6f} of {row.answers}, skew {row.skew:.6f}, "
            f"left {row.usual_left} of {row.usual_votes}"
            for o, row in zip(
                desk.reducer.balancers.settings.request_classes, node.request_stats.classes
            )
        ]
        for name in ("b0", "b1"):
            b = node.endpoints.index[name]
            lines.append(
                f"{name}: level {node.outliers.latency_level[b]:.6f}, "
                f"quick {node.outliers.recent_level[b]:.6f}, "
                f"pause {node.pause_forecast.mean_pause[b]}, "
                f"work {node.pause_forecast.answered[b]}, window {node.pause_forecast.window[b]}"
            )
        self.check("snapshot_of_13653db", lines)


class Ages(TraceTest):
    def remembered(self, one, at_s=100, entries=("b0",), half_life_s=60):
        """What a fresh node that starts `at_s` takes back."""
        desk = Desk(entries)
        desk.reducer.step.now = at_s * S
        try:
            line = desk.reducer.snapshot.restore(one, half_life_s * S)
        except form.UntrustedSnapshotError as fault:
            return str(fault)
        node = desk.reducer.balancers.current
        b, row = node.endpoints.index["b0"], node.request_stats.classes[0]
        return (
            f"{line}; typical {row.typical:.0f} of {row.answers}, left {row.usual_left}; level "
            f"{node.outliers.latency_level[b]:.2f}, pause {node.pause_forecast.mean_pause[b]}, "
            f"due {node.pause_forecast.next_pause_answered[b]} at work {node.pause_forecast.answered[b]}, "
            f"usual {node.load_reports.baseline_throughput[b]:g} of {node.load_reports.baseline_reports[b]}; trouble {node.ejections.reason[b]}"
        )

    def test_restored_by_age_and_by_what_still_matches(self):
        desk = Desk(["b0"])
        o = desk.reducer.balancers.settings.request_classes[0]
        row = {
            "expected": o.latency_objective,
            "hard_limit": o.request_timeout,
            "repeats": form.STORED_IDEMPOTENCY[o.idempotency],
            "typical": 900.0,
            "skew": 0.4,
            "hinted": 0.0,
            "answers": 5000,
            "usual_left": 10000,
            "usual_votes": 9,
        }
        address = desk.reducer.endpoints.records["b0"].address
        whole = snapshot(
            request_classes={o.name: row}, backends={"b0": form.StoredBackend(address, 0, FIGURES)}
        )
        busy = msgspec.structs.replace(whole, request_rate=0.05)  # 500 a second; a gap is 200
        cases = (
            ("at once", whole, 100),
            ("after a half-life", whole, 160),
            ("after two", whole, 220),
            ("hours later", whole, 20000),
            ("a clock set back", whole, 90),
            ("a clock off by 3 s", whole, 97),
            ("0.05 s of 500 a second", busy, 100.05),
            ("1 s of it", busy, 101),
            (
                "another deployment",
                msgspec.structs.replace(whole, request_classes={"sale": row}),
                100,
            ),
            (
                "other limits",
                msgspec.structs.replace(whole, request_classes={o.name: {**row, "expected": 1}}),
                100,
            ),
            (
                "moved",
                msgspec.structs.replace(
                    whole, backends={"b0": form.StoredBackend("x:1", 0, FIGURES)}
                ),
                100,
            ),
            (
                "replaced",
                msgspec.structs.replace(
                    whole, backends={"b0": form.StoredBackend(address, -5, FIGURES)}
                ),
                100,
            ),
            (
                "figures that are none",
                msgspec.structs.replace(
                    whole,
                    backends={
                        "b0": form.StoredBackend(
                            address,
                            0,
                            {**FIGURES, "level": "high", "work": float("nan"), "pauses": [1, None]},
                        )
                    },
                ),
                100,
            ),
        )
        lines = [
            f"{what}: {self.remembered(one, int(at) if at == int(at) else at)}"
            for what, one, at in cases
        ]
        self.check("learned_ages", lines)

    def test_which_list_is_the_newer_one(self):
        one, lines = snapshot(), []
        for known in (
            None,
            {"index": 6, "endpoints": [entry("b1")]},
            {"index": 7, "endpoints": [entry("b2")]},
            {"index": None, "endpoints": [entry("b3")]},
            {"index": 9, "endpoints": []},
        ):
            got = ageing.newer_list(one, known)
            lines.append(f"{known and known['index']}: {[e['name'] for e in got['endpoints']]}")
        lines.append(f"nothing kept: {ageing.newer_list(snapshot(endpoints=[]), None)}")
        self.check("learned_lists", lines)


WRITER = """
import sys
from pierglade.snapshot import store as files
from pierglade.snapshot import schema as form
from tests.snapshot.test_snapshot import snapshot
folder, number = files.SnapshotStore(sys.argv[1], "n1"), 0
folder.lock_files()
while True:
    number += 1
    folder.write(form.encode(snapshot(written_at=number, node="n" * (number % 4000))))
    if number == 1:
        print("on", flush=True)     # killed before, it would have left nothing that could be read
"""


def killed_while_writing(times, seed=1):
    """Kills so many writers at random; returns generations read, torn and missing."""
    chance, good, torn, none = random.Random(seed), 0, 0, 0
    with tempfile.TemporaryDirectory() as path:
        for _ in range(times):
            writer = subprocess.Popen([sys.executable, "-c", WRITER, path], stdout=subprocess.PIPE)
            writer.stdout.readline()
            time.sleep(chance.uniform(0.002, 0.02))
            writer.send_signal(signal.SIGKILL)
            writer.communicate()
            one, _, wrong = files.SnapshotStore(path, "n1").read()
            torn += len(wrong)
            good += one is not None
            none += one is None
    return good, torn, none


class NoticedLock:
    """A lock that sets an event when a second thread is about to wait for it."""

    def __init__(self, waited_for):
        self.lock, self.waited_for = threading.Lock(), waited_for

    def __enter__(self):
        if not self.lock.acquire(blocking=False):
            self.waited_for.set()
            self.lock.acquire()

    def __exit__(self, *_):
        self.lock.release()


def crossed(folder, call, first, second):
    """Runs `second` while `first` is held behind its first `call` (as "os.fsync"); what each returned.

    `first` goes on when `second` has ended or waits for the lock of the folder: events alone, no spans.
    """
    held, arrived, results = threading.Event(), threading.Event(), {}
    folder.writing = NoticedLock(arrived)
    module, name = call.split(".")
    real = getattr({"os": os, "fcntl": fcntl}[module], name)

    def hold(*args):
        result = real(*args)
        if not held.is_set():
            held.set()
            arrived.wait(20)
        return result

    def run(what, work):
        try:
            results[what] = work()
        except OSError as error:
            results[what] = error
        if what == "second":
            arrived.set()

    with mock.patch(call, hold):
        threads = [
            threading.Thread(target=run, args=("first", first)),
            threading.Thread(target=run, args=("second", second)),
        ]
        threads[0].start()
        held.wait(20)
        threads[1].start()
        for thread in threads:
            thread.join(20)
    return results["first"], results["second"]


class Files(TraceTest):
    def test_two_writings_that_cross_follow_each_other(self):
        """The last writing at SIGTERM meets the periodic one: both are kept, the later as the newest."""
        with tempfile.TemporaryDirectory() as path:
            folder = files.SnapshotStore(path, "n1")
            self.addCleanup(folder.release)
            locked = crossed(folder, "fcntl.flock", folder.lock_files, folder.lock_files)
            self.assertEqual(locked, (True, True))
            folder.write(form.encode(snapshot(written_at=1)))
            written = crossed(
                folder,
                "os.fsync",
                lambda: folder.write(form.encode(snapshot(written_at=2))),
                lambda: folder.write(form.encode(snapshot(written_at=3))),
            )
            self.assertEqual(written, (None, None))
            kept = {name: one.written_at for name, one in files.find_snapshots(path)}
            self.assertEqual(kept, {"n1.learned": 3, "n1.learned.1": 2})

    def test_parts_of_killed_processes_do_not_pile_up(self):
        """A writing removes the parts of its own node, of this form and the one before, and no other's."""
        with tempfile.TemporaryDirectory() as path:
            for name in ("n1.learned.part", "n1.learned.7-1.part", "n1.x.learned.7-1.part"):
                pathlib.Path(path, name).write_bytes(b"PG")
            folder = files.SnapshotStore(path, "n1")
            self.addCleanup(folder.release)
            folder.lock_files()
            self.assertEqual(len(list(files.find_snapshots(path))), 3)
            folder.write(form.encode(snapshot()))
            self.assertEqual(
                [name for name, _ in files.find_snapshots(path)],
                ["n1.learned", "n1.x.learned.7-1.part"],
            )

    def test_killed_while_writing(self):
        """The full thousand: print(killed_while_writing(1000)) from this module."""
        self.assertEqual(killed_while_writing(8), (8, 0, 0))

    def test_falls_back_to_the_one_before_and_one_process_writes(self):
        lines = []
        with tempfile.TemporaryDirectory() as path:
            folder, other = files.SnapshotStore(path, "n1"), files.SnapshotStore(path, "n1")
            lines.append(
                f"locks: {folder.lock_files()} {other.lock_files()}, in use {files.in_use(path, 'n1')}"
            )
            for written in (1, 2, 3):
                folder.write(form.encode(snapshot(written_at=written)))
            newest = pathlib.Path(path, "n1.learned")
            for what in ("whole", "spoilt", "gone"):
                if what == "spoilt":
                    newest.write_bytes(newest.read_bytes()[:-1])
                elif what == "gone":
                    newest.unlink()
                one, file, wrong = folder.read()
                lines.append(f"{what}: {one.written_at} from {file} {wrong}")
            folder.release()
            lines.append(f"released: {other.lock_files()}")
            other.release()
            for name in ("../n1", "", ".n"):
                try:
                    files.SnapshotStore(path, name)
                except OSError as fault:
                    lines.append(str(fault.strerror))
        self.check("learned_files", lines)

    def test_a_disk_that_is_full_slow_or_gone(self):
        """The loop goes on, a reason is logged once, tries back off, the previous file stays."""
        notes = []
        with tempfile.TemporaryDirectory() as path:
            host = SimpleNamespace(
                clock=SimpleNamespace(now=lambda: 100 * S),
                faults=0,
                reducer=Desk(["b0"]).reducer,
                note=lambda event, **fields: notes.append(
                    f"{event} {fields['error'].replace(path, 'FOLDER')}"
                ),
            )
            keeps = SnapshotWriter(host, SnapshotSettings(path, 10.0, 60.0, 1.0), "n1")
            notes.append(f"kept {keeps.write()}")
            for fault in (
                OSError(28, "No space left on device"),
                OSError(28, "No space left on device"),
                OSError(30, "Read-only file system"),
            ):
                with mock.patch("os.write", side_effect=fault):
                    notes.append(f"kept {keeps.write()}, next after {keeps.backoff} periods")
            notes.append(f"still there {keeps.store.read()[1]}")
            slow, turns = threading.Event(), 0
            with mock.patch("os.fsync", side_effect=lambda fd: slow.wait(20)):
                writing = gevent.spawn(keeps.write)
                for _ in range(50):
                    gevent.sleep(0)
                    turns += 1
                notes.append(
                    f"turns of the loop while the disk is slow {turns}, done {writing.ready()}"
                )
                slow.set()
                notes.append(f"kept {writing.get()}, next after {keeps.backoff} period")
            host.faults = 1
            notes.append(f"after a fault of ours: kept {keeps.write()}")
            host.faults = 0
            keeps.store.path = os.path.join(path, "gone")
            notes.append(f"kept {keeps.write()}")
            small = SnapshotWriter(host, SnapshotSettings(path, 10.0, 60.0, 0.0001), "n2")
            notes.append(f"kept {small.write()}")
            keeps.store.release()
            small.store.release()
        self.check("learned_disk", notes)


class Command(TraceTest):
    def test_show_verify_and_prune(self):
        lines = []
        with tempfile.TemporaryDirectory() as path:
            running = files.SnapshotStore(path, "runs")
            running.lock_files()
            for folder in (running, files.SnapshotStore(path, "old")):
                folder.write(form.encode(snapshot(written_at=S)))
            pathlib.Path(path, "torn.learned").write_bytes(b"PGLE")
            pathlib.Path(path, "cut.learned.part").write_bytes(b"PG")
            for words in (
                ["verify", path],
                ["show", f"{path}/torn.learned"],
                ["show", f"{path}/old.learned"],
                ["prune", path],
                ["verify", path],
                ["verify", f"{path}/none"],
            ):
                done = subprocess.run(
                    [sys.executable, "-m", "pierglade.cli", "learned", *words],
                    capture_output=True,
                    text=True,
                )
                said = done.stdout + done.stderr
                if words[0] == "show" and not done.returncode:
                    said = f"level {json.loads(said)['backends']['b0']['figures']['level']}"
                lines.append(f"{words[0]}: {done.returncode}")
                lines += [
                    "    "
                    + " ".join(
                        "AGE" if word.isdigit() and len(word) > 6 else word
                        for word in line.replace(path, "FOLDER").split(" ")
                    )
                    for line in said.splitlines()
                ]
            running.release()
        self.check("learned_command", lines)
