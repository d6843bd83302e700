"""Logs periodically what the process uses, and how many responses it sent by status.

The event log has one line for each event; this module covers what has none: memory, CPU time, open
connections, and responses that are too frequent for a line each, such as rejections of a flood.
"""

import os
import time
from collections import Counter

import gevent

LOG_INTERVAL_S = 2.0
MAX_REASON_BYTES = 80  # of a response's reason in the log; part of it may come from the client
CLIENT_ERROR = ord("4")  # first character of a status
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes; 0 if the kernel does not tell."""
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except OSError:
        return 0  # No descriptor is free.


class ProcessMonitor:
    """Counts responses, and logs them with the resources of the process while it is in use."""

    def __init__(self, server):
        self.server = server
        self.responses = Counter()  # sent since the last line, by status
        self.reasons = {}  # the first reason since the last line, by status
        self.departed_clients = 0  # clients since the last line that had left when accepted
        self.cpu_ns = time.process_time_ns()
        self.logged_at_ns = time.monotonic_ns()

    def response_sent(self, head: bytes, body):
        """Counts a response by the status in its head; the body of an error is its reason."""
        status = head[9:12]
        self.responses[status] += 1
        if status[0] == CLIENT_ERROR and status not in self.reasons:
            self.reasons[status] = bytes(body[:MAX_REASON_BYTES]).decode("latin-1").strip()

    def rejections_sent(self, count: int = 1):
        """Counts rejections that were sent without a state change."""
        self.responses[b"503"] += count

    def run(self):
        """Logs a line each LOG_INTERVAL_S in which responses were sent or connections are open."""
        while True:
            gevent.sleep(LOG_INTERVAL_S)
            if self.responses or self.server.state_machine.descriptors.open_count:
                self.log()

    def log(self):
        """Logs the resources in use, and the responses since the last line."""
        state_machine = self.server.state_machine
        now_ns, cpu_ns = time.monotonic_ns(), time.process_time_ns()
        self.server.note(
            "resources",
            memory_mb=round(resident_bytes() / (1 << 20), 1),
            buffered_kb=self.server.budget.reserved >> 10,
            cpu_ratio=round((cpu_ns - self.cpu_ns) / max(1, now_ns - self.logged_at_ns), 2),
            recent_ids=len(state_machine.requests.ids),
            departed_clients=self.departed_clients,
            downstream=_counts(state_machine.downstream.by_state),
            upstream=_counts(state_machine.upstream.by_state),
            responses={status.decode(): count for status, count in self.responses.items()},
            reasons={status.decode(): reason for status, reason in self.reasons.items()},
        )
        self.responses, self.reasons, self.departed_clients = Counter(), {}, 0
        self.cpu_ns, self.logged_at_ns = cpu_ns, now_ns


def _counts(by_state):
    return {state.value: len(each) for state, each in by_state.items() if each}
