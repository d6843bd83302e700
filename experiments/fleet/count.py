"""Sums the counters in the logs of a fleet's nodes: `python experiments/fleet/count.py FOLDER` reads *.log in it.

Prints a row per second with the counters of all nodes together, then how far apart the nodes received changes of
the endpoint list, and the backends with the most failed attempts. Counters of a single node are not shown, as
only their sum over the fleet matters.
"""

import pathlib
import sys
from collections import Counter, defaultdict

import orjson

COLUMNS = (
    "attempts",
    "trials",
    "health_checks",
    "connections_opened",
    "connections_refused",
    "discovery_losses",
    "endpoint_polls",
    "request_rejected",
    "request_failed",
)
MAX_BACKENDS_SHOWN = 10  # those with the most failed attempts


class UnusableLogError(ValueError):
    """A log that cannot be read; the message names the file and the line."""


def read_events(folder):
    """Returns the events of all logs by time; text before the JSON object is from the log collector."""
    paths = sorted(pathlib.Path(folder).glob("*.log"))
    if not paths:
        raise UnusableLogError(f"{folder} contains no *.log file")
    events = []
    for path in paths:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            begin = line.find(b'{"')
            if begin < 0:
                continue  # Not from the node but from a shell or an interpreter.
            try:
                event = orjson.loads(line[begin:])
            except ValueError:
                raise UnusableLogError(f"{path}:{number} is not a JSON object") from None
            if "at_ms" in event:
                events.append(event)
    if not events:
        raise UnusableLogError(f"{folder}: the logs contain no event of a node")
    return sorted(events, key=lambda event: event["at_ms"])


def report_lines(events):
    """Yields the lines of the report."""
    begin = events[0]["at_ms"]
    counters, started, failed_attempts = defaultdict(Counter), Counter(), defaultdict(Counter)
    received_at = defaultdict(dict)  # time in ms by (backend, state) and node
    for event in events:
        second = int((event["at_ms"] - begin) // 1000)
        if event["event"] == "counters":
            counters[second].update({name: event.get(name, 0) for name in COLUMNS})
        elif event["event"] == "started":
            started[second] += 1
        elif event["event"] == "attempt_failed":
            failed_attempts[event["backend"]][event["node"]] += 1
        elif event["event"] == "endpoints_updated":
            for name, state in event["changed"]:
                received_at[name, state].setdefault(event["node"], event["at_ms"])
    yield "second  started  " + "  ".join(COLUMNS)
    for second in sorted({*counters, *started}):
        cells = [f"{counters[second][name]:{len(name)}d}" for name in COLUMNS]
        yield f"{second:6d}  {started[second]:7d}  " + "  ".join(cells)
    spans = sorted(
        (max(times.values()) - min(times.values()), len(times)) for times in received_at.values()
    )
    if spans:
        median, (longest, _) = spans[len(spans) // 2][0], spans[-1]
        yield (
            f"endpoint list changes: {len(spans)}, received by {min(n for _, n in spans)} to "
            f"{max(n for _, n in spans)} nodes; first to last node {median:.0f} ms median, "
            f"{longest:.0f} ms maximum"
        )
    worst = sorted(failed_attempts.items(), key=lambda item: (-item[1].total(), item[0]))
    for name, nodes in worst[:MAX_BACKENDS_SHOWN]:
        yield f"failed at {name}: {nodes.total()} attempts of {len(nodes)} nodes"


def main(arguments):
    """Prints the report of the folder in `arguments`; returns the exit code."""
    if len(arguments) != 1:
        print("usage: count.py FOLDER", file=sys.stderr)
        return 2
    try:
        for line in report_lines(read_events(arguments[0])):
            print(line)
    except (UnusableLogError, OSError, KeyError, TypeError, ValueError) as error:
        print(f"count.py: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
