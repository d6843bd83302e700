"""Files through which the two processes of an upgrade tell each other which requests they sent.

Each process writes a ring of records to a file of its own in $TMPDIR and reads that of the other.
Plain reads and writes are used, as a full disk ends a process that has mapped a file. The file of a
process that was killed is read by its successor.
"""

import os
import struct
import time
from collections.abc import Callable
from operator import itemgetter

from pierglade.proxy import lock_files
from pierglade.proxy.state.executed_ids import FINGERPRINT_BYTES, MAX_IDS, RETENTION

# Fingerprint, monotonic time in ms, which is the same for all processes of a machine, and sequence
# number, 1 for the first record of a file. It comes last, so that a half-written record has none.
RECORD = struct.Struct(f"<{FINGERPRINT_BYTES}sQQ")
SEQUENCE, SEQUENCE_BYTES = 2, 8  # its index in a record, and its size
RING_BYTES = RECORD.size * MAX_IDS
FILE_COUNT = 2  # one of each process
READ_RECORDS = 64  # read at once
# While no other process runs, records are written together after this time, and its start is looked
# for as often. A process that finds another one waits for as long.
INTERVAL_S = 0.05
INTERVAL_NS = int(INTERVAL_S * 1e9)
WRITE_TRIES = 3  # at once, as a request waits for its record
LOCK_TRIES, LOCK_RETRY_S = 5, 0.001  # the other process may hold a lock for a moment
RETENTION_MS = RETENTION // 10
NOTHING = []  # received, in most calls


class IdFiles:
    """The files of the process that serves `address`, in `folder` or $TMPDIR.

    `call_later(seconds, function)` is used to write records that may wait.

    Raises:
        OSError: the files cannot be created, or two other processes use them.
    """

    def __init__(self, address: str, call_later: Callable, folder: str | None = None):
        self.call_later = call_later
        self.files = []
        try:
            for slot in range(FILE_COUNT):
                self.files.append(lock_files.open_shared(address, f"ids{slot}", folder))
            self._lock_one()
            if not lock_files.lock(self.files[1]):
                time.sleep(INTERVAL_S)
            else:
                lock_files.unlock(self.files[1])
            # Written in full, so that later records need no more space.
            records = _read_all(self.files[0])
            _write_all(self.files[0], records.ljust(RING_BYTES, b"\0"))
        except OSError:
            self.close()
            raise
        self.own, self.other = self.files
        own_records, other_records = _parse(records), _parse(_read_all(self.other))
        self.next_own = max((each[SEQUENCE] for each in own_records), default=0) + 1
        self.next_other = max((each[SEQUENCE] for each in other_records), default=0) + 1
        self.pending = _fresh(own_records) + _fresh(other_records)
        self.unpublished, self.is_write_scheduled = [], False
        self.other_exists, self.check_at_ns = False, 0
        self.write_error = None  # the first error since the last successful write
        self.is_read = True  # whether the other process's file was read up to its end

    def _lock_one(self):
        """Locks a file that is free, and puts it first."""
        for _ in range(LOCK_TRIES):
            for _ in range(2):
                if lock_files.lock(self.files[0]):
                    return
                self.files.reverse()
            time.sleep(LOCK_RETRY_S)
        raise OSError(11, "two other processes use the files of sent ids")

    def exchange(self, digest: bytes) -> list[bytes]:
        """Writes a record, at once if another process runs, else soon.

        Returns the fingerprints that the other process has written since the last call.
        """
        self.unpublished.append(digest)
        if self.other_exists or time.monotonic_ns() >= self.check_at_ns:
            self._look_for_other()
        if self.other_exists:
            self._write_now()
            self._read_available()
        else:
            self._write_later()
        if not self.pending:
            return NOTHING
        received, self.pending = self.pending, []
        return received

    def is_up_to_date(self) -> bool:
        """Returns whether the last exchange told and asked everything, if another process runs."""
        return not self.other_exists or (not self.unpublished and self.is_read)

    def publish(self, digests: list[bytes]):
        """Writes records of requests that were sent before the files could be opened."""
        self.unpublished += digests
        self.write()

    def _write_now(self):
        """Writes until nothing is left, at most WRITE_TRIES times."""
        for _ in range(WRITE_TRIES):
            self.write()
            if not self.unpublished:
                return

    def _write_later(self):
        if not self.is_write_scheduled:
            self.is_write_scheduled = True
            self.call_later(INTERVAL_S, self._write_scheduled)

    def _write_scheduled(self):
        self.is_write_scheduled = False
        self.write()

    def write(self):
        """Writes what is not written yet; what can't be written is kept for the next call."""
        try:
            while self.unpublished and self.files:
                first = self.next_own % MAX_IDS
                count = min(len(self.unpublished), MAX_IDS - first)
                now_ms = time.monotonic_ns() // 1000000
                data = b"".join(
                    RECORD.pack(each, now_ms, self.next_own + n)
                    for n, each in enumerate(self.unpublished[:count])
                )
                written = os.pwrite(self.own, data, first * RECORD.size) // RECORD.size
                self.next_own += written
                del self.unpublished[:written]
                if written < count:
                    break  # A short write: a half-written record is written again.
            self.write_error = None
        except OSError as error:
            self.write_error = self.write_error or error
            del self.unpublished[:-MAX_IDS]
        if self.unpublished and self.files:
            self._write_later()

    def _read_available(self):
        try:
            while new := self._read_new():
                self.pending += new
            self.is_read = True
        except OSError:
            self.is_read = False  # Read with the next call.

    def _look_for_other(self):
        now_ns = time.monotonic_ns()
        if now_ns < self.check_at_ns:
            return
        self.check_at_ns, existed = now_ns + INTERVAL_NS, self.other_exists
        self.other_exists = not lock_files.lock(self.other)
        if not self.other_exists:
            lock_files.unlock(self.other)
            if existed:
                self._read_available()  # It may have written more before it ended.

    def _read_new(self):
        first = self.next_other % MAX_IDS
        data = os.pread(self.other, RECORD.size, first * RECORD.size)
        sequence = int.from_bytes(data[RECORD.size - SEQUENCE_BYTES :], "little")
        if len(data) < RECORD.size or sequence < self.next_other:
            return []
        if sequence == self.next_other:
            count = min(READ_RECORDS, MAX_IDS - first)
            records = _parse(os.pread(self.other, count * RECORD.size, first * RECORD.size))
        else:  # The ring has overtaken this reader.
            records = _parse(_read_all(self.other))
        records = [each for each in records if each[SEQUENCE] >= self.next_other]
        self.next_other = records[-1][SEQUENCE] + 1
        return [digest for digest, _, _ in records]

    def close(self):
        """Closes the files, which releases the lock."""
        for file in self.files:
            os.close(file)
        self.files = []


def _read_all(file):
    data = b""
    while len(data) < RING_BYTES and (more := os.pread(file, RING_BYTES - len(data), len(data))):
        data += more
    return data


def _write_all(file, data):
    written = 0
    while written < len(data):
        written += os.pwrite(file, data[written:], written)


def _parse(data):
    """Returns the records in `data` in the order of their sequence numbers."""
    whole = len(data) - len(data) % RECORD.size
    records = [each for each in RECORD.iter_unpack(data[:whole]) if each[SEQUENCE]]
    return sorted(records, key=itemgetter(SEQUENCE))


def _fresh(records):
    now_ms = time.monotonic_ns() // 1000000
    return [digest for digest, sent_ms, _ in records if now_ms - RETENTION_MS < sent_ms <= now_ms]
