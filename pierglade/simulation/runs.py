"""Plays of one plan file under several policies, side by side, and their table."""

from concurrent.futures import ProcessPoolExecutor

from pierglade.simulation import simulation as world

COLUMNS = (
    ("share", "share"),
    ("found_after_s", "found s"),
    ("followed_s", "followed s"),
    ("calm_s", "calm s"),
    ("settled", "settled/s"),
    ("bounced", "bounced/s"),
    ("p50_ms", "p50 ms"),
    ("p99_ms", "p99 ms"),
    ("mean_out", "out"),
    ("most_out", "most"),
    ("mean_limit", "limit"),
    ("tips", "tips"),
    ("falls", "falls"),
    ("most_beyond", "beyond"),
)


def one(job):
    """Plays (varied, plan, policy, path of another text of the decisions or None)."""
    varied, plan, policy, path = job
    summary = world.play(plan, policy, world.earlier(path) if path else None)
    return {"policy": "earlier" if path else policy, "varied": varied, **summary}


def played(plans, policies, path=None, jobs=1):
    """Summaries in order: a plan's policies one by one, first the decisions at `path` if there is one."""
    work = [(varied, plan, policy, None) for varied, plan in plans for policy in policies]
    if path:
        work = [
            job
            for varied, plan in plans
            for job in ((varied, plan, "node", path), *[w for w in work if w[1] is plan])
        ]
    if jobs == 1:
        yield from map(one, work)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(one, work)


def row(summary):
    """The cells of one play: what was varied, the policy, COLUMNS, offerings, rules broken."""
    varied = " ".join(
        f"{place.split('.')[-1]}={value}" for place, value in summary["varied"].items()
    )
    figures = {**summary, **summary["per_s"]}
    cells = [varied, summary["policy"]]
    cells += ["-" if figures[key] is None else f"{figures[key]:g}" for key, _ in COLUMNS]
    cells.append(
        " ".join(f"{name} {o.get('p99_ms', '-')}" for name, o in summary["offerings"].items())
        if len(summary["offerings"]) > 1
        else ""
    )
    cells.append("; ".join(f"rule {what}: {count}" for what, count in summary["broken"].items()))
    return cells


HEAD = ["varied", "policy", *(title for _, title in COLUMNS), "p99 each", "broken"]


def table(rows):
    """Lines of a plain table, columns aligned."""
    rows = [HEAD, *rows]
    widths = [max(len(cells[n]) for cells in rows) for n in range(len(HEAD))]
    return [
        "  ".join(
            cell.ljust(width) if n < 2 else cell.rjust(width)
            for n, (cell, width) in enumerate(zip(cells, widths))
        ).rstrip()
        for cells in rows
    ]
