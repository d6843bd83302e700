"""The file descriptor budget: how many connections may be open, and which are closed first."""

from pierglade.proxy.state.connections import (
    IDLE,
    LINGERING,
    NEW,
    READING_REQUEST,
)
from pierglade.proxy.state.constants import (
    DISCOVERY_DESCRIPTORS,
    LOG_INTERVAL,
    RESERVED_DESCRIPTORS,
)
from pierglade.proxy.state.effects import CloseWhenRead

# Times are tenths of a millisecond.

# Fraction of the descriptor limit that clients may use; beyond it, idle clients are closed, the
# longest idle first.
MAX_CLIENT_RATIO = 0.25
MIN_IDLE_BEFORE_CLOSE = 1000  # 100 ms; a connection idle for less is likely to be used soon
# Most clients that connect at once where the limit is reached: else a crowd would wait for seconds
# to be rejected. Each takes a descriptor before that of the client it replaces is free.
MAX_REPLACEMENTS = 8
MIN_USABLE = 4  # descriptors for connections, however low the limit of the process is
WAITING_CLIENT = object()  # stands for a client that is not accepted yet
MIN_SILENCE_BEFORE_CLOSE = 200  # 20 ms; a normal client sends its first request earlier


class DescriptorBudget:
    """Keeps downstream and upstream connections within the limit of open descriptors."""

    def __init__(self, step, timers, limit, sole_process):
        self.step = step
        self.timers = timers
        self.full_limit = limit - RESERVED_DESCRIPTORS
        # During a takeover two processes share the node's limit, and each uses at most half.
        self.limit = self.full_limit // (1 if sole_process else 2)
        self.spare_count = 0  # descriptors beyond the limit, where memory sets it
        self.open_count = 0  # downstream and upstream connections
        self.closing_count = 0  # clients whose close was requested
        self.unreleased_count = 0  # closed connections whose descriptors are still in use
        self.admission = None  # the ConnectionAdmission; None: no limits
        # Since the last log line: clients that found no free descriptor, and rejected connections.
        self.exhausted_count = self.rejected_count = 0

    def set_dependencies(self, downstream, upstream):
        """Sets the components that are created after this one."""
        self.downstream = downstream
        self.upstream = upstream

    def count_exhausted(self):
        """Counts a client that found no free descriptor."""
        if not self.exhausted_count:
            self.timers.schedule(self.step.now + LOG_INTERVAL, self._log_exhausted, None)
        self.exhausted_count += 1

    def _log_exhausted(self, _):
        self.step.log(
            "descriptors_exhausted",
            clients=self.exhausted_count,
            upstream={
                state.value: len(connections)
                for state, connections in self.upstream.by_state.items()
            },
            downstream={
                state.value: len(connections)
                for state, connections in self.downstream.by_state.items()
            },
        )
        self.exhausted_count = 0

    def admits(self, now, address):
        """Returns whether a client may connect; called only where connection limits are set."""
        if self.admission.admit(now, address, self.limit) is None:
            return True
        if not self.rejected_count:
            self.timers.schedule(now + LOG_INTERVAL, self._log_rejected, None)
        self.rejected_count += 1
        return False

    def _log_rejected(self, _):
        self.rejected_count = 0
        reasons, addresses = (
            self.admission.take_rejections() if self.admission is not None else ({}, [])
        )
        self.step.log("connections_rejected", reason=reasons, addresses=dict(addresses))

    def max_new_clients(self, maximum):
        """Returns how many clients, up to `maximum`, may connect before ended ones are closed.

        Each may need an upstream connection too. Some may exceed the limit: they are closed after
        their first response. 0: all descriptors are in use.
        """
        free = self.limit - self.open_count
        excess = min(MAX_REPLACEMENTS, (RESERVED_DESCRIPTORS + self.spare_count) // 4)
        wanted = max(1, min(maximum, max(free // 2, min(excess, free + excess))))
        return max(0, min(wanted, self._unused_descriptors()))

    def _unused_descriptors(self):
        # Each process of an upgrade has all of its descriptors; half is what its clients may keep.
        usable = self.full_limit + RESERVED_DESCRIPTORS - DISCOVERY_DESCRIPTORS + self.spare_count
        return max(usable, MIN_USABLE) - self.open_count - self.unreleased_count

    def is_over_reserve(self):
        """Returns whether so many connections exceed the limit that requests are only rejected."""
        return self.open_count > self.limit + RESERVED_DESCRIPTORS // 2

    def connection_waiting(self):
        """Closes the least needed connections, as a client can't be accepted without."""
        self.free_descriptors(WAITING_CLIENT)

    def free_descriptors(self, newcomer):
        """Closes the least needed connections; returns whether there is a free descriptor.

        `newcomer`: the connection that the descriptor is for, which is kept; None: an upstream one.
        """
        while self.open_count - self.closing_count > self.limit:
            # Closed first are clients that got their last response, then clients that connected but
            # sent nothing, of which there may be hundreds.
            if (client := self._longest_waiting(LINGERING, newcomer)) is not None:
                self.downstream.close(client, "yielded")
            elif (
                client := self._longest_waiting(NEW, newcomer, MIN_SILENCE_BEFORE_CLOSE)
            ) is not None:
                self._request_close(client)
            elif (connection := next(iter(self.upstream.by_state[IDLE]), None)) is not None:
                self.upstream.close(connection, "yielded")
            elif (
                client := self._longest_waiting(IDLE, newcomer, MIN_IDLE_BEFORE_CLOSE)
            ) is not None:
                self._request_close(client)
            elif newcomer is None and (
                client := self._longest_waiting(NEW, None) or self._longest_waiting(IDLE, None)
            ):
                # The descriptor is for an upstream connection. Without it, a request would be
                # rejected while clients without a request stay connected.
                self._request_close(client)
            else:
                # Slow senders must not block other clients: the request that has been arriving for
                # the longest time gets a 503.
                slow = next(iter(self.downstream.by_state[READING_REQUEST]), None)
                if slow is not None:
                    self.downstream.reject_last(slow)
                return False
        return not self.is_over_reserve() and self._unused_descriptors() >= 0

    def limit_idle_clients(self, newcomer):
        """Closes idle clients if clients use too many descriptors, so that others can connect."""
        max_clients = MAX_CLIENT_RATIO * self.limit
        while sum(map(len, self.downstream.by_state.values())) - self.closing_count > max_clients:
            client = self._longest_waiting(
                NEW, newcomer, MIN_SILENCE_BEFORE_CLOSE
            ) or self._longest_waiting(IDLE, newcomer, MIN_IDLE_BEFORE_CLOSE)
            if client is None:
                return
            self._request_close(client)

    def _longest_waiting(self, state, newcomer, after=0):
        """Returns the client that has been in a state longest, if that is `after` ticks or more."""
        if self.is_over_reserve():
            # The reserved descriptors are in use as well, so there is no minimum time. Usually
            # there is one: a client that just connected or got a response may send a request while
            # its connection is being closed, and that request would be lost.
            after = 0
        for client in self.downstream.by_state[state]:
            if client is not newcomer and not client.is_closing:
                return client if self.step.now - client.since >= after else None
        return None

    def _request_close(self, client):
        # The connection is closed only if it has no unread bytes: a request in the kernel's buffer
        # would be lost.
        client.is_closing, self.closing_count = True, self.closing_count + 1
        self.step.emit(CloseWhenRead(client, "yielded"))

    def cancel_close(self, client):
        """Cancels the close of a client with unread bytes.

        Over the limit, the client is closed after its next response instead.
        """
        if client.is_closing:
            client.is_closing, self.closing_count = False, self.closing_count - 1
            # Within the limit it stays open: it was in use, which the event loop noticed late.
            client.last = client.last or self.open_count > self.limit
