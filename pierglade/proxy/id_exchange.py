"""Files through which the two processes of an upgrade tell each other which requests they sent.

Each process writes a ring of records to a file of its own in $TMPDIR and reads that of the other.
Plain reads and writes are used, as a full disk ends a process that has mapped a file. The file of a
process that was killed is read by its successor.
"""

import fcntl
import os
import re
import struct
import time
from operator import itemgetter

from pierglade.proxy.state.executed_ids import FINGERPRINT_BYTES, MAX_IDS, RETENTION

DEFAULT_FOLDER = "/tmp"  # used where $TMPDIR is not set
# Fingerprint, monotonic time in ms, which is the same for all processes of a machine, and sequence
# number, 1 for the first record of a file. It comes last, so that a half-written record has none.
RECORD = struct.Struct(f"<{FINGERPRINT_BYTES}sQQ")
SEQUENCE, SEQUENCE_BYTES = 2, 8  # its index in a record, and its size
RING_BYTES = RECORD.size * MAX_IDS
READ_RECORDS = 64  # read at once
RETENTION_MS = RETENTION // 10


class IdFiles:
    """The files of the process that serves `address`, in `folder` or $TMPDIR.

    Raises:
        OSError: the files cannot be created, or two other processes use them.
    """

    def __init__(self, address: str, folder: str | None = None):
        folder = folder or os.environ.get("TMPDIR") or DEFAULT_FOLDER
        stem = os.path.join(folder, "pierglade-" + re.sub(r"[^0-9.]", "-", address))
        self.files = []
        try:
            for slot in range(2):
                self.files.append(_open(f"{stem}.ids{slot}"))
            if not _lock(self.files[0]):
                self.files.reverse()
                if not _lock(self.files[0]):
                    raise OSError(11, "two other processes use the files of sent ids")
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
        self.unpublished = []
        self.write_error = None  # the first error since the last successful write

    def publish(self, digest: bytes):
        """Writes a record; what can't be written is kept for the next call."""
        self.unpublished.append((digest, time.monotonic_ns() // 1000000))
        try:
            while self.unpublished:
                record = RECORD.pack(*self.unpublished[0], self.next_own)
                offset = self.next_own % MAX_IDS * RECORD.size
                if os.pwrite(self.own, record, offset) < RECORD.size:
                    return  # A short write: the record is written again.
                self.next_own += 1
                del self.unpublished[0]
            self.write_error = None
        except OSError as error:
            self.write_error = self.write_error or error
            del self.unpublished[:-MAX_IDS]

    def received(self) -> list[bytes]:
        """Returns the fingerprints that the other process has written since the last call."""
        received, self.pending = self.pending, []
        try:
            while new := self._read_new():
                received += new
        except OSError:
            pass  # Read with the next call.
        return received

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


def _open(path):
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)


def _lock(file):
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


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
