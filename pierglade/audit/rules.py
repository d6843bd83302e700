"""The rules, each by what the ledgers show: a list of breaks, each with the id and its timeline.

All times are ms on the ledgers' clock. `slack_ms` is what the machine's own unpunctuality may explain.
"""

from collections import defaultdict, deque

import msgspec

from pierglade.audit.records import Hole

RULES = ("one answer", "no effect twice", "drains", "cold", "budget", "left")
SHOWN = 12  # lines of a timeline
SLACK_MS = 50.0
LEFT_MS, LEFT_SHARE = (
    300.0,
    0.25,
)  # so long after its client left nothing is sent on, but for that share
ENDS = frozenset(("ran", "never ran", "error", "dropped", "repeat", "called off"))


class AuditSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What the rules are judged by. `offerings`: name to (repeats, group, window in ms, hard limit in ms)."""

    request_classes: dict[str, tuple[str, str, float, float]]
    places: dict[str, tuple[str, int]] = {}  # backend to its zone and cell
    grace_ms: float = 1000.0
    cold_ms: float = 0.0  # a backend is cold for so long after its start
    cold_from: float = 1.0  # of what it can do, right after it
    tip_multiple: float = 1.0
    able_per_s: float = 0.0  # what a warm backend can do, invocations; 0: rule 4 is not judged
    tip_ms: float = 2000.0  # the window in which a cold one may not be sent more
    span_ms: float = 0.0  # of the budget of further trips; 0: none is stated
    most: int = 0
    share: float = 0.0
    copies: bool = False  # harmless invocations may have two trips out
    slack_ms: float = SLACK_MS


class Break(msgspec.Struct):
    """A broken rule: which, whose (an id or a backend), what was seen, and its timeline."""

    rule: str
    who: str
    what: str
    lines: list[str]


class Verdict(msgspec.Struct):
    breaks: list[Break]
    holes: list[Hole]
    counts: dict[str, int]

    def held(self):
        """Rule to True, False, or None where a hole leaves it open."""
        broken = {each.rule for each in self.breaks}
        return {rule: False if rule in broken else None if self.holes else True for rule in RULES}


def _line(row):
    rest = " ".join(
        f"{key}={value}" for key, value in row.items() if key not in ("t_ms", "event", "id")
    )
    return f"{row['t_ms']:10.1f} {row['event']} {rest}".rstrip()


class _Case:
    """All rows of one id."""

    def __init__(self):
        self.client, self.backends = [], []

    def lines(self):
        rows = sorted(self.client + self.backends, key=lambda row: row["t_ms"])
        return [_line(row) for row in rows[:SHOWN]] + (
            [f"and {len(rows) - SHOWN} lines more"] if len(rows) > SHOWN else []
        )


def audit(terms, client_rows, backend_rows, holes=()):
    """The verdict over the rows of all clients and all backends, with the holes found in reading."""
    cases, holes = defaultdict(_Case), list(holes)
    for row in client_rows:
        if "id" in row:
            cases[row["id"]].client.append(row)
    for row in backend_rows:
        if "id" in row:
            cases[row["id"]].backends.append(row)
    unknown = [
        name
        for name, case in cases.items()
        if not any(row["event"] == "sent" for row in case.client)
    ]
    if unknown:
        holes.append(
            Hole(
                "clients",
                0,
                f"{len(unknown)} ids arrived that no client wrote down, the first {unknown[0]}",
            )
        )
    breaks = []
    for name, case in cases.items():
        breaks += _answers(terms, name, case)
        breaks += _effects(terms, name, case)
    breaks += _drains(terms, backend_rows)
    breaks += _cold(terms, backend_rows)
    breaks += _budget(terms, client_rows, backend_rows, cases)
    waited, sent_on = _left(cases)
    if len(sent_on) > LEFT_SHARE * waited:
        name, late = sent_on[0]
        what = f"sent on {late:.0f} ms after its client left, as were {len(sent_on)} of {waited}"
        breaks.append(Break("left", name, what, cases[name].lines()))
    ran = sum(row["event"] == "ran" for row in backend_rows)
    counts = {
        "invocations": len(cases),
        "arrived": sum(row["event"] == "arrived" for row in backend_rows),
        "ran": ran,
        "answers": sum(row["event"] == "answer" for row in client_rows),
        "left waiting": waited,
        "sent on": len(sent_on),
    }
    return Verdict(breaks, holes, counts)


def _answers(terms, name, case):
    """Rule 1: one final answer before the hard limit, and nothing sent for it afterwards."""
    sent = [row for row in case.client if row["event"] == "sent"]
    answers = [row for row in case.client if row["event"] == "answer"]
    if not sent:
        return
    left = any(row["event"] == "left" for row in case.client)
    told = terms.request_classes.get(sent[0].get("offering", ""))
    limit = sent[0].get("limit_ms") or (told[3] if told else None)
    if len(answers) > 1:
        yield Break("one answer", name, f"{len(answers)} answers", case.lines())
    if not answers and not left:
        yield Break("one answer", name, "no answer", case.lines())
    if answers and limit and answers[0]["t_ms"] > sent[0]["t_ms"] + limit + terms.slack_ms:
        late = answers[0]["t_ms"] - sent[0]["t_ms"]
        yield Break(
            "one answer", name, f"answered after {late:.0f} ms of {limit:.0f}", case.lines()
        )
    if answers:
        after = [
            row
            for row in case.backends
            if row["event"] == "arrived" and row["t_ms"] > answers[0]["t_ms"] + terms.slack_ms
        ]
        if after:
            yield Break(
                "one answer", name, f"sent to {after[0]['backend']} after its answer", case.lines()
            )


def _left(cases):
    """How many clients left while their request waited here, and the (id, ms after) of those sent on."""
    waited, sent_on = 0, []
    for name, case in cases.items():
        left = min((row["t_ms"] for row in case.client if row["event"] == "left"), default=None)
        if left is None:
            continue
        arrived = [row["t_ms"] for row in case.backends if row["event"] == "arrived"]
        late = max(arrived, default=left) - left
        # Whose only trip was out by then did not wait here.
        waited += late > LEFT_MS or not any(moment <= left for moment in arrived)
        if late > LEFT_MS:
            sent_on.append((name, late))
    return waited, sent_on


def _effects(terms, name, case):
    """Rule 2: nothing that may have run goes out again but as its offering allows; never two out at once."""
    attempts = [row for row in case.backends if row["event"] == "arrived"]
    if not attempts:
        return
    told = terms.request_classes.get(attempts[0].get("offering", ""))
    if told is None:
        return
    repeats, group, window, _ = told
    clean = [row for row in case.backends if row["event"] == "never ran"]
    ran = [row for row in case.backends if row["event"] == "ran"]
    if repeats == "one_shot" and len(ran) > 1:
        yield Break("no effect twice", name, f"a one-shot ran {len(ran)} times", case.lines())
    for before, after in zip(attempts, attempts[1:]):
        never = any(
            row["backend"] == before["backend"]
            and before["t_ms"] <= row["t_ms"] <= after["t_ms"] + terms.slack_ms
            for row in clean
        )
        if never:
            continue
        if repeats == "one_shot":
            way = f"{before['backend']} was sent to {after['backend']}"
            yield Break(
                "no effect twice", name, f"a one-shot that may have run at {way}", case.lines()
            )
            return
        if repeats == "stamped":
            first, second = (terms.places.get(row["backend"], ("", 0)) for row in (before, after))
            apart = group == "zone" and first[0] != second[0] or group == "cell" and first != second
            if apart:
                what = f"a stamped one was sent on to another {group}"
                yield Break("no effect twice", name, what, case.lines())
                return
            if after["t_ms"] > attempts[0]["t_ms"] + window + terms.slack_ms:
                what = "a stamped one was sent on after its window"
                yield Break("no effect twice", name, what, case.lines())
                return
    if not (terms.copies and repeats == "harmless"):
        yield from _two_out(terms, name, case, attempts)


def _two_out(terms, name, case, attempts):
    """Two trips at work at the same time: the earlier one was neither answered nor called off by then."""
    ends = [row for row in case.backends if row["event"] in ENDS]
    for before, after in zip(attempts, attempts[1:]):
        # Of this trip: one connection may have carried several of them.
        there = before["backend"], before.get("conn")
        end = min(
            (
                row["t_ms"]
                for row in ends
                if row["t_ms"] >= before["t_ms"] and (row["backend"], row.get("conn")) == there
            ),
            default=None,
        )
        if end is not None and end > after["t_ms"] + terms.slack_ms:
            what = f"out at {before['backend']} and at {after['backend']} at once"
            yield Break("no effect twice", name, what, case.lines())
            return


def _drains(terms, rows):
    """Rule 3: nothing new to a draining or gone backend after the grace."""
    since, told = {}, set()
    for row in rows:
        name = row.get("backend", "")
        if row["event"] == "listed":
            if row.get("state") == "SERVING":
                since.pop(name, None)
            else:
                since.setdefault(name, row["t_ms"])
        elif row["event"] == "arrived" and name in since:
            late = row["t_ms"] - since[name] - terms.grace_ms - terms.slack_ms
            if late > 0 and name not in told:
                told.add(name)
                what = f"{row.get('id')} arrived {late + terms.slack_ms:.0f} ms after its grace"
                yield Break("drains", name, what, [_line(row)])


def _cold(terms, rows):
    """Rule 4: in no window does a cold backend get more than so many times what it can do then."""
    if not terms.able_per_s or not terms.cold_ms:
        return
    started, recent, told = {}, defaultdict(deque), set()
    for row in rows:
        name = row.get("backend", "")
        starts = ("restart", "replace") if row.get("begins") else ("crash",)
        if row["event"] == "befalls" and row.get("what") in starts:
            for backend in row.get("backends", ()):
                started[backend] = row["t_ms"]
                recent[backend].clear()
        elif row["event"] == "arrived" and name in started and name not in told:
            age, times = row["t_ms"] - started[name], recent[name]
            if age > terms.cold_ms:
                continue
            times.append(row["t_ms"])
            while times[0] <= row["t_ms"] - terms.tip_ms:
                times.popleft()
            able = terms.cold_from + (1 - terms.cold_from) * age / terms.cold_ms
            most = terms.tip_multiple * able * terms.able_per_s * terms.tip_ms / 1000
            if len(times) > most + 2 * most**0.5 + 1:  # two standard deviations of chance, and one
                told.add(name)
                what = f"{len(times)} arrived within {terms.tip_ms:.0f} ms, over {most:.0f}, at {age:.0f} ms"
                yield Break("cold", name, what, [_line(row)])


def _budget(terms, client_rows, backend_rows, cases):
    """In any span the further trips of a node number at most so many and a share of what it took in it."""
    if not terms.span_ms:
        return
    nodes = {row["id"]: row.get("node", "") for row in client_rows if row["event"] == "sent"}
    taken, further, seen, told = defaultdict(deque), defaultdict(deque), set(), set()
    rows = sorted(
        [row for row in client_rows if row["event"] == "sent"]
        + [row for row in backend_rows if row["event"] == "arrived" and "id" in row],
        key=lambda row: (row["t_ms"], row["event"] != "sent"),
    )
    for row in rows:
        node, now = nodes.get(row["id"], ""), row["t_ms"]
        if row["event"] == "sent":
            taken[node].append(now)
            continue
        if row["id"] not in seen:
            seen.add(row["id"])
            continue
        further[node].append(now)
        for times in (taken[node], further[node]):
            while times and times[0] <= now - terms.span_ms:
                times.popleft()
        # What was taken within the slack before the span may still count at the node.
        most = terms.most + terms.share * (len(taken[node]) + terms.share) + 1
        if len(further[node]) > most and node not in told:
            told.add(node)
            yield Break(
                "budget",
                node or "the node",
                f"{len(further[node])} further trips within "
                f"{terms.span_ms:.0f} ms, {most:.1f} are allowed",
                cases[row["id"]].lines(),
            )
