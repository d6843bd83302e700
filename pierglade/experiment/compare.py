"""Plays side by side: builds on one plan in turns, or two folders that lie there, with their spread."""

import os
import statistics

import msgspec

from pierglade.experiment import play as plays
from pierglade.testbed.plain import POLICIES  # noqa: F401 - whose broken rules are no fault of ours

# What is set side by side: its name, how it is found in a summary, and whether more of it is better.
FIGURES = (
    ("service", lambda told: told["service"], True),
    ("worst second", lambda told: told["worst_second"][1], True),
    ("p50 ms", lambda told: told["latency_ms"].get("p50"), False),
    ("p99 ms", lambda told: told["latency_ms"].get("p99"), False),
    ("tries", lambda told: told["tries"], False),
    ("trips", lambda told: told["trips"], False),
    ("CPU ms an answer", lambda told: told["cpu_ms_an_answer"], False),
    (
        "fullest core",
        lambda told: max((node["fullest_core"] for node in told["nodes"]), default=None),
        False,
    ),
    ("most MB", lambda told: max((node["rss_mb"] for node in told["nodes"]), default=None), False),
)


def in_turns(plan, folder, builds, times, progress=lambda played, share: None):
    """Plays `plan` `times` times with each of `builds`, turn and turn about; {label: [summary]}.

    Each round begins with another build, so that what drifts on the machine falls on all alike.
    """
    told = {build.label: [] for build in builds}
    played = 0
    for turn in range(times):
        for build in builds[turn % len(builds) :] + builds[: turn % len(builds)]:
            where = os.path.join(folder, f"{_name(build.label)}-{turn}")
            told[build.label].append(
                plays.play(plan, where, build, lambda share, n=played: progress(n, share))
            )
            played += 1
    return told


def _name(label):
    return "".join(letter if letter.isalnum() else "-" for letter in label).strip("-")[-40:]


def summaries(folder):
    """The summaries of a play, or of all plays in a folder; raises OSError or ValueError with the place."""
    paths = [os.path.join(folder, "summary.json")]
    if not os.path.exists(paths[0]):
        paths = [
            path
            for name in sorted(os.listdir(folder))
            if os.path.exists(path := os.path.join(folder, name, "summary.json"))
        ]
    if not paths:
        raise ValueError(f"{folder}: there is no summary.json of a play")
    told = []
    for path in paths:
        with open(path, "rb") as file:
            try:
                told.append(msgspec.json.decode(file.read(), type=dict))
                told[-1]["service"], told[-1]["latency_ms"], told[-1]["rules"], told[-1]["breaks"]
            except (msgspec.DecodeError, KeyError) as fault:
                raise ValueError(f"{path}: no summary of a play ({fault})") from None
    return told


def rows(told):
    """(figure, {label: (median, least, most)}, verdict) of {label: [summary]}.

    The verdict names the better one where the spreads of two lie apart, and says so where they do not.
    """
    for name, of, more in FIGURES:
        spread = {}
        for label, some in told.items():
            values = [value for value in map(of, some) if value is not None]
            if values:
                spread[label] = statistics.median(values), min(values), max(values)
        yield name, spread, _verdict(spread, more, min(map(len, told.values())))


def _verdict(spread, more, plays_of_each):
    if len(spread) != 2:
        return ""
    (one, (_, low, high)), (other, (_, low2, high2)) = spread.items()
    if low <= high2 and low2 <= high:
        return "not told apart"
    if plays_of_each < 2:
        return "one play each: no spread"
    return f"{one if (low > high2) == more else other} is better"


def doubts(told):
    """Why the plays say less than they seem to, with the broken rules first: (broken, lines)."""
    broken, lines = False, []
    for label, some in told.items():
        for number, summary in enumerate(some):
            for rule, held in summary["rules"].items():
                if held is False:
                    broken = True
                    lines.append(
                        f"{label}, play {number}: {rule} BROKEN, {summary['breaks']} breaks in all"
                    )
            lines += [
                f"{label}, play {number}: {doubt}"
                for doubt in summary["not_to_be_trusted"] + summary["holes"]
            ]
    return broken, lines
