"""What a scale run came to: from marks, moments and ledgers to figures, and these against the budget.

No I/O.
"""

import math
from collections import Counter

import msgspec
import numpy as np

WINDOW_S = {"settings": 3.0}  # after a change in which its worst answer is looked for
WINDOW_ELSE_S = 1.0
SLACK_S = 0.001  # a log tells moments to a tenth of a ms, and the clock's begin is read apart
STATES = {"ready": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
DAY_S = 86400
BUSY_MS = (
    10.0  # that 99 in 100 straight requests take over what a backend does; then times say little
)
TOLD_TWICE = 2  # a restarted backend is told as draining and as serving


def since(at, lines, index=None):
    """ms from `at` to the first log line then, of that version or a later one; -1 where there is none.

    A line that was cut tells no version: it is taken for the one that is looked for.
    """
    return next(
        (
            round(max(0.0, line["at"] - at) * 1000, 1)
            for line in lines
            if line["at"] >= at - SLACK_S and (index is None or line.get("version", index) >= index)
        ),
        -1,
    )


def counted(lines):
    """How often a node wrote what is worth a look."""
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


def wrong_rows(rows, names, changed):
    """How many backends a node's own call tells otherwise than discovery; `rows`: name to state.

    What is neither to be sent to nor has been sent to under the settings of now, the call leaves out.
    """
    wrong = 0
    for name in names:
        status = changed.get(name, ["SERVING", 0])[0]
        wrong += STATES[rows[name]] != status if name in rows else status == "SERVING"
    return wrong


def spread(delays):
    """First, half, 99 in 100 and last of the nodes, in ms; `delays` may hold -1 for who never had it."""
    good = sorted(ms for ms in delays if ms >= 0)
    if not good:
        return None
    at = [0, (len(good) - 1) // 2, math.ceil(len(good) * 0.99) - 1, len(good) - 1]
    return {
        "first": good[at[0]],
        "half": good[at[1]],
        "p99": good[at[2]],
        "last": good[at[3]],
        "nodes": len(good),
        "never": len(delays) - len(good),
    }


def in_force(all_delays):
    """The same over several changes: each the highest of all."""
    spreads = [told for delays in all_delays if (told := spread(delays))]
    never = sum(sum(ms < 0 for ms in delays) for delays in all_delays)
    if not spreads:
        return {"changes": len(all_delays), "never": never}
    return {
        "changes": len(all_delays),
        "never": never,
        "nodes": max(told["nodes"] for told in spreads),
        **{
            f"{key}_ms": max(told[key] for told in spreads)
            for key in ("first", "half", "p99", "last")
        },
    }


class Answers:
    """What was asked, in arrays that go along: `at_ms` (planned, Unix), `took_ms`, `status` (0: none)."""

    def __init__(self, rows):
        seen = {}
        for row in rows:
            if "id" not in row or row.get("unasked"):
                continue
            if row["event"] == "sent":
                seen[row["id"]] = [row["t_ms"] - row["late_ms"], 0.0, 0]
            elif row["id"] in seen:
                one = seen[row["id"]]
                one[1:] = row["t_ms"] - one[0], row.get("status", 0)
        table = np.array(list(seen.values()) or np.empty((0, 3)), float)
        self.at_ms, self.took_ms, self.status = table[:, 0], table[:, 1], table[:, 2].astype(int)

    def within(self, begin_ms, end_ms):
        return self.took_ms[(self.at_ms >= begin_ms) & (self.at_ms < end_ms)]

    def good(self, begin_ms, end_ms):
        """How many of these were answered with 200."""
        return int((self.status[(self.at_ms >= begin_ms) & (self.at_ms < end_ms)] == 200).sum())


def _part(took, part):
    return round(float(np.percentile(took, part)), 2) if len(took) else None


def _minus(a, b):
    return round(a - b, 2) if a is not None and b is not None else None


def scene_of(scene, plan, ahead, through, straight, base_mb, empty_mb):
    """The figures of one scene, as plain data."""
    seconds = scene["after"]["at"] - scene["before"]["at"]
    used, waited = (
        {name: s - scene["before"][key].get(name, 0.0) for name, s in scene["after"][key].items()}
        for key in ("cpu", "waited")
    )
    roles = _roles(plan, used)
    begin_ms, end_ms = ((scene[key] + ahead) * 1000 for key in ("begin", "end"))
    of_nodes, of_straight = (some.within(begin_ms, end_ms) for some in (through, straight))
    moments = sorted(at for _, at in scene["list"] + scene["back"] + scene["settings"])
    window = WINDOW_S.get(scene["what"], WINDOW_ELSE_S)
    worst = {
        key: max(
            (
                float(
                    some.within((at + ahead) * 1000, (at + ahead + window) * 1000).max(initial=0.0)
                )
                for at in moments
            ),
            default=None,
        )
        for key, some in (("through", through), ("straight", straight))
    }
    told = {
        "what": scene["what"],
        "seconds": round(seconds, 2),
        "multiple": scene["plan"].multiple,
        "changes": len(scene["list"]),
        "settings_changes": len(scene["settings"]),
        "cpu_share": {
            role: round(sum(used[name] for name in some) / len(some) / count / seconds, 6)
            for role, (some, count) in roles.items()
        },
        # of the time in which they had work: what a machine of their own would not have
        "waited_share": {
            role: _share(sum(waited[name] for name in some), sum(used[name] for name in some))
            for role, (some, _) in roles.items()
        },
        "cpu_s": {
            role: round(sum(used[name] for name in some), 4) for role, (some, _) in roles.items()
        },
        "peak_mb": {name: round(mb, 1) for name, mb in sorted(scene["peak"].items())},
        **{
            f"{way}_s_node": round(
                (scene["after"][way] - scene["before"][way]) / seconds / plan.nodes.count, 1
            )
            for way in ("sent", "heard")
        },
        "list": in_force(scene["list_delays"]) if scene["list"] else None,
        "settings": in_force(scene["settings_delays"]) if scene["settings"] else None,
        "back": in_force(scene["back_delays"]) if scene["back"] else None,
        "p50_ms": {"through": _part(of_nodes, 50), "straight": _part(of_straight, 50)},
        "answered_200": [through.good(begin_ms, end_ms), len(of_nodes)],
        "p99_ms": {
            "through": _part(of_nodes, 99),
            "straight": _part(of_straight, 99),
            "added": _minus(_part(of_nodes, 99), _part(of_straight, 99)),
        },
        "worst_ms": {key: round(ms, 1) if ms is not None else None for key, ms in worst.items()},
        "list_ms": _mean(scene["work"]["list_ms"]),
        "settings_ms": _mean(scene["work"]["settings_ms"]),
        "logged": {
            f"n{number}": events for number, events in scene.get("events", {}).items() if events
        },
    }
    return told


def _share(waited, used):
    return round(waited / (waited + used), 3) if waited + used else 0.0


def _mean(figures):
    return round(sum(figures) / len(figures), 3) if figures else None


def _roles(plan, used):
    """{role: (its processes, nodes in each)}."""
    roles = {"discovery": (["discovery"], 1), "backends": (["backends"], 1)}
    for role, some, count in (
        ("loaded node", [f"node {k}" for k in range(plan.nodes.loaded)], 1),
        ("idle node", [f"node {plan.nodes.loaded + k}" for k in range(plan.nodes.idle)], 1),
        ("full hollow", [name for name in used if name.startswith("full ")], 1),
        ("watch only", [name for name in used if name.startswith("hollow ")], None),
    ):
        if some:
            roles[role] = some, count if count else plan.watch_only() / len(some)
    return roles


def measures(plan, scenes, memory, ready_s, settings_bytes, list_bytes):
    """Flat figures that an axis may move; None where no scene tells."""
    by = {scene["what"]: scene for scene in reversed(scenes)}
    calm, of_list, of_settings = (by.get(what) for what in ("calm", "list", "settings"))
    told = {"settings KB": round(settings_bytes / 1000, 1), "list KB": round(list_bytes / 1000, 1)}

    def each(scene, role, count):
        """CPU ms of one change, over what calm takes."""
        if not (calm and scene and role in scene["cpu_share"] and count):
            return None
        extra = scene["cpu_share"][role] - calm["cpu_share"][role]
        return round(extra * scene["seconds"] * 1000 / count, 3)

    for role in ("idle node", "full hollow"):
        told[f"{role}: calm, % of a core"] = calm and round(
            calm["cpu_share"].get(role, math.nan) * 100, 3
        )
        told[f"{role}: CPU ms a list change"] = each(of_list, role, of_list and of_list["changes"])
        told[f"{role}: CPU ms a settings change"] = each(
            of_settings, role, of_settings and of_settings["settings_changes"]
        )
        told[f"{role}: MB over empty"] = memory.get(role)
    told["loaded node: MB over empty"] = memory.get("loaded node")
    told["full hollow: ms in the reducer a list change"] = of_list and of_list["list_ms"]
    told["full hollow: ms to read and apply a settings change"] = (
        of_settings and of_settings["settings_ms"]
    )
    told["discovery: CPU ms a list change"] = each(
        of_list, "discovery", of_list and of_list["changes"]
    )
    told["discovery: calm, % of a core"] = calm and round(calm["cpu_share"]["discovery"] * 100, 3)
    told["discovery: MB at most"] = memory.get("discovery")
    told["watch: bytes/s a node, calm"] = calm and calm["sent_s_node"] + calm["heard_s_node"]
    told["watch: bytes a node and list change"] = (
        None
        if not (calm and of_list)
        else round(
            ((of_list["sent_s_node"] - calm["sent_s_node"]) * of_list["seconds"])
            / max(1, of_list["changes"]),
            1,
        )
    )
    for name, scene, key in (
        ("list change", of_list, "list"),
        ("settings change", of_settings, "settings"),
    ):
        told[f"{name}: in force at the last, ms"] = scene and scene[key].get("last_ms")
    for scene in scenes:
        told[f"{scene['what']}: added to 99 in 100, ms"] = scene["p99_ms"]["added"]
        if scene["worst_ms"]["through"] is not None:
            told[f"{scene['what']}: worst answer, ms"] = scene["worst_ms"]["through"]
    told["real node: ready after a restart, s"] = max(ready_s, default=None)
    return told


def needs(plan, scenes, told):
    """Need against budget: [(what, need, budget, unit)]; daily figures at the pace of a day."""
    budget, day = plan.budget, plan.day
    calm_p99 = next(
        (scene["p99_ms"]["through"] for scene in scenes if scene["what"] == "calm"), None
    )
    tells = TOLD_TWICE * day.restarts / DAY_S
    rows = []

    def add(what, need, most, unit):
        if need is not None and not (isinstance(need, float) and math.isnan(need)):
            rows.append(
                {
                    "what": what,
                    "need": round(need, 4),
                    "budget": most,
                    "unit": unit,
                    "ratio": round(need / most, 3),
                }
            )

    for role in ("idle node", "full hollow"):
        parts = [
            told.get(f"{role}: {what}")
            for what in ("calm, % of a core", "CPU ms a list change", "CPU ms a settings change")
        ]
        if None not in parts:
            calm, of_list, of_settings = parts
            share = (
                calm
                + (max(0.0, of_list) * tells + max(0.0, of_settings) * day.changes / DAY_S) / 10
            )
            add(f"control CPU, {role}, a day's pace", share, budget.cpu_share * 100, "% of a core")
    for role in ("idle node", "loaded node", "full hollow"):
        add(
            f"memory over an empty one, {role}, at its most",
            told[f"{role}: MB over empty"],
            budget.memory_mb,
            "MB",
        )
    calm, change = told["watch: bytes/s a node, calm"], told["watch: bytes a node and list change"]
    if None not in (calm, change):
        add("bytes on the watch, a day's pace", calm + change * tells, budget.bytes_s, "B/s")
    add(
        "bytes of whole settings files, a day's pace",
        told["settings KB"] * 1000 * day.changes / DAY_S,
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
                never = f", {scene[key]['never']} never" if scene[key]["never"] else ""
                add(
                    f"{what} in force at the last of {scene[key]['nodes']} nodes ({scene['what']}{never})",
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
                _minus(*scene["worst_ms"].values()),
                budget.worst_ms,
                "ms",
            )
            add(
                "99 in 100 as one tenant's share changes, over calm",
                _minus(scene["p99_ms"]["through"], calm_p99),
                budget.added_ms,
                "ms",
            )
    add("ready after a restart", told["real node: ready after a restart, s"], budget.ready_s, "s")
    return rows


def counts(checks, tally, verdict, plan):
    """What must hold whatever the pace: [line] of what does not, and the counts."""
    hollow, real = checks["hollow"], checks["real"]
    wrong = []
    for key in ("current", "right"):
        if hollow[key] < hollow["nodes"]:
            word = (
                "hold the last version"
                if key == "current"
                else "hold the list that discovery tells"
            )
            wrong.append(f"{hollow[key]} of {hollow['nodes']} hollow nodes {word}")
    if real["right"] < real["nodes"]:
        wrong.append(
            f"{real['right']} of {real['nodes']} real nodes hold the list that discovery tells"
        )
    if hollow["twice"]:
        wrong.append(f"{hollow['twice']} changes were told twice")
    if hollow["faults"]:
        wrong.append(f"{hollow['faults']} faults in hollow nodes")
    if checks["watches"] != plan.nodes.count:
        wrong.append(
            f"{checks['watches']} watches are open at the end, of {plan.nodes.count} nodes"
        )
    told = {
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
    return wrong, told


def summary(plan, run, tally, last, checks, clients, straight_rows, verdict):
    """All of it as plain data."""
    through, straight = Answers(clients), Answers(straight_rows)
    scenes = [
        scene_of(scene, plan, run.ahead, through, straight, run.base_mb, run.empty_mb)
        for scene in run.scenes
    ]
    memory = _memory(plan, scenes, run.base_mb, run.empty_mb)
    first = next(iter(run.documents.values()))
    told = measures(
        plan,
        scenes,
        memory,
        [round(s, 2) for s in run.ready_s],
        len(msgspec.json.encode(first["settings"])),
        len(msgspec.json.encode(run.entries)),
    )
    wrong, count = counts(checks, tally, verdict, plan)
    late = tally.figures("late")
    doubts = []
    if tally.summary()["behind"]:
        doubts.append(
            f"the load fell behind its plan: p99 {late['p99']:g} ms, sent {tally.counts['sent']} "
            f"of {tally.counts['planned']}"
        )
    busy = [
        scene["what"]
        for scene in scenes
        if (scene["p99_ms"]["straight"] or 0.0) > plan.backends.answer_ms + BUSY_MS
    ]
    if busy:
        doubts.append(
            f"the machine was busy: 99 in 100 straight to a backend took over {BUSY_MS:g} ms more "
            f"than its {plan.backends.answer_ms:g} in {', '.join(busy)}"
        )
    doubts += [f"hole: {hole.text()}" for hole in verdict.gaps]
    return {
        "title": plan.title,
        "seed": plan.seed,
        "sizes": {
            "nodes": plan.nodes.count,
            "loaded": plan.nodes.loaded,
            "idle": plan.nodes.idle,
            "full hollow": plan.nodes.full,
            "watch only": plan.watch_only(),
            "backends": plan.backends.count,
            "services": plan.backends.services,
            "tenants": plan.tenants.count,
        },
        "empty_node_mb": round(run.empty_mb, 1),
        "hollow_base_mb": {name: round(mb, 1) for name, mb in run.base_mb.items()},
        "pss_mb": {name: round(mb, 1) for name, mb in checks["pss_mb"].items()},
        "most_mb": round(run.guard.peak_mb),
        "most_processes": run.guard.peak_count,
        "estimated_mb": round(plan.memory_mb()),
        "scenes": scenes,
        "measures": told,
        "needs": needs(plan, scenes, told),
        "counts": count,
        "wrong": wrong,
        "breaks": [msgspec.to_builtins(each) for each in verdict.violations[:5]],
        "last_version": {"after_s": last["after_s"], "index": last["index"]},
        "doubts": doubts,
    }


def _memory(plan, scenes, base_mb, empty_mb):
    """MB at the most over all scenes: nodes over an empty one, discovery whole."""
    peak = {}
    for scene in scenes:
        for name, mb in scene["peak_mb"].items():
            peak[name] = max(peak.get(name, 0.0), mb)
    told = {"discovery": peak.get("discovery")}
    for role, some in (
        ("loaded node", [f"node {k}" for k in range(plan.nodes.loaded)]),
        ("idle node", [f"node {plan.nodes.loaded + k}" for k in range(plan.nodes.idle)]),
    ):
        if some:
            told[role] = round(max(peak.get(name, 0.0) for name in some) - empty_mb, 1)
    full = [
        peak[name] - base_mb[name] for name in base_mb if name.startswith("full ") and name in peak
    ]
    if full:
        told["full hollow"] = round(max(full), 1)
    watching = [
        peak[name] - base_mb[name]
        for name in base_mb
        if name.startswith("hollow ") and name in peak
    ]
    if watching:
        told["watch only"] = round(sum(watching) / plan.watch_only(), 3)
    return told
