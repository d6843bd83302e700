"""Arithmetic of docs/CAPACITY.md: what follows at the target from the parts that slopes.py measured.

.venv/bin/python experiments/capacity/derive.py experiments/capacity/results/untouched.json
"""

import json
import pathlib
import sys

NODES, BACKENDS, SERVICES, RATE, TENANTS = 720, 6800, 210, 170000, 47000
CHANGES, RESTARTS, FAILURES, DAY = 760, 1700, 18, 86400
LINES = 3  # of the list for a restart: draining, gone, back; a failure has the last two or fewer
FORCE, BYTES, CORE, CONTROL, ZONES, REGIONS = 13, 9000, 0.022, 3, 10, 3
IN_VIEW_S, FEWEST = 0.25, 2  # as pierglade/balancer/rotation.py has them
PACKET = 40  # bytes of IP and TCP heads; twice for what is answered by a bare acknowledgement
LINE_MOST = 1 << 22  # bytes, as pierglade/proxy/discovery.py has it; 1 << 20 at 6b0dd7b


def main(path):
    result = json.loads(pathlib.Path(path).read_text())
    whole = [row for row in result["rows"] if row["axis"] == "all" and "failed" not in row]
    least = [row for row in result["rows"] if row["axis"] == "least" and "failed" not in row]

    def at(name, rows=whole):
        return sum(row[name] for row in rows) / len(rows)

    rate, file, listed, line = (
        RATE / NODES,
        at("file_bytes"),
        at("list_bytes"),
        at("difference_bytes"),
    )
    zone = BACKENDS / ZONES
    share = line  # a difference of one tenant's share is taken for as long as one of the list
    lines = (RESTARTS + FAILURES) * LINES

    def say(what, figure, unit="", budget=None):
        ratio = f"  x{figure / budget:.3g} of {budget:g}" if budget else ""
        print(f"{what:72} {figure:12,.4g} {unit}{ratio}")

    print("A node, bytes a second")
    say("settings, whole, each change", CHANGES * file / DAY / 1000, "KB/s", BYTES / 1000)
    say("settings, by difference", CHANGES * share / DAY, "B/s", BYTES)
    say(
        "list, by difference, 3 lines a restart or failure",
        lines * (line + 2 * PACKET) / DAY,
        "B/s",
        BYTES,
    )
    say("heartbeats of 2 s with IP and TCP", (at("heartbeat_bytes") + 2 * PACKET) / 2, "B/s", BYTES)
    say("list, whole, how long at the budget", listed / BYTES, "s", FORCE)
    say("list, whole, against the longest line", listed / LINE_MOST, "", 1)
    say("settings, whole, how long at the budget", file / BYTES, "s", FORCE)

    print("A node, processor")
    day = DAY * CORE
    say("settings changes of a day", CHANGES * at("reload_ms") / 1000, "s", day)
    say("list differences of a day", lines * at("state_change_us") / 1e6, "s", day)
    say("requests at the node's rate", rate * at("request_us") / 1e6, "of a core")
    say(
        "  the same at 100 tenants and 32 backends",
        rate * at("request_us", least) / 1e6,
        "of a core",
    )
    say(
        "  the difference",
        rate * (at("request_us") - at("request_us", least)) / 1e6,
        "of a core",
        CORE,
    )
    say(
        "a zone gone: its list differences told one by one",
        zone * at("state_change_us") / 1e6,
        "s",
        FORCE,
    )

    print("Discovery and the control machines")
    say("720 watches opened anew with the whole list", NODES * listed / 1e6, "MB")
    say("  a second, in 13 s, over 3 machines", NODES * listed / 1e6 / FORCE / CONTROL, "MB/s each")
    say("  the same over 2", NODES * listed / 1e6 / FORCE / (CONTROL - 1), "MB/s each")
    say("  making it once a watch", NODES * at("list_encode_ms") / 1000, "s of a core", FORCE)
    say("one change as the whole file to all nodes", NODES * file / 1e6, "MB")
    say("  a second, in 13 s, over 3 machines", NODES * file / 1e6 / FORCE / CONTROL, "MB/s each")
    say("  all day, over 3 machines", CHANGES * NODES * file / DAY / CONTROL / 1e6, "MB/s each")
    say("one change as a difference to all nodes", NODES * (share + PACKET) / 1e3, "KB")
    say(
        "  all day, over 3 machines", CHANGES * NODES * (share + PACKET) / DAY / CONTROL, "B/s each"
    )
    say(
        "list differences all day, over 3 machines",
        lines * NODES * (line + PACKET) / DAY / CONTROL / 1e3,
        "KB/s each",
    )
    say("watches a machine, and with one lost", NODES / CONTROL, f"and {NODES / (CONTROL - 1):.0f}")
    say("a zone gone: lines to all nodes", zone * NODES * line / 1e6, "MB")
    say(
        "  a second, in 13 s, over 3 machines",
        zone * NODES * line / 1e6 / FORCE / CONTROL,
        "MB/s each",
    )
    say(
        "with a relay a zone: the whole list out of the control machines",
        ZONES * listed / 1e6,
        "MB",
    )

    print("A backend as it sees 720 nodes")
    each = BACKENDS / SERVICES
    for name, nodes, per_node, pool in (
        ("one list, one service (today)", NODES, rate, BACKENDS),
        ("all services on each node", NODES, rate / SERVICES, each),
        ("a node group a service", NODES / SERVICES, rate, each),
        ("21 groups of 10 services", NODES / 21, rate / 10, each),
    ):
        view = min(pool, max(FEWEST, int(per_node * IN_VIEW_S)))
        pools = {"all services on each node": SERVICES, "21 groups of 10 services": 10}.get(name, 1)
        say(f"{name}: nodes that see it", nodes * view / pool)
        say("  backends in view of a node", view * pools)
        say("  requests a second of a node to one in view", per_node / view)
        say(
            "  s until 30, 300 and 3,000 samples are there",
            30 * view / per_node,
            f"{300 * view / per_node:.0f} {3000 * view / per_node:.0f}",
        )
    print("Regions")
    say("one region gone: requests a second for the other two", RATE / REGIONS)
    say(
        "  for each of their nodes, before and after", rate, f"{rate * REGIONS / (REGIONS - 1):.0f}"
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
