"""Formats the tables of a scale run, and runs and fits its axes."""

import math

from pierglade.scale.fit import fit
from pierglade.scale.plan import AXES, axis_point, check_limits


def run_axes(plan, path, run_plan, report_progress):
    """Runs each axis at each fraction of its target; returns {"runs": [...], "fits": [...]}."""
    from pierglade.simulation.plan import InvalidPlanError

    if plan.axes is None:
        raise InvalidPlanError(
            f"{path}: $.axes is missing; expected a table, as axes were requested"
        )
    points = [
        (axis, share, axis_point(plan, axis, share)) for axis in AXES for share in plan.axes.shares
    ]
    for _, _, point in points:
        check_limits(point, path)
    runs = []
    for axis, share, point in points:
        report_progress(f"{axis} at {share:g} of the target")
        runs.append(
            {
                "axis": axis,
                "share": share,
                "x": getattr(point, axis).count,
                **run_plan(point, path, report_progress),
            }
        )
    return {"title": plan.title, "runs": runs, "fits": fits(runs)}


def fits(runs):
    """Returns the fit of each figure that all points of an axis have, as plain data."""
    results = []
    for axis in AXES:
        axis_runs = [run for run in runs if run["axis"] == axis]
        for figure in axis_runs[0]["measures"] if axis_runs else ():
            points = [(run["x"], run["measures"].get(figure)) for run in axis_runs]
            if any(y is None or math.isnan(y) for _, y in points):
                continue
            curve = fit(points)
            results.append(
                {
                    "axis": axis,
                    "what": figure,
                    "shape": curve.shape,
                    "base": curve.base,
                    "slope": curve.slope,
                    "error": curve.error,
                    "points": points,
                    "exponent": None if math.isnan(curve.exponent) else curve.exponent,
                }
            )
    return results


def fit_table_lines(results):
    """Yields the lines of a readable table of the fits."""
    for axis in AXES:
        yield f"{axis}"
        for row in results["fits"]:
            if row["axis"] == axis:
                figures = "  ".join(f"{y:g}" for _, y in row["points"])
                growth = {
                    "constant": "",
                    "linear": f" + {row['slope']:.3g} per unit",
                    "square": f" + {row['slope']:.3g} per unit squared",
                }[row["shape"]]
                yield (
                    f"  {row['what']:56} {row['shape']:9} {row['base']:.3g}{growth}, "
                    f"error {row['error']:.0%}   [{figures}]"
                )


def table_lines(results):
    """Yields the lines of the readable tables of a run."""
    sizes = results["sizes"]
    yield (
        f"{sizes['nodes']} nodes: {sizes['loaded']} real with requests, {sizes['idle']} real without, "
        f"{sizes['full hollow']} hollow with list and settings, {sizes['watch only']} hollow with a watch "
        f"only; {sizes['backends']} backends in {sizes['services']} services, {sizes['tenants']} tenants"
    )
    yield (
        f"an empty node {results['empty_node_mb']:g} MB; the run at its peak {results['most_mb']} MB and "
        f"{results['most_processes']} processes (estimated {results['estimated_mb']} MB)"
    )
    yield ""
    yield (
        f"{'scene':11}{'changes':>9}  {'in force after, ms: first, median, p99, last':48}"
        f"{'p99 ms':>20}{'worst ms':>10}  status 200"
    )
    for scene in results["scenes"]:
        for key in ("list", "settings", "back"):
            if scene[key]:
                yield _scene_line(scene, key)
        if not (scene["list"] or scene["settings"] or scene["back"]):
            yield _scene_line(scene, None)
    yield ""
    roles = list(results["scenes"][0]["cpu_share"])
    yield (
        f"{'% of a core':16}"
        + "".join(f"{role:>14}" for role in roles)
        + f"{'B/s/node out':>16}{'in':>8}"
    )
    for scene in results["scenes"]:
        yield (
            f"  {scene['what']:14}"
            + "".join(f"{scene['cpu_share'][role] * 100:14.3f}" for role in roles)
            + f"{scene['sent_s_node']:16.1f}{scene['heard_s_node']:8.2f}"
        )
    yield "waited for a core, % of the time with work to do"
    for scene in results["scenes"]:
        yield (
            f"  {scene['what']:14}"
            + "".join(f"{scene['waited_share'][role] * 100:14.1f}" for role in roles)
        )
    yield ""
    width = max(len(row["what"]) for row in results["needs"]) + 2 if results["needs"] else 0
    yield f"{'need against budget':{width}}{'need':>12}{'budget':>10}{'ratio':>9}"
    for row in results["needs"]:
        over_budget = "  over budget" if row["ratio"] > 1 else ""
        yield (
            f"{row['what']:{width}}{row['need']:12.4g}{row['budget']:10.4g}{row['ratio']:9.3f}  "
            f"{row['unit']}{over_budget}"
        )
    yield ""
    counts = results["counts"]
    rules = ", ".join(
        f"{rule}: {'kept' if is_kept else 'undecided' if is_kept is None else 'BROKEN'}"
        for rule, is_kept in counts["rules"].items()
        if rule not in ("cold", "budget")
    )
    hollow, real = counts["hollow"], counts["real"]
    yield (
        f"version {counts['version']}: {hollow['current']} of {hollow['nodes']} hollow nodes have it; "
        f"right list: {hollow['right']} hollow nodes, {real['right']} of {real['nodes']} real ones; "
        f"duplicate changes {hollow['twice']}, watches lost {hollow['lost']}"
    )
    yield f"{counts['planned']} requests, {counts['answered']} answered {counts['statuses']}; {rules}"


def _scene_line(scene, key):
    delays, p99_ms = scene[key] if key else None, scene["p99_ms"]
    in_force = ""
    if delays and "last_ms" in delays:
        in_force = "  ".join(
            f"{delays[name]:g}" for name in ("first_ms", "half_ms", "p99_ms", "last_ms")
        )
        in_force += f" of {delays['nodes']}" + (
            f", {delays['never']} never" if delays["never"] else ""
        )
    changes = str(delays["changes"]) if delays else ""
    worst_ms = scene["worst_ms"]["through"]
    latency = f"{p99_ms['through']} - {p99_ms['straight']}" if p99_ms["through"] is not None else ""
    name = scene["what"] + (" (back)" if key == "back" else "")
    ok_count, request_count = scene["answered_200"]
    return (
        f"{name:17}{changes:>3}  {in_force:48}{latency:>20}{'' if worst_ms is None else f'{worst_ms:g}':>10}"
        f"  {ok_count} of {request_count}"
    )
