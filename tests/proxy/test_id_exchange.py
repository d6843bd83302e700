"""Ids of sent requests are shared by two processes, also where writes fail or a writer is killed."""

import errno
import os
import tempfile
import time
import unittest
from unittest import mock

from pierglade.proxy import id_exchange
from pierglade.proxy.id_exchange import RECORD, IdFiles
from pierglade.proxy.state.executed_ids import (
    MAX_IDS,
    RETENTION,
    ExecutedIds,
    IdNotSharedError,
)
from tests.support.scene import StateMachineHarness

ADDRESS = "127.0.0.1:8081"


def digest(number):
    return number.to_bytes(8, "little")


class IdExchangeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.opened, self.later = [], []

    def tearDown(self):
        for each in self.opened:
            each.close()
        self.folder.cleanup()

    def receive(self, files):
        """Returns what `files` has received; the record that asks for it counts for nothing."""
        return [each for each in files.exchange(digest(0)) if each != digest(0)]

    def open(self):
        files = IdFiles(ADDRESS, lambda _, write: self.later.append(write), self.folder.name)
        self.opened.append(files)
        return files

    def test_each_process_reads_what_the_other_one_wrote(self):
        old, new = self.open(), self.open()
        seen = {old: [], new: []}
        for number in range(1, 200):
            each = old if number % 2 else new
            seen[each] += each.exchange(digest(number))
        self.assertEqual(seen[new] + self.receive(new), [digest(n) for n in range(1, 200, 2)])
        self.assertEqual(seen[old] + self.receive(old), [digest(n) for n in range(2, 200, 2)])
        self.assertEqual((self.receive(old), self.receive(new)), ([], []))

    def test_records_written_later_reach_a_process_that_has_started_since(self):
        old = self.open()
        old.exchange(digest(1))
        new = self.open()
        self.assertEqual(self.receive(new), [])
        self.later.pop()()
        self.assertEqual(self.receive(new), [digest(1)])

    def test_successor_of_a_killed_process_knows_its_ids(self):
        first = self.open()
        first.exchange(digest(1))
        self.later.pop()()
        first.close()
        self.assertEqual(self.receive(self.open()), [digest(1)])

    def test_reader_that_was_overtaken_gets_the_newest(self):
        old, new = self.open(), self.open()
        for number in range(1, 2 * MAX_IDS):
            old.exchange(digest(number))
        received = self.receive(new)
        self.assertEqual((received[-1], len(received)), (digest(2 * MAX_IDS - 1), MAX_IDS))

    def test_records_are_kept_while_the_folder_is_full_or_writes_are_short(self):
        old, new = self.open(), self.open()
        write = os.pwrite
        for failure in (errno.ENOSPC, errno.EIO, None):

            def fail(file, data, offset, failure=failure):
                if failure is None:
                    return write(file, data[: RECORD.size // 2], offset)
                raise OSError(failure, os.strerror(failure))

            with mock.patch.object(id_exchange.os, "pwrite", fail):
                old.exchange(digest(failure or 1))
                self.assertEqual(self.receive(new), [])
            old.exchange(digest(7))
            self.assertEqual(self.receive(new), [digest(failure or 1), digest(7)])

    def test_half_written_record_of_a_killed_process_is_not_read(self):
        old, new = self.open(), self.open()
        old.exchange(digest(1))
        os.pwrite(old.own, digest(9) + b"\1" * 8, 2 * RECORD.size)
        self.assertEqual(self.receive(new), [digest(1)])
        old.close()
        self.assertEqual(self.receive(self.open()), [digest(1)])

    def test_records_of_an_earlier_time_are_dropped(self):
        old = self.open()
        old.exchange(digest(1))
        self.later.pop()()
        old.close()
        later_ns = time.monotonic_ns() + RETENTION * 100000 + 1
        with mock.patch.object(id_exchange.time, "monotonic_ns", return_value=later_ns):
            self.assertEqual(self.receive(self.open()), [])

    def test_folder_that_is_full_at_the_start(self):
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch.object(id_exchange.os, "pwrite", side_effect=full):
            with self.assertRaises(OSError):
                self.open()
        self.open()

    def test_id_that_both_processes_send_at_once_is_claimed_by_one_at_most(self):
        processes = [ExecutedIds(), ExecutedIds()]
        for each in processes:
            each.exchange = self.open()
        claimed = [each.claim(0, digest(5)) for each in processes]
        self.assertLessEqual(sum(claimed), 1)
        self.assertTrue(all(each.contains(1, digest(5)) for each in processes))
        self.assertFalse(processes[0].contains(RETENTION + 1, digest(5)))

    def test_request_is_not_sent_while_its_id_can_not_be_shared(self):
        """Guards against an unsafe id that runs at both processes as its record is missing."""
        processes = [ExecutedIds(), ExecutedIds()]
        for each in processes:
            each.exchange = self.open()
        error = OSError(errno.EIO, os.strerror(errno.EIO))
        for call in ("pwrite", "pread"):
            with mock.patch.object(id_exchange.os, call, side_effect=error):
                with self.assertRaises(IdNotSharedError):
                    processes[0].claim(0, digest(5))
        self.assertTrue(processes[0].claim(0, digest(5)))  # It was not sent, so it may be now.
        self.assertFalse(processes[1].claim(0, digest(5)))

    def test_request_of_a_sole_process_is_sent_while_its_folder_fails(self):
        sole = ExecutedIds()
        sole.exchange = self.open()
        error = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        with mock.patch.object(id_exchange.os, "pwrite", side_effect=error):
            self.assertTrue(sole.claim(0, digest(5)))

    def test_write_that_fails_for_a_moment_delays_no_request(self):
        processes = [ExecutedIds(), ExecutedIds()]
        for each in processes:
            each.exchange = self.open()
        write, failures = os.pwrite, iter((True, False, True, False, False))

        def fail_first(file, data, offset):
            if next(failures):
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            return write(file, data, offset)

        with mock.patch.object(id_exchange.os, "pwrite", fail_first):
            claimed = [processes[0].claim(0, digest(number)) for number in (1, 2, 3)]
        self.assertEqual(claimed, [True, True, True])
        self.assertFalse(any(processes[1].claim(0, digest(number)) for number in (1, 2, 3)))

    def test_failing_writes_are_tried_again_by_one_timer(self):
        """Guards against a timer for each request while a folder fails."""
        files, error = self.open(), OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        with mock.patch.object(id_exchange.os, "pwrite", side_effect=error):
            for number in range(1, 100):
                files.exchange(digest(number))
                files.write()
        self.assertEqual(len(self.later), 1)


class UnsharedIds(unittest.TestCase):
    def test_request_with_an_effect_is_rejected_while_its_id_can_not_be_shared(self):
        """A safe one is sent; the others are known not to have run, so they may come again."""
        for path, is_sent in (("/look", True), ("/hold", False), ("/pay", False)):
            harness = StateMachineHarness(["b0", "b1"])
            exchange = mock.Mock(exchange=lambda _: [], is_up_to_date=lambda: False)
            harness.state_machine.requests.executed_ids.exchange = exchange
            harness.send_request("c0", path)
            for _ in range(3):
                harness.connect_upstream()
                harness.after(50)
            with self.subTest(path):
                text = "\n".join(harness.lines)
                self.assertEqual("SendRequest" in text, is_sent)
                self.assertEqual("SendResponse c0 HTTP/1.1 503" in text, not is_sent)
                self.assertNotIn("504", text)
