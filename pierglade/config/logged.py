"""The events of the log, in one table: the level of each, what it means, and its fields.

`docs/operate/log.md` is made from it by `python -m pierglade.config.logged`; a test holds the page
and the sources to it. Each line has `at_ms` (Unix time), `node` and `event` besides.
"""

import sys

from pierglade.proxy.logging import Log

LEVELS = ("debug", "info", "warning", "error")
COLOURS = {"debug": "\033[2m", "info": "", "warning": "\033[33m", "error": "\033[31m"}
PLAIN = "\033[0m"

# event: (level, what it tells, fields)
EVENTS = {
    "started": ("info", "the node listens and serves", "listen"),
    "stopped": ("info", "no request is pending any more; the process exits", ""),
    "stopping": (
        "info",
        "SIGTERM: new connections for 0.7 s, then none",
        "pending, successor_running",
    ),
    "standby": ("info", "operators drain the node", "pending"),
    "active": ("info", "operators have the node back to work", "pending"),
    "sole_process": ("info", "the process that served here before has ended", ""),
    "config_reloaded": (
        "info",
        "SIGHUP: the configuration was taken",
        "discovery, discovery_moved, needs_restart",
    ),
    "config_rejected": (
        "error",
        "SIGHUP: the configuration can't be used; all stays as it was",
        "error",
    ),
    "settings_applied": (
        "info",
        "new settings hold for what comes from now on; with `quotas`, only those of "
        "so many tenants were changed",
        "pending, quotas",
    ),
    "settings_retired": ("info", "no request under the earlier settings is left", ""),
    "endpoints_updated": (
        "info",
        "what has changed on the endpoint list",
        "version, whole, changed, more",
    ),
    "endpoints_rejected": (
        "warning",
        "a message of discovery can't be used; the whole list is asked for",
        "error",
    ),
    "discovery_lost": ("warning", "discovery is not reached; the last list stands", "error"),
    "counters": (
        "info",
        "once a second, what was done in it",
        "attempts, trials, health_checks, endpoint_polls, request_rejected, request_failed, "
        "connections_opened, connections_refused, connections_skipped, discovery_losses",
    ),
    "request_rejected": (
        "info",
        "a request was answered 503: it was not executed, or a retry is harmless",
        "request_class, attempts, latency_ms, deadline_ms, outcomes",
    ),
    "request_failed": (
        "warning",
        "a request was answered 504: it may have been executed",
        "request_class, attempts, latency_ms, deadline_ms, outcomes",
    ),
    "request_succeeded": (
        "info",
        "late, or with more than one attempt; any other success leaves no line",
        "request_class, attempts, latency_ms, backend",
    ),
    "client_error": (
        "info",
        "the backend found fault with the request itself",
        "request_class, attempts, latency_ms, backend",
    ),
    "attempt_failed": (
        "warning",
        "an attempt did not succeed",
        "backend, reason, outcome, or backend, status, unexecuted",
    ),
    "deadline_overrun": (
        "error",
        "a request was still pending 2.5 ms before its deadline, and failed: an error of ours",
        "",
    ),
    "downstream_closed": ("debug", "a client's connection has ended", "reason, state"),
    "upstream_closed": ("debug", "a connection to a backend has ended", "reason, backend, state"),
    "load_shed": (
        "warning",
        "the node is short of CPU; so many requests were rejected unread in a second",
        "requests",
    ),
    "descriptors_exhausted": (
        "warning",
        "clients that found no descriptor left, in a second",
        "clients, upstream, downstream",
    ),
    "connections_rejected": (
        "warning",
        "connections over a limit or shut out, in a second",
        "reason, addresses",
    ),
    "snapshot_restored": (
        "info",
        "what was restored from a snapshot at the start",
        "file, summary",
    ),
    "snapshot_rejected": (
        "warning",
        "a snapshot that can't be believed; the one before is tried, or none",
        "error",
    ),
    "snapshot_write_failed": (
        "warning",
        "the snapshot can't be written; tried again later each time",
        "error",
    ),
    "event_loop_lag": ("warning", "the event loop came round late", "lag_ms"),
    "accept_failed": ("error", "no connection could be accepted", "error"),
    "internal_error": (
        "error",
        "an error of ours; the request that it was about is answered",
        "error, traceback",
    ),
    "log_lines_dropped": (
        "warning",
        "whoever reads the log is slow; so many lines were not written",
        "lines",
    ),
}
# Old event name: new one; for whoever searches logs written by earlier versions.
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
# Old field: new one, and the events that it stands in where not in all.
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
    """A log that drops events below a level, and all but a share of those below warning.

    `readable`: a line for people instead of a JSON object, with `colours` or without.
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
        least = LEVELS.index(level)
        self.written = frozenset(
            event for event, (at, _, _) in EVENTS.items() if LEVELS.index(at) >= least
        )
        self.sampled = frozenset(
            event for event, (at, _, _) in EVENTS.items() if LEVELS.index(at) < 2
        )
        self.sampling, self.sum = sampling, 0.0
        self.readable, self.colours = readable, colours

    def line(self, now: int, event: str, **fields):
        """Adds the line of an event unless it is filtered out."""
        if event not in self.written:
            return
        if self.sampling < 1 and event in self.sampled:
            self.sum += self.sampling
            if self.sum < 1:
                return
            self.sum -= 1
        super().line(now, event, **fields)

    def text(self, now: int, event: str, fields: dict) -> bytes:
        """Returns the line of an event, as JSON or for people."""
        if not self.readable:
            return super().text(now, event, fields)
        seconds = now // 10000 % 86400
        details = " ".join(
            f"{key}={value}" for key, value in fields.items() if value not in (None, "", [])
        )
        level = EVENTS[event][0]
        before, after = (COLOURS[level], PLAIN) if self.colours and COLOURS[level] else ("", "")
        clock = (
            f"{seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02}.{now // 10 % 1000:03}"
        )
        return (f"{before}{clock} {level:7} {event:22} {details}{after}").rstrip().encode()


def page() -> str:
    """Returns the text of docs/operate/log.md."""
    lines = [
        "# The node's log",
        "",
        "Made from `pierglade/config/logged.py` by `python -m "
        "pierglade.config.logged`; a test holds it",
        "to that. A line is a JSON object: `at_ms` (Unix time), `node`, "
        "`event` and the fields below;",
        "on a terminal `pierglade serve` writes readable lines. `[log]` in the "
        "operator's file sets",
        "`level` (what is below it is not written), `sampling` (the share written of what is below",
        "warning) and `form`.",
        "",
        "| event | level | what it tells | fields |",
        "| --- | --- | --- | --- |",
    ]
    lines += [
        f"| `{event}` | {level} | {what} | {fields} |"
        for event, (level, what, fields) in EVENTS.items()
    ]
    lines += [
        "",
        "## Names of earlier versions",
        "",
        "| event before | event now |",
        "| --- | --- |",
        *(f"| `{old}` | `{new}` |" for old, new in RENAMED.items()),
        "",
        "| field before | field now |",
        "| --- | --- |",
        *(f"| `{old}` | {new} |" for old, new in RENAMED_FIELDS.items()),
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(page())
