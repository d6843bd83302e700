"""File descriptors: how many connections may be open, and which close when they run short."""

from pierglade.proxy.state.connections import (
    IDLE,
    LINGERING,
    NEW,
    READING_REQUEST,
)
from pierglade.proxy.state.constants import LOG_INTERVAL, SPARE
from pierglade.proxy.state.effects import CloseWhenRead

# Times are tenths of a millisecond.
CLIENT_PART = (
    0.25  # share of the descriptors; beyond it idle clients are closed, longest idle first
)
YIELD_AFTER = 1000  # 100 ms; idle for less, a connection is likely to be used the next moment
YIELD_FRESH = 200  # 20 ms; who opens a connection in earnest asks at once


class DescriptorBudget:
    """Keeps connections of both kinds within the limit of open descriptors."""

    def __init__(self, step, timers, limit, sole_process):
        self.step = step
        self.timers = timers
        self.full_limit = limit - SPARE
        # Two processes of one node may hold no more together than it may: each keeps to half.
        self.limit = self.full_limit // (1 if sole_process else 2)
        self.open = 0  # connections, of both kinds
        self.closing = 0  # clients that were asked to close
        self.admission = None  # who may connect; None: anybody
        # Not logged yet: clients that found no descriptor left, and connections that were rejected.
        self.exhausted = self.rejected = 0

    def connect(self, downstream, upstream):
        """The parts that are made after this one."""
        self.downstream = downstream
        self.upstream = upstream

    def count_exhausted(self):
        """A client has found no descriptor left."""
        if not self.exhausted:
            self.timers.at(self.step.now + LOG_INTERVAL, self._log_exhausted, None)
        self.exhausted += 1

    def _log_exhausted(self, _):
        self.step.log(
            "descriptors_exhausted",
            clients=self.exhausted,
            upstream={s.value: len(some) for s, some in self.upstream.by_state.items()},
            downstream={s.value: len(some) for s, some in self.downstream.by_state.items()},
        )
        self.exhausted = 0

    def admits(self, now, address):
        """Whether a client from `address` may connect. Only where there are caps."""
        if self.admission.opened(now, address, self.limit) is None:
            return True
        if not self.rejected:
            self.timers.at(now + LOG_INTERVAL, self._log_rejected, None)
        self.rejected += 1
        return False

    def _log_rejected(self, _):
        self.rejected = 0
        why, by = self.admission.take_rejections() if self.admission is not None else ({}, [])
        self.step.log("connections_rejected", reason=why, addresses=dict(by))

    def acceptable(self, most):
        """How many clients may connect, up to `most`, before others have to be closed."""
        return max(1, min(most, self.limit // 2 - self.open))

    def free_descriptors(self, newcomer):
        """Closes what is least needed. Whether there is a descriptor for the newcomer."""
        while self.open - self.closing > self.limit:
            # Those that were answered for good; those that were opened and say nothing, who may be
            # hundreds.
            if (client := self._longest_in(LINGERING, newcomer)) is not None:
                self.downstream.close(client, "yielded")
            elif (client := self._longest_in(NEW, newcomer, YIELD_FRESH)) is not None:
                self._ask_to_close(client)
            elif (link := next(iter(self.upstream.by_state[IDLE]), None)) is not None:
                self.upstream.close(link, "yielded")
            elif (client := self._longest_in(IDLE, newcomer, YIELD_AFTER)) is not None:
                self._ask_to_close(client)
            elif newcomer is None and (
                client := self._longest_in(NEW, None) or self._longest_in(IDLE, None)
            ):
                # For an upstream connection: without it a request is refused for the sake of
                # clients without one.
                self._ask_to_close(client)
            else:
                # Slow senders must not keep the others out: the first of them gets a 503.
                slow = next(iter(self.downstream.by_state[READING_REQUEST]), None)
                if slow is not None:
                    self.downstream.refuse(slow, 503, last=True)
                return False
        return self.open <= self.limit + SPARE // 2

    def limit_idle_clients(self, newcomer):
        """Clients that hold on to what they do not use must not keep the others from connecting."""
        most = CLIENT_PART * self.limit
        while sum(map(len, self.downstream.by_state.values())) - self.closing > most:
            client = self._longest_in(NEW, newcomer, YIELD_FRESH) or self._longest_in(
                IDLE, newcomer, YIELD_AFTER
            )
            if client is None:
                return
            self._ask_to_close(client)

    def _longest_in(self, state, newcomer, after=0):
        """Who has been in this state for longest and may yield."""
        if self.open > self.limit + SPARE // 2:
            # One that was just opened or answered may bring a request as it is closed, and that
            # would be lost: it stays for a while, unless the descriptors beyond the budget are in
            # use as well.
            after = 0
        for client in self.downstream.by_state[state]:
            if client is not newcomer and not client.is_closing:
                return client if self.step.now - client.since >= after else None
        return None

    def _ask_to_close(self, client):
        # Not ended outright: a request that the kernel holds for it is taken, and would be lost.
        client.is_closing, self.closing = True, self.closing + 1
        self.step.emit(CloseWhenRead(client, "yielded"))

    def keep_open(self, client):
        """Asked to close, it had something unread: it is served, and closed after its response."""
        if client.is_closing:
            client.is_closing, self.closing = False, self.closing - 1
            # Where descriptors are left it was in use, and only the event loop was late to see it.
            client.last = client.last or self.open > self.limit
