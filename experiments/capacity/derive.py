"""The calculations of docs/CAPACITY.md: derives the costs at the target from the figures measured by slopes.py.

.venv/bin/python experiments/capacity/derive.py experiments/capacity/results/untouched.json
"""

import json
import pathlib
import sys

NODES, BACKENDS, SERVICES, RATE, TENANTS = 720, 6800, 210, 170000, 47000  # RATE in requests/s
# Settings changes, restarts and failures of backends per day, and seconds per day.
CHANGES, RESTARTS, FAILURES, DAY_S = 760, 1700, 18, 86400
# Lines of the endpoint list per restart: draining, removed, added again; a failure has the last two or fewer.
LINES_PER_RESTART = 3
# Seconds until a change is in force, bytes/s and fraction of a core that a node may use for control.
FORCE_S, BUDGET_BYTES, BUDGET_CORE, CONTROL_MACHINES, ZONES, REGIONS = 13, 9000, 0.022, 3, 10, 3
SUBSET_SPAN_S, MIN_SUBSET = 0.25, 2  # the values in pierglade/balancer/rotation.py
PACKET_BYTES = 40  # IP and TCP headers; counted twice where a bare acknowledgement follows
MAX_LINE_BYTES = 1 << 22  # the value in pierglade/proxy/discovery.py; 1 << 20 at commit 6b0dd7b


