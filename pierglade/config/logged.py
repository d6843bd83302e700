"""The events of a node's log: at which level each is, what it tells, and its fields. One list.

`docs/operate/log.md` is made from it by `python -m pierglade.config.logged`; a test holds the page and the
node's sources to it. Each line has `at_ms` (Unix time), `node` and `event` besides.
"""

import sys

from pierglade.proxy.logging import Log

LEVELS = ("debug", "info", "warning", "error")
COLOURS = {"debug": "\033[2m", "info": "", "warning": "\033[33m", "error": "\033[31m"}
PLAIN = "\033[0m"

# event: (level, what it tells, fields)
EVENTS = {
    "started": ("info", "it listens and serves", "listen"),
    "stopped": ("info", "nothing is owed any more; it exits", ""),
    "stopping": ("info", "SIGTERM: new clients for 0.7 s, then none", "owed, followed"),
    "standby": ("info", "operators empty it", "owed"),
    "active": ("info", "operators have it back to work", "owed"),
    "alone": ("info", "the process that served here before has ended", ""),
    "configuration read": ("info", "SIGHUP: the file was taken", "discovery, moved, needs_restart"),
    "configuration refused": (
        "error",
        "SIGHUP: the file can't be used; all stays as it was",
        "why",
    ),
    "settings loaded": (
        "info",
        "new settings hold for what comes from now on; with `shares`, only those of "
        "so many tenants were changed",
        "owed, shares",
    ),
    "earlier settings left": ("info", "nothing of the settings before is owed any more", ""),
    "list": ("info", "what has changed on the list", "index, whole, changed, more"),
    "list refused": (
        "warning",
        "a message of discovery can't be used; the whole list is asked for",
        "why",
    ),
    "discovery lost": ("warning", "discovery says nothing; the last list stands", "why"),
    "counts": (
        "info",
        "once a second, what was done in it",
        "trips, trials, probes, bounce, give up, links "
        "opened, links refused, links passed over, no word, asked again",
    ),
    "bounce": ("info", "refused, and trying again is harmless", "offering, trips, ms, of_ms, ends"),
    "give up": ("warning", "refused, and it may have run", "offering, trips, ms, of_ms, ends"),
    "settled": (
        "info",
        "late, or by more than one trip; what went well leaves no line",
        "offering, trips, ms, backend",
    ),
    "rejected": (
        "info",
        "the backend found fault with the request itself",
        "offering, trips, ms, backend",
    ),
    "trip lost": (
        "warning",
        "a trip came to nothing",
        "backend, reason, outcome, or backend, status, never_ran",
    ),
    "overdue": ("error", "still owed 2.5 ms before its limit, and given up: a fault of ours", ""),
    "client ended": ("debug", "a client's connection has ended", "reason, state"),
    "backend link ended": (
        "debug",
        "a connection to a backend has ended",
        "reason, backend, state",
    ),
    "pressed": ("warning", "short of its core, it bounced unseen, so many in a second", "bounced"),
    "crowded": (
        "warning",
        "clients that found no descriptor left, in a second",
        "clients, links and states",
    ),
    "turned away": ("warning", "connections over a cap or shut out, in a second", "why, addresses"),
    "remembered": ("info", "what was taken back from a snapshot at the start", "file, what"),
    "snapshot refused": (
        "warning",
        "a snapshot that can't be believed; the one before is tried, or none",
        "why",
    ),
    "not kept": (
        "warning",
        "what was learned can't be written; tried again later each time",
        "why",
    ),
    "late": ("warning", "the loop came round late", "ms"),
    "accept failed": ("error", "no connection could be taken", "why"),
    "fault": ("error", "a fault of ours; what it was about is answered", "what, where"),
    "log dropped": (
        "warning",
        "whoever reads the log is slow; so many lines were not written",
        "lines",
    ),
}


class Chosen(Log):
    """A log that leaves out what is below a level, and all but a share of what is below warning.

    `readable`: a line for people instead of a JSON object, with `colours` or without.
    """

    def __init__(self, fd, name, level="debug", sampling=1.0, readable=False, colours=False):
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

    def line(self, now, event, **fields):
        if event not in self.written:
            return
        if self.sampling < 1 and event in self.sampled:
            self.sum += self.sampling
            if self.sum < 1:
                return
            self.sum -= 1
        super().line(now, event, **fields)

    def text(self, now, event, fields):
        if not self.readable:
            return super().text(now, event, fields)
        seconds = now // 10000 % 86400
        told = " ".join(
            f"{key}={value}" for key, value in fields.items() if value not in (None, "", [])
        )
        level = EVENTS[event][0]
        before, after = (COLOURS[level], PLAIN) if self.colours and COLOURS[level] else ("", "")
        clock = (
            f"{seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02}.{now // 10 % 1000:03}"
        )
        return (f"{before}{clock} {level:7} {event:22} {told}{after}").rstrip().encode()


def page():
    """docs/operate/log.md as text."""
    lines = [
        "# The node's log",
        "",
        "Made from `pierglade/config/logged.py` by `python -m pierglade.config.logged`; a test holds it",
        "to that. A line is a JSON object: `at_ms` (Unix time), `node`, `event` and the fields below;",
        "on a terminal `pierglade serve` writes readable lines. `[log]` in the operator's file sets",
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
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(page())
