"""Evaluates a scale run: turns resource totals, times and ledgers into figures and checks the budget.

No I/O.
"""

import math
from collections import Counter

import msgspec
import numpy as np

WINDOW_S = {"settings": 3.0}  # time after a change in which its slowest response is searched
DEFAULT_WINDOW_S = 1.0  # for any other scene
# Log times are rounded to a tenth of a ms, and the node and the run determine the offset of their
# monotonic clock to Unix time separately.
CLOCK_TOLERANCE_S = 0.001
STATES = {"ready": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
DAY_S = 86400
# Allowed excess of the p99 latency without a node over the backends' response time. Above it, the
# machine is too busy for the latencies to be meaningful.
BUSY_MS = 10.0
CHANGES_PER_RESTART = 2  # a restarted backend is reported as draining, then as serving


def delay_ms(changed_at, lines, version=None):
    """Returns the ms from a change to the first later log line of its version or a higher one.

    Returns -1 if there is none. A line that was truncated has no version and counts as a match.
    """
    return next(
        (
            round(max(0.0, line["at"] - changed_at) * 1000, 1)
            for line in lines
            if line["at"] >= changed_at - CLOCK_TOLERANCE_S
            and (version is None or line.get("version", version) >= version)
        ),
        -1,
    )


def count_notable_events(lines):
    """Returns how often a node logged each event that points to a problem."""
    return dict(
        Counter(
            line["event"]
            for line in lines
            if line["event"]
            in (
                "internal_error",
                "event_loop_lag",
                "discovery_lost",
                "config_rejected",
                "endpoints_rejected",
            )
        )
    )


def count_wrong_states(states, names, changed):
    """Returns how many backends a node reports differently from discovery; `states`: name to state.

    A node does not report a backend that is unavailable and to which it has sent no request under
    its current settings.
    """
    wrong_count = 0
    for name in names:
        status = changed.get(name, ["SERVING", 0])[0]
        wrong_count += STATES[states[name]] != status if name in states else status == "SERVING"
    return wrong_count


def delay_percentiles(delays):
    """Returns the minimum, median, p99 and maximum delay over the nodes, in ms.

    A delay of -1 stands for a node that never received the change.
    """
    received = sorted(ms for ms in delays if ms >= 0)
    if not received:
        return None
    ranks = [
        0,
        (len(received) - 1) // 2,
        math.ceil(len(received) * 0.99) - 1,
        len(received) - 1,
    ]
    return {
        "first": received[ranks[0]],
        "half": received[ranks[1]],
        "p99": received[ranks[2]],
        "last": received[ranks[3]],
        "nodes": len(received),
        "never": len(delays) - len(received),
    }


def worst_delay_percentiles(all_delays):
    """Returns the highest of each delay percentile over several changes."""
    percentiles = [change for delays in all_delays if (change := delay_percentiles(delays))]
    never = sum(sum(ms < 0 for ms in delays) for delays in all_delays)
    if not percentiles:
        return {"changes": len(all_delays), "never": never}
    return {
        "changes": len(all_delays),
        "never": never,
        "nodes": max(change["nodes"] for change in percentiles),
        **{
            f"{key}_ms": max(change[key] for change in percentiles)
            for key in ("first", "half", "p99", "last")
        },
    }


class Responses:
    """The requests of a ledger, as parallel arrays.

    `planned_at_ms` is Unix time, `latency_ms` counts from there, and `status` is 0 without a response.
    """

    def __init__(self, rows):
        requests = {}
        for row in rows:
            if "id" not in row or row.get("unasked"):
                continue
            if row["event"] == "sent":
                requests[row["id"]] = [row["t_ms"] - row["late_ms"], 0.0, 0]
            elif row["id"] in requests:
                request = requests[row["id"]]
                request[1:] = row["t_ms"] - request[0], row.get("status", 0)
        table = np.array(list(requests.values()) or np.empty((0, 3)), float)
        self.planned_at_ms, self.latency_ms, self.status = (
            table[:, 0],
            table[:, 1],
            table[:, 2].astype(int),
        )

    def latencies_between(self, begin_ms, end_ms):
        """Returns the latencies in ms of the requests planned in an interval."""
        return self.latency_ms[(self.planned_at_ms >= begin_ms) & (self.planned_at_ms < end_ms)]

    def count_ok(self, begin_ms, end_ms):
        """Returns the number of responses with status 200 to the requests planned in an interval."""
        return int(
            (
                self.status[(self.planned_at_ms >= begin_ms) & (self.planned_at_ms < end_ms)] == 200
            ).sum()
        )


def _percentile(values, percentage):
    return round(float(np.percentile(values, percentage)), 2) if len(values) else None


def _difference(minuend, subtrahend):
    return (
        round(minuend - subtrahend, 2) if minuend is not None and subtrahend is not None else None
    )


def scene_figures(
    scene, plan, unix_offset_s, node_responses, direct_responses, base_mb, empty_node_mb
):
    """Returns the figures of one scene, as plain data."""
    seconds = scene["after"]["at"] - scene["before"]["at"]
    used_s, waited_s = (
        {name: s - scene["before"][key].get(name, 0.0) for name, s in scene["after"][key].items()}
        for key in ("cpu", "waited")
    )
    roles = _roles(plan, used_s)
    begin_ms, end_ms = ((scene[key] + unix_offset_s) * 1000 for key in ("begin", "end"))
    node_latencies, direct_latencies = (
        responses.latencies_between(begin_ms, end_ms)
        for responses in (node_responses, direct_responses)
    )
    change_times = sorted(at for _, at in scene["list"] + scene["back"] + scene["settings"])
    window_s = WINDOW_S.get(scene["what"], DEFAULT_WINDOW_S)
    worst_ms = {
        key: max(
            (
                float(
                    responses.latencies_between(
                        (at + unix_offset_s) * 1000, (at + unix_offset_s + window_s) * 1000
                    ).max(initial=0.0)
                )
                for at in change_times
            ),
            default=None,
        )
        for key, responses in (("through", node_responses), ("straight", direct_responses))
    }
    result = {
        "what": scene["what"],
        "seconds": round(seconds, 2),
        "multiple": scene["plan"].multiple,
        "changes": len(scene["list"]),
        "settings_changes": len(scene["settings"]),
        "cpu_share": {
            role: round(sum(used_s[name] for name in names) / len(names) / count / seconds, 6)
            for role, (names, count) in roles.items()
        },
        # Time spent waiting for a core, as a fraction of the time with work to do; 0 for a process
        # that has a machine of its own.
        "waited_share": {
            role: _waited_ratio(
                sum(waited_s[name] for name in names), sum(used_s[name] for name in names)
            )
            for role, (names, _) in roles.items()
        },
        "cpu_s": {
            role: round(sum(used_s[name] for name in names), 4)
            for role, (names, _) in roles.items()
        },
        "peak_mb": {name: round(mb, 1) for name, mb in sorted(scene["peak"].items())},
        **{
            f"{direction}_s_node": round(
                (scene["after"][direction] - scene["before"][direction])
                / seconds
                / plan.nodes.count,
                1,
            )
            for direction in ("sent", "heard")
        },
        "list": worst_delay_percentiles(scene["list_delays"]) if scene["list"] else None,
        "settings": worst_delay_percentiles(scene["settings_delays"])
        if scene["settings"]
        else None,
        "back": worst_delay_percentiles(scene["back_delays"]) if scene["back"] else None,
        "p50_ms": {
            "through": _percentile(node_latencies, 50),
            "straight": _percentile(direct_latencies, 50),
        },
        "answered_200": [node_responses.count_ok(begin_ms, end_ms), len(node_latencies)],
        "p99_ms": {
            "through": _percentile(node_latencies, 99),
            "straight": _percentile(direct_latencies, 99),
            "added": _difference(
                _percentile(node_latencies, 99), _percentile(direct_latencies, 99)
            ),
        },
        "worst_ms": {key: round(ms, 1) if ms is not None else None for key, ms in worst_ms.items()},
        "list_ms": _mean(scene["work"]["list_ms"]),
        "settings_ms": _mean(scene["work"]["settings_ms"]),
        "logged": {
            f"n{number}": events for number, events in scene.get("events", {}).items() if events
        },
    }
    return result


def _waited_ratio(waited_s, used_s):
    return round(waited_s / (waited_s + used_s), 3) if waited_s + used_s else 0.0


def _mean(values):
    return round(sum(values) / len(values), 3) if values else None


def _roles(plan, used_s):
    """Returns {role: (names of its processes, nodes in each process)}."""
    roles = {"discovery": (["discovery"], 1), "backends": (["backends"], 1)}
    for role, names, count in (
        ("loaded node", [f"node {k}" for k in range(plan.nodes.loaded)], 1),
        ("idle node", [f"node {plan.nodes.loaded + k}" for k in range(plan.nodes.idle)], 1),
        ("full hollow", [name for name in used_s if name.startswith("full ")], 1),
        ("watch only", [name for name in used_s if name.startswith("hollow ")], None),
    ):
        if names:
            roles[role] = names, count if count else plan.watch_only_count() / len(names)
    return roles


def measures(plan, scenes, memory, ready_s, settings_bytes, list_bytes):
    """Returns {name: figure} of what may grow along an axis; None if no scene measures the figure."""
    first_by_kind = {scene["what"]: scene for scene in reversed(scenes)}
    calm, list_scene, settings_scene = (
        first_by_kind.get(kind) for kind in ("calm", "list", "settings")
    )
    figures = {
        "settings KB": round(settings_bytes / 1000, 1),
        "list KB": round(list_bytes / 1000, 1),
    }

    def cpu_ms_per_change(scene, role, count):
        """Returns the CPU ms of one change, beyond the use of the calm scene."""
        if not (calm and scene and role in scene["cpu_share"] and count):
            return None
        extra_cores = scene["cpu_share"][role] - calm["cpu_share"][role]
        return round(extra_cores * scene["seconds"] * 1000 / count, 3)

    for role in ("idle node", "full hollow"):
        figures[f"{role}: calm, % of a core"] = calm and round(
            calm["cpu_share"].get(role, math.nan) * 100, 3
        )
        figures[f"{role}: CPU ms a list change"] = cpu_ms_per_change(
            list_scene, role, list_scene and list_scene["changes"]
        )
        figures[f"{role}: CPU ms a settings change"] = cpu_ms_per_change(
            settings_scene, role, settings_scene and settings_scene["settings_changes"]
        )
        figures[f"{role}: MB over empty"] = memory.get(role)
    figures["loaded node: MB over empty"] = memory.get("loaded node")
    figures["full hollow: ms in the reducer a list change"] = list_scene and list_scene["list_ms"]
    figures["full hollow: ms to read and apply a settings change"] = (
        settings_scene and settings_scene["settings_ms"]
    )
    figures["discovery: CPU ms a list change"] = cpu_ms_per_change(
        list_scene, "discovery", list_scene and list_scene["changes"]
    )
    figures["discovery: calm, % of a core"] = calm and round(
        calm["cpu_share"]["discovery"] * 100, 3
    )
    figures["discovery: MB at most"] = memory.get("discovery")
    figures["watch: bytes/s a node, calm"] = calm and calm["sent_s_node"] + calm["heard_s_node"]
    figures["watch: bytes a node and list change"] = (
        None
        if not (calm and list_scene)
        else round(
            ((list_scene["sent_s_node"] - calm["sent_s_node"]) * list_scene["seconds"])
            / max(1, list_scene["changes"]),
            1,
        )
    )
    for name, scene, key in (
        ("list change", list_scene, "list"),
        ("settings change", settings_scene, "settings"),
    ):
        figures[f"{name}: in force at the last, ms"] = scene and scene[key].get("last_ms")
    for scene in scenes:
        figures[f"{scene['what']}: added to 99 in 100, ms"] = scene["p99_ms"]["added"]
        if scene["worst_ms"]["through"] is not None:
            figures[f"{scene['what']}: worst answer, ms"] = scene["worst_ms"]["through"]
    figures["real node: ready after a restart, s"] = max(ready_s, default=None)
    return figures


def compare_with_budget(plan, scenes, figures):
    """Returns rows with the keys what, need, budget, unit and ratio.

    CPU time and bytes are scaled to the daily rate of changes.
    """
    budget, day = plan.budget, plan.day
    calm_p99 = next(
        (scene["p99_ms"]["through"] for scene in scenes if scene["what"] == "calm"), None
    )
    list_changes_per_s = CHANGES_PER_RESTART * day.restarts / DAY_S
    rows = []

    def add(what, need, budgeted, unit):
        """Adds a row if the run measured the need."""
        if need is not None and not (isinstance(need, float) and math.isnan(need)):
            rows.append(
                {
                    "what": what,
                    "need": round(need, 4),
                    "budget": budgeted,
                    "unit": unit,
                    "ratio": round(need / budgeted, 3),
                }
            )

    for role in ("idle node", "full hollow"):
        parts = [
            figures.get(f"{role}: {figure}")
            for figure in ("calm, % of a core", "CPU ms a list change", "CPU ms a settings change")
        ]
        if None not in parts:
            calm, list_change, settings_change = parts
            cpu_percent = (
                calm
                + (
                    max(0.0, list_change) * list_changes_per_s
                    + max(0.0, settings_change) * day.changes / DAY_S
                )
                / 10
            )
            add(
                f"control CPU, {role}, a day's pace",
                cpu_percent,
                budget.cpu_share * 100,
                "% of a core",
            )
    for role in ("idle node", "loaded node", "full hollow"):
        add(
            f"memory over an empty one, {role}, at its most",
            figures[f"{role}: MB over empty"],
            budget.memory_mb,
            "MB",
        )
    calm, list_change = (
        figures["watch: bytes/s a node, calm"],
        figures["watch: bytes a node and list change"],
    )
    if None not in (calm, list_change):
        add(
            "bytes on the watch, a day's pace",
            calm + list_change * list_changes_per_s,
            budget.bytes_s,
            "B/s",
        )
    add(
        "bytes of whole settings files, a day's pace",
        figures["settings KB"] * 1000 * day.changes / DAY_S,
        budget.bytes_s,
        "B/s",
    )
    for scene in scenes:
        for key, what in (
            ("list", "change of the list"),
            ("settings", "change of settings"),
            ("back", "list after discovery came back"),
        ):
            if scene[key] and "last_ms" in scene[key]:
                never_suffix = f", {scene[key]['never']} never" if scene[key]["never"] else ""
                add(
                    f"{what} in force at the last of {scene[key]['nodes']} nodes ({scene['what']}{never_suffix})",
                    scene[key]["last_ms"] / 1000,
                    budget.in_force_s,
                    "s",
                )
    for scene in scenes:
        add(
            f"added to 99 in 100 ({scene['what']})", scene["p99_ms"]["added"], budget.added_ms, "ms"
        )
    for scene in scenes:
        if scene["what"] == "settings" and scene["worst_ms"]["through"] is not None:
            add(
                "worst answer as one tenant's share changes, over the worst straight then",
                _difference(*scene["worst_ms"].values()),
                budget.worst_ms,
                "ms",
            )
            add(
                "99 in 100 as one tenant's share changes, over calm",
                _difference(scene["p99_ms"]["through"], calm_p99),
                budget.added_ms,
                "ms",
            )
    add(
        "ready after a restart", figures["real node: ready after a restart, s"], budget.ready_s, "s"
    )
    return rows


def check_results(checks, tally, verdict, plan):
    """Returns ([one line for each wrong result], the counts).

    These results do not depend on the rate of changes.
    """
    hollow, real = checks["hollow"], checks["real"]
    wrong = []
    for key in ("current", "right"):
        if hollow[key] < hollow["nodes"]:
            expectation = (
                "have the last version" if key == "current" else "have the same list as discovery"
            )
            wrong.append(f"only {hollow[key]} of {hollow['nodes']} hollow nodes {expectation}")
    if real["right"] < real["nodes"]:
        wrong.append(
            f"only {real['right']} of {real['nodes']} real nodes have the same list as discovery"
        )
    if hollow["twice"]:
        wrong.append(f"{hollow['twice']} list changes were received twice by hollow nodes")
    if hollow["faults"]:
        wrong.append(f"{hollow['faults']} exceptions in the watches of hollow nodes")
    if checks["watches"] != plan.nodes.count:
        wrong.append(
            f"{checks['watches']} watches are open at the end; expected {plan.nodes.count}, one per node"
        )
    counts = {
        "hollow": hollow,
        "real": real,
        "watches": checks["watches"],
        "version": checks["version"],
        "planned": tally.counts["planned"],
        "answered": tally.counts["answered"],
        "statuses": dict(sorted(tally.statuses.items())),
        "rules": verdict.held(),
        "breaks": len(verdict.violations),
        "audited": verdict.counts,
    }
    return wrong, counts


def summary(plan, run, tally, last_version, checks, client_rows, direct_rows, verdict):
    """Returns all results of a run as plain data."""
    node_responses, direct_responses = Responses(client_rows), Responses(direct_rows)
    scenes = [
        scene_figures(
            scene,
            plan,
            run.unix_offset_s,
            node_responses,
            direct_responses,
            run.base_mb,
            run.empty_node_mb,
        )
        for scene in run.scenes
    ]
    memory = _peak_memory_mb(plan, scenes, run.base_mb, run.empty_node_mb)
    first_document = next(iter(run.documents.values()))
    figures = measures(
        plan,
        scenes,
        memory,
        [round(s, 2) for s in run.ready_times_s],
        len(msgspec.json.encode(first_document["settings"])),
        len(msgspec.json.encode(run.entries)),
    )
    wrong, counts = check_results(checks, tally, verdict, plan)
    late = tally.figures("late")
    doubts = []
    if tally.summary()["behind"]:
        doubts.append(
            f"the load fell behind its plan: p99 lateness {late['p99']:g} ms, "
            f"{tally.counts['sent']} of {tally.counts['planned']} requests sent"
        )
    busy_scenes = [
        scene["what"]
        for scene in scenes
        if (scene["p99_ms"]["straight"] or 0.0) > plan.backends.answer_ms + BUSY_MS
    ]
    if busy_scenes:
        doubts.append(
            f"the machine was busy: the p99 latency without a node exceeded the backends' "
            f"{plan.backends.answer_ms:g} ms by more than {BUSY_MS:g} ms in {', '.join(busy_scenes)}"
        )
    doubts += [f"gap in the records: {gap.text()}" for gap in verdict.gaps]
    return {
        "title": plan.title,
        "seed": plan.seed,
        "sizes": {
            "nodes": plan.nodes.count,
            "loaded": plan.nodes.loaded,
            "idle": plan.nodes.idle,
            "full hollow": plan.nodes.full,
            "watch only": plan.watch_only_count(),
            "backends": plan.backends.count,
            "services": plan.backends.services,
            "tenants": plan.tenants.count,
        },
        "empty_node_mb": round(run.empty_node_mb, 1),
        "hollow_base_mb": {name: round(mb, 1) for name, mb in run.base_mb.items()},
        "pss_mb": {name: round(mb, 1) for name, mb in checks["pss_mb"].items()},
        "most_mb": round(run.guard.peak_mb),
        "most_processes": run.guard.peak_count,
        "estimated_mb": round(plan.memory_mb()),
        "scenes": scenes,
        "measures": figures,
        "needs": compare_with_budget(plan, scenes, figures),
        "counts": counts,
        "wrong": wrong,
        "breaks": [msgspec.to_builtins(violation) for violation in verdict.violations[:5]],
        "last_version": {"after_s": last_version["after_s"], "index": last_version["index"]},
        "doubts": doubts,
    }


def _peak_memory_mb(plan, scenes, base_mb, empty_node_mb):
    """Returns the peak MB over all scenes by role.

    For discovery, the peak is that of the whole process. For real nodes, it is the excess over an empty
    node. For hollow nodes, it is the excess over the process before it creates its nodes, divided by
    the number of nodes if they are watch-only.
    """
    peak = {}
    for scene in scenes:
        for name, mb in scene["peak_mb"].items():
            peak[name] = max(peak.get(name, 0.0), mb)
    memory = {"discovery": peak.get("discovery")}
    for role, names in (
        ("loaded node", [f"node {k}" for k in range(plan.nodes.loaded)]),
        ("idle node", [f"node {plan.nodes.loaded + k}" for k in range(plan.nodes.idle)]),
    ):
        if names:
            memory[role] = round(max(peak.get(name, 0.0) for name in names) - empty_node_mb, 1)
    full_mb = [
        peak[name] - base_mb[name] for name in base_mb if name.startswith("full ") and name in peak
    ]
    if full_mb:
        memory["full hollow"] = round(max(full_mb), 1)
    watch_only_mb = [
        peak[name] - base_mb[name]
        for name in base_mb
        if name.startswith("hollow ") and name in peak
    ]
    if watch_only_mb:
        memory["watch only"] = round(sum(watch_only_mb) / plan.watch_only_count(), 3)
    return memory