def main(path):
    """Prints the derived figures of the result file at `path`, with their ratio to the budget."""
    result = json.loads(pathlib.Path(path).read_text())
    target_rows = [row for row in result["rows"] if row["axis"] == "all" and "failed" not in row]
    least_rows = [row for row in result["rows"] if row["axis"] == "least" and "failed" not in row]

    def mean(name, rows=target_rows):
        return sum(row[name] for row in rows) / len(rows)

    rate, settings_bytes, list_bytes, line_bytes = (
        RATE / NODES,
        mean("file_bytes"),
        mean("list_bytes"),
        mean("difference_bytes"),
    )
    zone = BACKENDS / ZONES
    quota_bytes = (
        line_bytes  # the change of a tenant's quota is assumed as long as a line of the list
    )
    lines = (RESTARTS + FAILURES) * LINES_PER_RESTART

    def report(label, figure, unit="", budget=None):
        ratio = f"  x{figure / budget:.3g} of {budget:g}" if budget else ""
        print(f"{label:72} {figure:12,.4g} {unit}{ratio}")

    print("A node, bytes per second")
    report(
        "settings, whole, each change",
        CHANGES * settings_bytes / DAY_S / 1000,
        "KB/s",
        BUDGET_BYTES / 1000,
    )
    report("settings, as differences", CHANGES * quota_bytes / DAY_S, "B/s", BUDGET_BYTES)
    report(
        "list, as differences, 3 lines per restart or failure",
        lines * (line_bytes + 2 * PACKET_BYTES) / DAY_S,
        "B/s",
        BUDGET_BYTES,
    )
    report(
        "heartbeats every 2 s with IP and TCP headers",
        (mean("heartbeat_bytes") + 2 * PACKET_BYTES) / 2,
        "B/s",
        BUDGET_BYTES,
    )
    report("list, whole, transfer time at the budget", list_bytes / BUDGET_BYTES, "s", FORCE_S)
    report("list, whole, relative to the longest line allowed", list_bytes / MAX_LINE_BYTES, "", 1)
    report(
        "settings, whole, transfer time at the budget", settings_bytes / BUDGET_BYTES, "s", FORCE_S
    )

    print("A node, CPU time")
    budget_s = DAY_S * BUDGET_CORE
    report("settings changes per day", CHANGES * mean("reload_ms") / 1000, "s", budget_s)
    report("list differences per day", lines * mean("state_change_us") / 1e6, "s", budget_s)
    report("requests at the node's rate", rate * mean("request_us") / 1e6, "of a core")
    report(
        "  the same with 100 tenants and 32 backends",
        rate * mean("request_us", least_rows) / 1e6,
        "of a core",
    )
    report(
        "  the difference",
        rate * (mean("request_us") - mean("request_us", least_rows)) / 1e6,
        "of a core",
        BUDGET_CORE,
    )
    report(
        "a zone lost: its list differences received one by one",
        zone * mean("state_change_us") / 1e6,
        "s",
        FORCE_S,
    )

    print("Discovery and the control machines")
    report("720 watches reopened with the whole list", NODES * list_bytes / 1e6, "MB")
    report(
        "  per second, in 13 s, over 3 machines",
        NODES * list_bytes / 1e6 / FORCE_S / CONTROL_MACHINES,
        "MB/s each",
    )
    report(
        "  the same over 2",
        NODES * list_bytes / 1e6 / FORCE_S / (CONTROL_MACHINES - 1),
        "MB/s each",
    )
    report(
        "  encoding it once per watch",
        NODES * mean("list_encode_ms") / 1000,
        "s of a core",
        FORCE_S,
    )
    report("one change as the whole file to all nodes", NODES * settings_bytes / 1e6, "MB")
    report(
        "  per second, in 13 s, over 3 machines",
        NODES * settings_bytes / 1e6 / FORCE_S / CONTROL_MACHINES,
        "MB/s each",
    )
    report(
        "  all day, over 3 machines",
        CHANGES * NODES * settings_bytes / DAY_S / CONTROL_MACHINES / 1e6,
        "MB/s each",
    )
    report(
        "one change as a difference to all nodes", NODES * (quota_bytes + PACKET_BYTES) / 1e3, "KB"
    )
    report(
        "  all day, over 3 machines",
        CHANGES * NODES * (quota_bytes + PACKET_BYTES) / DAY_S / CONTROL_MACHINES,
        "B/s each",
    )
    report(
        "list differences all day, over 3 machines",
        lines * NODES * (line_bytes + PACKET_BYTES) / DAY_S / CONTROL_MACHINES / 1e3,
        "KB/s each",
    )
    report(
        "watches per machine, and with one machine lost",
        NODES / CONTROL_MACHINES,
        f"and {NODES / (CONTROL_MACHINES - 1):.0f}",
    )
    report("a zone lost: lines to all nodes", zone * NODES * line_bytes / 1e6, "MB")
    report(
        "  per second, in 13 s, over 3 machines",
        zone * NODES * line_bytes / 1e6 / FORCE_S / CONTROL_MACHINES,
        "MB/s each",
    )
    report(
        "with a relay per zone: the whole list sent by the control machines",
        ZONES * list_bytes / 1e6,
        "MB",
    )

    print("A backend and the 720 nodes")
    backends_per_service = BACKENDS / SERVICES
    for name, nodes, node_rate, pool in (
        ("one list, one service (today)", NODES, rate, BACKENDS),
        ("all services on each node", NODES, rate / SERVICES, backends_per_service),
        ("a node group per service", NODES / SERVICES, rate, backends_per_service),
        ("21 groups of 10 services", NODES / 21, rate / 10, backends_per_service),
    ):
        subset = min(pool, max(MIN_SUBSET, int(node_rate * SUBSET_SPAN_S)))
        pools = {"all services on each node": SERVICES, "21 groups of 10 services": 10}.get(name, 1)
        report(f"{name}: nodes with it in their subset", nodes * subset / pool)
        report("  backends in the subsets of a node", subset * pools)
        report("  requests per second of a node to a backend of a subset", node_rate / subset)
        report(
            "  seconds until there are 30, 300 and 3,000 samples",
            30 * subset / node_rate,
            f"{300 * subset / node_rate:.0f} {3000 * subset / node_rate:.0f}",
        )
    print("Regions")
    report("one region lost: requests per second for the other two", RATE / REGIONS)
    report(
        "  for each of their nodes, before and after", rate, f"{rate * REGIONS / (REGIONS - 1):.0f}"
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
