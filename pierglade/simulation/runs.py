"""Runs of one plan file under several policies, side by side, and their table."""

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from pierglade.simulation.plan import Plan
from pierglade.simulation.simulation import load_balancer, run_plan

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
"""(key of a summary or of its rates, title of the column)."""
HEAD = ["varied", "policy", *(title for _, title in COLUMNS), "p99 each", "broken"]
LEFT_ALIGNED = 2
"""Columns; the others are figures and end at the right."""


class Run(NamedTuple):
    """One run to make."""

    varied: dict
    """Place in the plan to value, as the plan file varies it."""
    plan: Plan
    policy: str
    balancer_path: str | None = None
    """Another text of the decisions, hosted in place of the package's."""


def run(job: Run) -> dict:
    """Makes one run; returns its summary with the policy and what was varied."""
    if job.balancer_path:
        summary = run_plan(job.plan, job.policy, load_balancer(job.balancer_path))
    else:
        summary = run_plan(job.plan, job.policy)
    policy = "earlier" if job.balancer_path else job.policy
    return {"policy": policy, "varied": job.varied, **summary}


def run_all(
    plans: list[tuple[dict, Plan]],
    policies: Iterable[str],
    balancer_path: str | None = None,
    processes: int = 1,
) -> Iterator[dict]:
    """Summaries in order: of each plan first `balancer_path`, then the policies."""
    jobs = []
    for varied, plan in plans:
        if balancer_path:
            jobs.append(Run(varied, plan, "node", balancer_path))
        jobs += [Run(varied, plan, policy) for policy in policies]
    if processes == 1:
        yield from map(run, jobs)
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(run, jobs)


def row(summary: dict) -> list[str]:
    """The cells of one run: what was varied, the policy, COLUMNS, request classes, rules broken."""
    varied = " ".join(
        f"{place.split('.')[-1]}={value}" for place, value in summary["varied"].items()
    )
    figures = {**summary, **summary["per_s"]}
    classes = summary["offerings"]
    each = " ".join(f"{name} {figures.get('p99_ms', '-')}" for name, figures in classes.items())
    broken = "; ".join(f"rule {problem}: {count}" for problem, count in summary["broken"].items())
    return [
        varied,
        summary["policy"],
        *("-" if figures[key] is None else f"{figures[key]:g}" for key, _ in COLUMNS),
        each if len(classes) > 1 else "",
        broken,
    ]


def table(rows: Iterable[list[str]]) -> list[str]:
    """Lines of a plain table, columns aligned."""
    rows = [HEAD, *rows]
    widths = [max(len(cells[column]) for cells in rows) for column in range(len(HEAD))]
    return [_line(cells, widths) for cells in rows]


def _line(cells, widths):
    padded = [
        cell.ljust(width) if column < LEFT_ALIGNED else cell.rjust(width)
        for column, (cell, width) in enumerate(zip(cells, widths, strict=True))
    ]
    return "  ".join(padded).rstrip()
