"""Compares experiment runs, with the spread of each figure.

The runs are of several builds on one plan, alternating, or come from folders of earlier runs.
"""

import os
import statistics

import msgspec

from pierglade.experiment import play as runner

# Used by pierglade.cli.compare: rules broken by a reference balancer do not fail the command.
from pierglade.testbed.plain import POLICIES  # noqa: F401

# Compared figures: name, function that reads it from a summary, and whether higher is better.
FIGURES = (
    ("service", lambda summary: summary["service"], True),
    ("worst second", lambda summary: summary["worst_second"][1], True),
    ("p50 ms", lambda summary: summary["latency_ms"].get("p50"), False),
    ("p99 ms", lambda summary: summary["latency_ms"].get("p99"), False),
    ("tries", lambda summary: summary["tries"], False),
    ("trips", lambda summary: summary["trips"], False),
    ("CPU ms/response", lambda summary: summary["cpu_ms_an_answer"], False),
    (
        "busiest core",
        lambda summary: max((node["fullest_core"] for node in summary["nodes"]), default=None),
        False,
    ),
    (
        "peak MB",
        lambda summary: max((node["rss_mb"] for node in summary["nodes"]), default=None),
        False,
    ),
)


def run_alternating(plan, folder, builds, times, progress=lambda completed, fraction: None):
    """Runs `plan` `times` times with each of `builds`, alternating; returns {label: [summary]}.

    Each round starts with a different build, so that a drift of the machine affects all builds
    alike. `progress` is called with the number of completed runs and the completed fraction of the
    current one.
    """
    summaries_by_label = {build.label: [] for build in builds}
    completed = 0
    for round_number in range(times):
        for build in builds[round_number % len(builds) :] + builds[: round_number % len(builds)]:
            run_folder = os.path.join(folder, f"{_folder_name(build.label)}-{round_number}")
            summaries_by_label[build.label].append(
                runner.run_experiment(
                    plan,
                    run_folder,
                    build,
                    lambda fraction, completed=completed: progress(completed, fraction),
                )
            )
            completed += 1
    return summaries_by_label


def _folder_name(label):
    return "".join(letter if letter.isalnum() else "-" for letter in label).strip("-")[-40:]


def summaries(folder):
    """Returns the summaries of one run, or of all runs in a folder.

    Raises OSError, or ValueError with the path of the invalid summary.
    """
    paths = [os.path.join(folder, "summary.json")]
    if not os.path.exists(paths[0]):
        paths = [
            path
            for name in sorted(os.listdir(folder))
            if os.path.exists(path := os.path.join(folder, name, "summary.json"))
        ]
    if not paths:
        raise ValueError(f"{folder}: no summary.json of a run in this folder or its subfolders")
    found = []
    for path in paths:
        with open(path, "rb") as file:
            try:
                found.append(msgspec.json.decode(file.read(), type=dict))
                (
                    found[-1]["service"],
                    found[-1]["latency_ms"],
                    found[-1]["rules"],
                    found[-1]["breaks"],
                )
            except (msgspec.DecodeError, KeyError) as error:
                raise ValueError(f"{path}: not the summary of a run ({error})") from None
    return found


def compare_figures(summaries_by_label):
    """Yields (figure, {label: (median, minimum, maximum)}, verdict) for {label: [summary]}.

    The verdict names the better of two builds if their ranges do not overlap, and otherwise states
    that they are not distinguishable.
    """
    for name, read_figure, is_higher_better in FIGURES:
        spread = {}
        for label, of_label in summaries_by_label.items():
            values = [value for value in map(read_figure, of_label) if value is not None]
            if values:
                spread[label] = statistics.median(values), min(values), max(values)
        yield (
            name,
            spread,
            _verdict(spread, is_higher_better, min(map(len, summaries_by_label.values()))),
        )


def _verdict(spread, is_higher_better, runs_of_each):
    if len(spread) != 2:
        return ""
    (first, (_, first_min, first_max)), (second, (_, second_min, second_max)) = spread.items()
    if first_min <= second_max and second_min <= first_max:
        return "not distinguishable"
    if runs_of_each < 2:
        return "one run each: no spread"
    return f"{first if (first_min > second_max) == is_higher_better else second} is better"


def reliability_warnings(summaries_by_label):
    """Returns (whether a rule was broken, lines on broken rules and unreliable figures)."""
    is_broken, lines = False, []
    for label, of_label in summaries_by_label.items():
        for number, summary in enumerate(of_label):
            for rule, has_held in summary["rules"].items():
                if has_held is False:
                    is_broken = True
                    lines.append(
                        f"{label}, run {number}: rule {rule} is BROKEN; {summary['breaks']} "
                        "violations in total"
                    )
            lines += [
                f"{label}, run {number}: {doubt}"
                for doubt in summary["not_to_be_trusted"] + summary["holes"]
            ]
    return is_broken, lines
