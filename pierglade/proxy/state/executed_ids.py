"""The ids of requests that a backend may have executed, so that none is executed a second time.

A client's connection may end before the response, and the same request may come again: here, or at
the other process of an upgrade. No I/O: the caller provides the exchange between the processes.
"""

from collections import OrderedDict
from hashlib import blake2b
from typing import Protocol

from pierglade.errors import PiergladeError

# Times are tenths of a millisecond.

RETENTION = 600000  # 60 s; longer than any client waits for a response
MAX_IDS = 16384  # kept at once, the newest; a minute of 270 requests a second
FINGERPRINT_BYTES = 8


class IdNotSharedError(PiergladeError):
    """The other process could not be told of a request, or asked which ones it has sent."""

    def __init__(self):
        super().__init__("the files of sent ids can't be written or read now")


class IdExchange(Protocol):
    """Tells the other process of this node which ids were sent, and what it has sent."""

    def exchange(self, digest: bytes) -> list[bytes]:
        """Tells the other process that a request is sent now; returns what it has sent since."""

    def is_up_to_date(self) -> bool:
        """Returns whether the last exchange told and asked everything, if another process runs."""

    def publish(self, digests: list[bytes]):
        """Tells the other process of requests that were sent before."""


def fingerprint(request_id: bytes) -> bytes:
    """Returns a short digest of an id, equal in all processes."""
    return blake2b(request_id, digest_size=FINGERPRINT_BYTES).digest()


class ExecutedIds:
    """The newest ids that were sent to a backend, by this process or by the other one."""

    def __init__(self):
        self.exchange: IdExchange | None = None
        self._expiries: OrderedDict[bytes, int] = OrderedDict()

    def share(self, exchange: IdExchange):
        """Shares ids from now on, and those that were sent before that was possible."""
        self.exchange = exchange
        exchange.publish(list(self._expiries))

    def contains(self, now: int, digest: bytes) -> bool:
        """Returns whether a request with this fingerprint is known to have been sent already."""
        return self._expiries.get(digest, 0) > now

    def claim(self, now: int, digest: bytes) -> bool:
        """Records that a request is sent now; returns False if the other process has sent it.

        The own record is written before that of the other process is read: if both send at once,
        at least one of them sees the other.

        Raises:
            IdNotSharedError: that is not possible now; nothing is recorded here.
        """
        if self.exchange is not None:
            for received in self.exchange.exchange(digest):
                self._add(now, received)
            if not self.exchange.is_up_to_date():
                raise IdNotSharedError
        is_free = self._expiries.get(digest, 0) <= now
        self._add(now, digest)
        return is_free

    def _add(self, now, digest):
        self._expiries.pop(digest, None)
        self._expiries[digest] = now + RETENTION
        while len(self._expiries) > MAX_IDS or next(iter(self._expiries.values())) <= now:
            self._expiries.popitem(last=False)

    def __len__(self) -> int:
        return len(self._expiries)
