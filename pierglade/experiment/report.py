"""A play's page: one HTML file with its figures and pictures in it, made from the folder alone."""

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
from matplotlib import pyplot  # noqa: E402 - the backend without a screen is chosen before

WIDE, HIGH = 10.0, 2.6  # inches, a picture
COLOURS = {
    "in time": "#2b7a4b",
    "late": "#d9a441",
    "refused": "#c0504d",
    "no or bad answer": "#5b3a6e",
}
WHYS = {"pause": "#d9a441", "draining": "#7f7f7f", "gone": "#bbbbbb"}
OTHER_WHY = "#c0504d"
STYLE = """body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}img{max-width:100%}.bad{color:#a00;font-weight:bold}"""


def page(folder):
    """Writes report.html into the folder of a play; returns its path."""
    summary = _read(folder, "summary.json")
    raw = _read(folder, "plan.json")
    raw.pop("build")
    plan = plans.made(raw)
    samples = _read(folder, "samples.json")
    clients = []
    for number in range(plan.ledgers()):
        clients += records.read(os.path.join(folder, f"clients-{number}.jsonl"))[0]
    asked = sums.Asked(plan, sorted(clients, key=lambda row: row["t_ms"]), samples["began_ms"])
    columns = sums.by_second(asked, plan.seconds())
    parts = [
        _head(plan, summary),
        _picture(_answers, plan, columns),
        _picture(_latency, plan, columns),
        _picture(_left_out, plan, samples["left_out"], max(2, len(plan.fleet.names()))),
        _picture(_cpu, plan, samples["nodes"]),
        _faults(summary),
        _breaks(folder, summary),
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


def _table(head, rows):
    cells = ["<tr>" + "".join(f"<th>{html.escape(str(cell))}" for cell in head)]
    cells += ["<tr>" + "".join(f"<td>{html.escape(str(cell))}" for cell in row) for row in rows]
    return f"<table>{''.join(cells)}</table>"


def _head(plan, summary):
    words = {True: "held", False: "BROKEN", None: "open"}
    at = summary["latency_ms"]
    lines = [
        f"<h1>{html.escape(plan.title or 'experiment')}</h1>",
        f"<p>{plan.nodes.count} nodes of <b>{html.escape(summary['build'])}</b> before "
        f"{len(plan.fleet.names())} stand-in backends, {plan.seconds():g} s, seed {plan.seed}. All "
        "servers are simulated on this machine.",
    ]
    lines += [
        f"<p class=bad>Not to be trusted: {html.escape(doubt)}"
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
                "CPU ms an answer",
            ),
            [
                (
                    summary["service"],
                    summary["planned"],
                    summary["in_time"],
                    at.get("p50"),
                    at.get("p99"),
                    at.get("p999"),
                    summary["trips"],
                    summary["cpu_ms_an_answer"],
                )
            ],
        )
    )
    lines.append(
        _table(("rule", ""), [(rule, words[held]) for rule, held in summary["rules"].items()])
    )
    lines.append(_table(("answers", "of what was asked"), summary["statuses"].items()))
    lines.append(_table(("offering", "service"), summary["by_offering"].items()))
    return "\n".join(lines)


def _faults(summary):
    if not summary["faults"]:
        return ""
    return "<h2>What befell the fleet</h2>" + _table(
        ("what", "from s", "to s", "service meanwhile", "back after s"),
        [
            (
                row["what"],
                row["at_s"],
                row["until_s"],
                row["service"],
                "not by the end" if row["back_s"] is None else row["back_s"],
            )
            for row in summary["faults"]
        ],
    )


def _breaks(folder, summary):
    if not summary["breaks"]:
        return ""
    told = ["<h2 class=bad>Broken rules</h2>"]
    for each in _read(folder, "breaks.json")[:20]:
        lines = "\n".join(each["lines"])
        told.append(
            f"<p>{html.escape(each['rule'])}, {html.escape(each['who'])}: "
            f"{html.escape(each['what'])}<pre>{html.escape(lines)}</pre>"
        )
    return "\n".join(told)


def _picture(draw, plan, *what):
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH))
    try:
        draw(axes, plan, *what)
        for befall in plan.fleet.befall:
            until = min(plan.seconds(), befall.until())
            if until > befall.at_s:
                axes.axvspan(befall.at_s, until, color="#000000", alpha=0.07, linewidth=0)
            axes.axvline(befall.at_s, color="#000000", alpha=0.4, linewidth=0.8)
            axes.annotate(
                befall.what,
                (befall.at_s, 1.0),
                xycoords=("data", "axes fraction"),
                fontsize=8,
                va="bottom",
            )
        axes.set_xlim(0, plan.seconds())
        axes.set_xlabel("s")
        figure.tight_layout()
        data = io.BytesIO()
        figure.savefig(data, format="png", dpi=110)
    finally:
        pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}">'


def _answers(axes, plan, columns):
    second, asked, good, late, refused, other, _, _ = columns
    axes.stackplot(
        second + 0.5, good, late, refused, other, labels=list(COLOURS), colors=COLOURS.values()
    )
    axes.plot(second + 0.5, asked, color="#222222", linewidth=1, label="asked")
    axes.set_ylabel("answers a second")
    axes.legend(fontsize=7, loc="lower left", ncols=5)


def _latency(axes, plan, columns):
    second, p50, p99 = columns[0], columns[6], columns[7]
    axes.plot(second + 0.5, p50, label="p50", color="#2b7a4b")
    axes.plot(second + 0.5, p99, label="p99", color="#c0504d")
    if np.isfinite(p99).any():
        axes.set_yscale("log")
    axes.set_ylabel("ms, planned to answer")
    axes.legend(fontsize=7)


def _left_out(axes, plan, rows, most):
    """A mark a look: which backend how many of the nodes left out, and why."""
    names = sorted({name for _, _, name, _ in rows}, key=lambda name: (len(name), name))[:60]
    seen = {}
    for at, _, name, why in rows:
        if name in names:
            seen.setdefault(why, []).append((at, names.index(name)))
    for why, points in sorted(seen.items()):
        at, rank = zip(*points)
        axes.plot(at, rank, "s", markersize=3, alpha=0.6, label=why, color=WHYS.get(why, OTHER_WHY))
    axes.set_yticks(range(len(names)), names, fontsize=6)
    axes.set_ylim(-1, max(1, len(names)))
    axes.set_ylabel("left out by a node")
    if seen:
        axes.legend(fontsize=7, loc="upper left")


def _cpu(axes, plan, samples):
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
    axes.set_ylabel("cores, each node")
    if samples:
        axes.legend(fontsize=7, ncols=4)
