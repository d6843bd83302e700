"""The events of the log: their levels, meanings and fields, and a log that filters by them.

`docs/operate/log.md` is generated from `EVENTS` by `python -m pierglade.config.logged`; a test
compares the page and the sources with it. Each line also has `at_ms` (Unix time), `node` and
`event`.
"""

import sys

from pierglade.proxy.logging import Log

LEVELS = ("debug", "info", "warning", "error")
COLOURS = {"debug": "\033[2m", "info": "", "warning": "\033[33m", "error": "\033[31m"}
RESET_COLOUR = "\033[0m"

# Event: (level, meaning, fields).
EVENTS = {
    "started": ("info", "the node listens and serves requests", "listen"),
    "stopped": ("info", "no request is pending; the process exits", ""),
    "stopping": (
        "info",
        "SIGTERM was received; connections are accepted for another 0.7 s, then no more",
        "pending, successor_running",
    ),
    "standby": ("info", "an operator puts the node on standby; it drains", "pending"),
    "active": ("info", "an operator makes the node active again", "pending"),
    "sole_process": ("info", "the process that served this address before has exited", ""),
    "config_reloaded": (
        "info",
        "SIGHUP was received; the configuration was applied",
        "discovery, discovery_moved, needs_restart",
    ),
    "config_rejected": (
        "error",
        "SIGHUP was received; the configuration has errors, the one in force remains",
        "error",
    ),
    "settings_applied": (
        "info",
        "new settings apply to requests that are received from now on; with `quotas`, only the "
        "quotas of that many tenants changed",
        "pending, quotas",
    ),
    "settings_retired": ("info", "no request under the earlier settings is pending", ""),
    "endpoints_updated": (
        "info",
        "the endpoint list changed",
        "version, whole, changed, more",
    ),
    "endpoints_rejected": (
        "warning",
        "a message from discovery is invalid; the whole list is requested",
        "error",
    ),
    "discovery_lost": (
        "warning",
        "discovery is unreachable; the last list remains in force",
        "error",
    ),
    "counters": (
        "info",
        "counts of the last second, once a second",
        "attempts, trials, health_checks, endpoint_polls, request_rejected, request_failed, "
        "connections_opened, connections_refused, connections_skipped, discovery_losses",
    ),
    "request_rejected": (
        "info",
        "a request got a 503 response: it was not executed, or is safe to retry",
        "request_class, attempts, latency_ms, deadline_ms, outcomes, request_id",
    ),
    "request_failed": (
        "warning",
        "a request got a 504 response: it may have been executed",
        "request_class, attempts, latency_ms, deadline_ms, outcomes, request_id",
    ),
    "request_succeeded": (
        "info",
        "a request succeeded late or with more than one attempt; other successes are not logged",
        "request_class, attempts, latency_ms, backend, request_id",
    ),
    "client_error": (
        "info",
        "the backend rejected the request as faulty",
        "request_class, attempts, latency_ms, backend, request_id",
    ),
    "attempt_failed": (
        "warning",
        "an attempt failed; of a request body that was streamed, what was read, what of that was "
        "taken for sending, and whether it was read to its end",
        "backend, reason, outcome, request_id, body_bytes, body_bytes_taken, body_complete, or "
        "backend, status, unexecuted, request_id",
    ),
    "unsolicited_bytes": (
        "warning",
        "a backend sent bytes that answer no request, such as a second response; its connections "
        "rest for longer, until 60 s after the last of them",
        "backend",
    ),
    "deadline_overrun": (
        "error",
        "a request was still pending 2.5 ms before its deadline and failed; a bug in pierglade",
        "request_id",
    ),
    "downstream_closed": (
        "debug",
        "a connection from a client was closed; `request_id` where a request was pending",
        "reason, state, request_id",
    ),
    "upstream_closed": (
        "debug",
        "a connection to a backend was closed; `request_id` where an attempt was on it",
        "reason, backend, state, request_id",
    ),
    "resources": (
        "info",
        "what the process uses, every 2 s while it is in use: resident memory, buffered bodies, "
        "share of one core, ids in use, clients that had left when they were accepted, connections "
        "by state, responses by status since the last such line, and the first reason of each 4xx "
        "status",
        "memory_mb, buffered_kb, cpu_ratio, recent_ids, departed_clients, downstream, upstream, "
        "responses, reasons",
    ),
    "load_shed": (
        "warning",
        "the node is short of CPU; number of requests rejected unread within a second",
        "requests",
    ),
    "descriptors_exhausted": (
        "warning",
        "no file descriptors were left; number of clients affected within a second",
        "clients, upstream, downstream",
    ),
    "connections_rejected": (
        "warning",
        "connections rejected within a second, as over a limit or from blocked addresses",
        "reason, addresses",
    ),
    "ids_not_shared": (
        "warning",
        "the other process of an upgrade can't be told which requests were sent; tried again",
        "error",
    ),
    "snapshot_restored": (
        "info",
        "learned statistics were restored from a snapshot at the start",
        "file, summary",
    ),
    "snapshot_rejected": (
        "warning",
        "a snapshot is corrupt or untrusted; the previous one is tried, if any",
        "error",
    ),
    "snapshot_write_failed": (
        "warning",
        "a snapshot could not be written; it is retried with backoff",
        "error",
    ),
    "event_loop_lag": ("warning", "an iteration of the event loop was late", "lag_ms"),
    "accept_failed": ("error", "a connection could not be accepted", "error"),
    "internal_error": (
        "error",
        "a bug in pierglade; the request concerned still gets a response",
        "error, traceback",
    ),
    "log_lines_dropped": (
        "warning",
        "the reader of the log is too slow; number of lines that were dropped",
        "lines",
    ),
}
# Old event name: new name, for searches in logs of earlier versions.
RENAMED = {
    "bounce": "request_rejected",
    "give up": "request_failed",
    "settled": "request_succeeded",
    "rejected": "client_error",
    "trip lost": "attempt_failed",
    "list": "endpoints_updated",
    "list refused": "endpoints_rejected",
    "discovery lost": "discovery_lost",
    "configuration read": "config_reloaded",
    "configuration refused": "config_rejected",
    "settings loaded": "settings_applied",
    "earlier settings left": "settings_retired",
    "counts": "counters",
    "overdue": "deadline_overrun",
    "client ended": "downstream_closed",
    "backend link ended": "upstream_closed",
    "pressed": "load_shed",
    "crowded": "descriptors_exhausted",
    "turned away": "connections_rejected",
    "remembered": "snapshot_restored",
    "snapshot refused": "snapshot_rejected",
    "not kept": "snapshot_write_failed",
    "late": "event_loop_lag",
    "accept failed": "accept_failed",
    "fault": "internal_error",
    "log dropped": "log_lines_dropped",
    "alone": "sole_process",
}
# Old field name: new name, and the events that have it if not all do.
RENAMED_FIELDS = {
    "offering": "request_class",
    "trips": "attempts",
    "ms": "latency_ms; of event_loop_lag lag_ms",
    "of_ms": "deadline_ms",
    "ends": "outcomes, with the new names of outcomes",
    "never_ran": "unexecuted",
    "owed": "pending",
    "followed": "successor_running",
    "moved": "discovery_moved",
    "shares": "quotas",
    "index": "version",
    "why": "error; of connections_rejected reason",
    "what, where": "error, traceback; of snapshot_restored summary",
    "bounced": "requests",
    "links": "upstream",
    "state": "state, with new values: fresh is new, reading is reading_request, owed is "
    "awaiting_response, writing is writing_response, ended is closed",
}


