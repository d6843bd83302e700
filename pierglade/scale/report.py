"""The tables of a scale run, and the shapes of its axes."""

import math

from pierglade.scale.fit import fit
from pierglade.scale.plan import AXES, at_axis, refuse


def axes(plan, path, play, say):
    """Plays each axis at each share; {"runs": [...], "fits": [...]}."""
    from pierglade.simulation.plan import InvalidPlanError

    if plan.axes is None:
        raise InvalidPlanError(f"{path}: $.axes: there is none")
    points = [
        (axis, share, at_axis(plan, axis, share)) for axis in AXES for share in plan.axes.shares
    ]
    for _, _, point in points:
        refuse(point, path)
    runs = []
    for axis, share, point in points:
        say(f"{axis} at {share:g}")
        runs.append(
            {
                "axis": axis,
                "share": share,
                "x": getattr(point, axis).count,
                **play(point, path, say),
            }
        )
    return {"title": plan.title, "runs": runs, "fits": fits(runs)}


def fits(runs):
    """How each figure grows that all points of an axis tell, as plain data."""
    told = []
    for axis in AXES:
        some = [run for run in runs if run["axis"] == axis]
        for what in some[0]["measures"] if some else ():
            points = [(run["x"], run["measures"].get(what)) for run in some]
            if any(y is None or math.isnan(y) for _, y in points):
                continue
            one = fit(points)
            told.append(
                {
                    "axis": axis,
                    "what": what,
                    "shape": one.shape,
                    "base": one.base,
                    "slope": one.slope,
                    "error": one.error,
                    "points": points,
                    "exponent": None if math.isnan(one.exponent) else one.exponent,
                }
            )
    return told


def axes_lines(told):
    for axis in AXES:
        yield f"{axis}"
        for one in told["fits"]:
            if one["axis"] == axis:
                figures = "  ".join(f"{y:g}" for _, y in one["points"])
                each = {
                    "constant": "",
                    "linear": f" + {one['slope']:.3g} each",
                    "square": f" + {one['slope']:.3g} each square",
                }[one["shape"]]
                yield (
                    f"  {one['what']:56} {one['shape']:9} {one['base']:.3g}{each}, "
                    f"error {one['error']:.0%}   [{figures}]"
                )


def lines(told):
    """The tables for people."""
    sizes = told["sizes"]
    yield (
        f"{sizes['nodes']} nodes: {sizes['loaded']} real with requests, {sizes['idle']} real without, "
        f"{sizes['full hollow']} hollow with list and settings, {sizes['watch only']} that hold a watch "
        f"alone; {sizes['backends']} backends in {sizes['services']} services, {sizes['tenants']} tenants"
    )
    yield (
        f"an empty node {told['empty_node_mb']:g} MB; all of it {told['most_mb']} MB and "
        f"{told['most_processes']} processes at most (estimated {told['estimated_mb']} MB)"
    )
    yield ""
    yield (
        f"{'scene':11}{'changes':>9}  {'in force at first, half, 99 in 100, last (ms)':48}"
        f"{'p99 ms':>20}{'worst ms':>10}  with 200"
    )
    for scene in told["scenes"]:
        for key in ("list", "settings", "back"):
            if scene[key]:
                yield _scene(scene, key)
        if not (scene["list"] or scene["settings"] or scene["back"]):
            yield _scene(scene, None)
    yield ""
    roles = list(told["scenes"][0]["cpu_share"])
    yield (
        f"{'% of a core':16}"
        + "".join(f"{role:>14}" for role in roles)
        + f"{'B/s a node out':>16}{'in':>8}"
    )
    for scene in told["scenes"]:
        yield (
            f"  {scene['what']:14}"
            + "".join(f"{scene['cpu_share'][role] * 100:14.3f}" for role in roles)
            + f"{scene['sent_s_node']:16.1f}{scene['heard_s_node']:8.2f}"
        )
    yield "waited for a core, % of the time in which there was work"
    for scene in told["scenes"]:
        yield (
            f"  {scene['what']:14}"
            + "".join(f"{scene['waited_share'][role] * 100:14.1f}" for role in roles)
        )
    yield ""
    width = max(len(row["what"]) for row in told["needs"]) + 2 if told["needs"] else 0
    yield f"{'need against budget':{width}}{'need':>12}{'budget':>10}{'ratio':>9}"
    for row in told["needs"]:
        over = "  over" if row["ratio"] > 1 else ""
        yield (
            f"{row['what']:{width}}{row['need']:12.4g}{row['budget']:10.4g}{row['ratio']:9.3f}  "
            f"{row['unit']}{over}"
        )
    yield ""
    count = told["counts"]
    held = ", ".join(
        f"{rule}: {'held' if ok else 'not told' if ok is None else 'BROKEN'}"
        for rule, ok in count["rules"].items()
        if rule not in ("cold", "budget")
    )
    hollow, real = count["hollow"], count["real"]
    yield (
        f"version {count['version']}: {hollow['current']} of {hollow['nodes']} hollow nodes have it, "
        f"{hollow['right']} with the right list, {real['right']} of {real['nodes']} real ones; "
        f"told twice {hollow['twice']}, watches lost {hollow['lost']}"
    )
    yield f"{count['planned']} requests, {count['answered']} answered {count['statuses']}; {held}"


def _scene(scene, key):
    told, added = scene[key] if key else None, scene["p99_ms"]
    force = ""
    if told and "last_ms" in told:
        force = "  ".join(
            f"{told[name]:g}" for name in ("first_ms", "half_ms", "p99_ms", "last_ms")
        )
        force += f" of {told['nodes']}" + (f", {told['never']} never" if told["never"] else "")
    changes = str(told["changes"]) if told else ""
    worst = scene["worst_ms"]["through"]
    delay = f"{added['through']} - {added['straight']}" if added["through"] is not None else ""
    name = scene["what"] + (" (back)" if key == "back" else "")
    good, asked = scene["answered_200"]
    return (
        f"{name:17}{changes:>3}  {force:48}{delay:>20}{'' if worst is None else f'{worst:g}':>10}"
        f"  {good} of {asked}"
    )
