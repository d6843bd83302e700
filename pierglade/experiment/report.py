"""The report of a run: one HTML file with figures and charts, made from its folder alone."""

import base64
import html
import io
import os

import matplotlib
import msgspec
import numpy as np

from pierglade.audit import records
from pierglade.experiment import plan as plans
from pierglade.experiment import sums

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the headless backend is selected first

CHART_WIDTH_INCHES, CHART_HEIGHT_INCHES = 10.0, 2.6
ANSWER_COLOURS = {
    "in time": "#2b7a4b",
    "late": "#d9a441",
    "rejected": "#c0504d",
    "error or no response": "#5b3a6e",
}
REASON_COLOURS = {"pause": "#d9a441", "draining": "#7f7f7f", "gone": "#bbbbbb"}
DEFAULT_REASON_COLOUR = "#c0504d"
STYLE = """body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.bad{color:#a00;font-weight:bold}"""


def write_report(folder):
    """Writes report.html into the folder of a run; returns its path."""
    summary = _read(folder, "summary.json")
    raw = _read(folder, "plan.json")
    raw.pop("build")
    plan = plans.plan_from(raw)
    samples = _read(folder, "samples.json")
    clients = []
    for number in range(plan.ledgers()):
        clients += records.read(os.path.join(folder, f"clients-{number}.jsonl"))[0]
    requests = sums.RequestTable(
        plan, sorted(clients, key=lambda row: row["t_ms"]), samples["began_ms"]
    )
    columns = sums.by_second(requests, plan.seconds())
    parts = [
        _overview(plan, summary),
        _chart(_draw_answers, plan, columns),
        _chart(_draw_latency, plan, columns),
        _chart(_draw_excluded, plan, samples["left_out"], max(2, len(plan.fleet.names()))),
        _chart(_draw_cpu, plan, samples["nodes"]),
        _fault_table(summary),
        _violations(folder, summary),
    ]
    path = os.path.join(folder, "report.html")
    with open(path, "w") as file:
        file.write(
            "<!doctype html><meta charset=utf-8><title>%s</title><style>%s</style>%s"
            % (html.escape(plan.title or "experiment"), STYLE, "\n".join(filter(None, parts)))
        )
    return path


def _read(folder, name):
    with open(os.path.join(folder, name), "rb") as file:
        return msgspec.json.decode(file.read())


def _table(header, rows):
    cells = ["<tr>" + "".join(f"<th>{html.escape(str(cell))}" for cell in header)]
    cells += ["<tr>" + "".join(f"<td>{html.escape(str(cell))}" for cell in row) for row in rows]
    return f"<table>{''.join(cells)}</table>"


def _overview(plan, summary):
    verdicts = {True: "held", False: "BROKEN", None: "undecided"}
    latency = summary["latency_ms"]
    lines = [
        f"<h1>{html.escape(plan.title or 'experiment')}</h1>",
        f"<p>{plan.nodes.count} nodes of <b>{html.escape(summary['build'])}</b> in front of "
        f"{len(plan.fleet.names())} simulated backends, {plan.seconds():g} s, seed {plan.seed}. "
        "All servers are simulated on this machine.",
    ]
    lines += [
        f"<p class=bad>Not reliable: {html.escape(doubt)}"
        for doubt in summary["not_to_be_trusted"] + summary["holes"]
    ]
    lines.append(
        _table(
            (
                "service",
                "planned",
                "in time",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "trips",
                "CPU ms per response",
            ),
            [
                (
                    summary["service"],
                    summary["planned"],
                    summary["in_time"],
                    latency.get("p50"),
                    latency.get("p99"),
                    latency.get("p999"),
                    summary["trips"],
                    summary["cpu_ms_an_answer"],
                )
            ],
        )
    )
    lines.append(
        _table(
            ("rule", ""),
            [(rule, verdicts[has_held]) for rule, has_held in summary["rules"].items()],
        )
    )
    lines.append(_table(("status", "requests"), summary["statuses"].items()))
    lines.append(_table(("offering", "service"), summary["by_offering"].items()))
    return "\n".join(lines)