class FilteredLog(Log):
    """A log that drops events below a level, and samples those below warning.

    Args:
        fd: The file descriptor to write to.
        name: The name of the node.
        level: The lowest level that is written.
        sampling: The fraction of the lines below warning that are written.
        readable: Whether lines are plain text instead of JSON objects.
        colours: Whether readable lines are coloured by level.
    """

    def __init__(
        self,
        fd: int,
        name: str,
        level: str = "debug",
        sampling: float = 1.0,
        readable: bool = False,
        colours: bool = False,
    ):
        super().__init__(fd, name)
        min_level = LEVELS.index(level)
        self.written = frozenset(
            event
            for event, (event_level, _, _) in EVENTS.items()
            if LEVELS.index(event_level) >= min_level
        )
        self.sampled = frozenset(
            event for event, (event_level, _, _) in EVENTS.items() if LEVELS.index(event_level) < 2
        )
        self.sampling, self.sampling_sum = sampling, 0.0
        self.readable, self.colours = readable, colours

    def line(self, now: int, event: str, **fields):
        """Writes the line of an event unless it is filtered out."""
        if event not in self.written:
            return
        if self.sampling < 1 and event in self.sampled:
            self.sampling_sum += self.sampling
            if self.sampling_sum < 1:
                return
            self.sampling_sum -= 1
        super().line(now, event, **fields)

    def text(self, now: int, event: str, fields: dict) -> bytes:
        """Formats the line of an event, as JSON or as readable text."""
        if not self.readable:
            return super().text(now, event, fields)
        seconds = now // 10000 % 86400
        details = " ".join(
            f"{key}={value}" for key, value in fields.items() if value not in (None, "", [])
        )
        level = EVENTS[event][0]
        prefix, suffix = (
            (COLOURS[level], RESET_COLOUR) if self.colours and COLOURS[level] else ("", "")
        )
        clock = (
            f"{seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02}.{now // 10 % 1000:03}"
        )
        return (f"{prefix}{clock} {level:7} {event:22} {details}{suffix}").rstrip().encode()


def page() -> str:
    """Returns the text of docs/operate/log.md."""
    lines = [
        "# The node's log",
        "",
        "Generated from `pierglade/config/logged.py` by `python -m "
        "pierglade.config.logged`; a test compares",
        "the two. A line is a JSON object with `at_ms` (Unix time), `node`, "
        "`event` and the fields below;",
        "on a terminal `pierglade serve` writes readable lines. `[log]` in the "
        "operator's file sets",
        "`level` (lines below it are not written), `sampling` (the fraction of the lines below",
        "warning that are written) and `form`.",
        "",
        "| event | level | meaning | fields |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| `{event}` | {level} | {meaning} | {fields} |"
        for event, (level, meaning, fields) in EVENTS.items()
    ]
    lines += [
        "",
        "## Names of earlier versions",
        "",
        "| earlier event | current event |",
        "| --- | --- |",
        *(f"| `{old}` | `{new}` |" for old, new in RENAMED.items()),
        "",
        "| earlier field | current field |",
        "| --- | --- |",
        *(f"| `{old}` | {new} |" for old, new in RENAMED_FIELDS.items()),
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(page())
