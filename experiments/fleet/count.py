"""Adds up what the nodes of a fleet did: `python experiments/fleet/count.py FOLDER` reads every *.log in it.

Prints a row a second with what all nodes counted together, then how late the nodes heard of changes of the
list, and the backends that most trips were lost at. What one node does is never shown: it is harmless alone.
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
LOST_MOST = 10  # backends that are shown; the worst


class Unusable(ValueError):
    """What cannot be read, with its place."""


def events(folder):
    """All lines of all logs in order; what stands before the object is whoever collected the logs."""
    paths = sorted(pathlib.Path(folder).glob("*.log"))
    if not paths:
        raise Unusable(f"{folder}: no file *.log")
    found = []
    for path in paths:
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            begin = line.find(b'{"')
            if begin < 0:
                continue  # Not the node's: a shell's or an interpreter's word.
            try:
                event = orjson.loads(line[begin:])
            except ValueError:
                raise Unusable(f"{path}:{number}: no JSON object") from None
            if "at_ms" in event:
                found.append(event)
    if not found:
        raise Unusable(f"{folder}: no line of a node")
    return sorted(found, key=lambda event: event["at_ms"])


def table(found):
    """Lines to print."""
    begin = found[0]["at_ms"]
    done, started, lost = defaultdict(Counter), Counter(), defaultdict(Counter)
    heard = defaultdict(dict)  # (backend, state) to node to when
    for event in found:
        second = int((event["at_ms"] - begin) // 1000)
        if event["event"] == "counters":
            done[second].update({name: event.get(name, 0) for name in COLUMNS})
        elif event["event"] == "started":
            started[second] += 1
        elif event["event"] == "attempt_failed":
            lost[event["backend"]][event["node"]] += 1
        elif event["event"] == "endpoints_updated":
            for name, state in event["changed"]:
                heard[name, state].setdefault(event["node"], event["at_ms"])
    yield "second  started  " + "  ".join(COLUMNS)
    for second in sorted({*done, *started}):
        cells = [f"{done[second][name]:{len(name)}d}" for name in COLUMNS]
        yield f"{second:6d}  {started[second]:7d}  " + "  ".join(cells)
    spans = sorted((max(at.values()) - min(at.values()), len(at)) for at in heard.values())
    if spans:
        middle, (longest, _) = spans[len(spans) // 2][0], spans[-1]
        yield (
            f"changes of the list: {len(spans)}, heard by {min(n for _, n in spans)} to "
            f"{max(n for _, n in spans)} nodes; first to last node {middle:.0f} ms in the middle, "
            f"{longest:.0f} ms at most"
        )
    worst = sorted(lost.items(), key=lambda item: (-item[1].total(), item[0]))
    for name, nodes in worst[:LOST_MOST]:
        yield f"lost at {name}: {nodes.total()} attempts of {len(nodes)} nodes"


def main(arguments):
    if len(arguments) != 1:
        print("usage: count.py FOLDER", file=sys.stderr)
        return 2
    try:
        for line in table(events(arguments[0])):
            print(line)
    except (Unusable, OSError, KeyError, TypeError, ValueError) as fault:
        print(f"count.py: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
