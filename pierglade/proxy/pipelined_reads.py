"""When the bytes of pipelined requests arrived (RFC 9112, 9.3.2)."""

from collections import deque
from collections.abc import Callable

from pierglade.proxy.state.constants import NEVER

# Maximum number of reads whose time is stored. It is bounded because a client may send one byte at
# a time.
MAX_READS = 16


class PipelinedReads:
    """The times of reads of one connection while requests wait behind the current one.

    The time of a pipelined request starts at its last byte. `arrival_time` returns when data read
    now is likely to have arrived (ticks).
    """

    __slots__ = ("arrival_time", "reads")

    def __init__(self, arrival_time: Callable[[], int]):
        self.arrival_time = arrival_time
        self.reads: deque[tuple[int, int]] = deque()
        """(bytes read in all by then, time in ticks), the earliest first."""

    def record(self, received: int):
        """Records a read; `received`: bytes of the connection read in all."""
        if len(self.reads) == MAX_READS:
            # The earlier time is used: an arrival time may be too early, but not too late.
            self.reads[-1] = (received, self.reads[-1][1])
        else:
            self.reads.append((received, self.arrival_time()))

    def take(self, taken: int, is_last: bool) -> int:
        """Returns when the last byte of the message that was just read had arrived.

        NEVER if no read was recorded. `taken`: bytes of the connection up to its end; `is_last`:
        whether nothing follows it.
        """
        while self.reads and self.reads[0][0] < taken:
            self.reads.popleft()
        arrived_at = self.reads[0][1] if self.reads else NEVER
        if is_last:
            self.reads.clear()
        return arrived_at