def _fault_table(summary):
    if not summary["faults"]:
        return ""
    return "<h2>Faults</h2>" + _table(
        ("fault", "from s", "to s", "service during the fault", "recovered after s"),
        [
            (
                row["what"],
                row["at_s"],
                row["until_s"],
                row["service"],
                "not by the end of the load" if row["back_s"] is None else row["back_s"],
            )
            for row in summary["faults"]
        ],
    )


def _violations(folder, summary):
    if not summary["breaks"]:
        return ""
    parts = ["<h2 class=bad>Broken rules</h2>"]
    for violation in _read(folder, "breaks.json")[:20]:
        lines = "\n".join(violation["lines"])
        parts.append(
            f"<p>{html.escape(violation['rule'])}, {html.escape(violation['who'])}: "
            f"{html.escape(violation['what'])}<pre>{html.escape(lines)}</pre>"
        )
    return "\n".join(parts)


def _chart(draw, plan, *data):
    """Returns a chart as an HTML image; `draw` adds the data, and all faults are marked."""
    figure, axes = pyplot.subplots(figsize=(CHART_WIDTH_INCHES, CHART_HEIGHT_INCHES))
    try:
        draw(axes, plan, *data)
        for fault in plan.fleet.befall:
            until = min(plan.seconds(), fault.ends_at_s())
            if until > fault.at_s:
                axes.axvspan(fault.at_s, until, color="#000000", alpha=0.07, linewidth=0)
            axes.axvline(fault.at_s, color="#000000", alpha=0.4, linewidth=0.8)
            axes.annotate(
                fault.what,
                (fault.at_s, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=8,
                va="bottom",
            )
        axes.set_xlim(0, plan.seconds())
        axes.set_xlabel("s")
        figure.tight_layout()
        image = io.BytesIO()
        figure.savefig(image, format="png", dpi=110)
    finally:
        pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(image.getvalue()).decode()}">'


def _draw_answers(axes, plan, columns):
    second, requests, in_time, late, rejected, other, _, _ = columns
    axes.stackplot(
        second + 0.5,
        in_time,
        late,
        rejected,
        other,
        labels=list(ANSWER_COLOURS),
        colors=ANSWER_COLOURS.values(),
    )
    axes.plot(second + 0.5, requests, color="#222222", linewidth=1, label="requests")
    axes.set_ylabel("requests per second")
    axes.legend(fontsize=7, loc="lower left", ncols=5)


def _draw_latency(axes, plan, columns):
    second, p50, p99 = columns[0], columns[6], columns[7]
    axes.plot(second + 0.5, p50, label="p50", color="#2b7a4b")
    axes.plot(second + 0.5, p99, label="p99", color="#c0504d")
    if np.isfinite(p99).any():
        axes.set_yscale("log")
    axes.set_ylabel("latency, ms")
    axes.legend(fontsize=7)


def _draw_excluded(axes, plan, rows, backend_count):
    """Draws a mark for each poll in which a node excluded a backend, coloured by the reason."""
    names = sorted({name for _, _, name, _ in rows}, key=lambda name: (len(name), name))[:60]
    points_by_reason = {}
    for at, _, name, reason in rows:
        if name in names:
            points_by_reason.setdefault(reason, []).append((at, names.index(name)))
    for reason, points in sorted(points_by_reason.items()):
        at, rank = zip(*points)
        axes.plot(
            at,
            rank,
            "s",
            markersize=3,
            alpha=0.6,
            label=reason,
            color=REASON_COLOURS.get(reason, DEFAULT_REASON_COLOUR),
        )
    axes.set_yticks(range(len(names)), names, fontsize=6)
    axes.set_ylim(-1, max(1, len(names)))
    axes.set_ylabel("excluded by a node")
    if points_by_reason:
        axes.legend(fontsize=7, loc="upper left")


def _draw_cpu(axes, plan, samples):
    for number in sorted({number for _, number, _, _ in samples}):
        at, cpu = np.array([(row[0], row[2]) for row in samples if row[1] == number]).T
        if len(at) > 1:
            axes.plot(
                at[1:],
                np.diff(cpu) / np.maximum(np.diff(at), 1e-3),
                linewidth=1,
                label=f"n{number}",
            )
    axes.set_ylim(bottom=0)
    axes.set_ylabel("CPU cores per node")
    if samples:
        axes.legend(fontsize=7, ncols=4)
