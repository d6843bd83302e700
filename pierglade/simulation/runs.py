"""Runs the variants of a plan under several policies and formats the results as a table."""

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from pierglade.simulation.plan import Plan
from pierglade.simulation.simulation import load_balancer_class, run_plan

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
"""Columns: (key in a summary or in its rates, title)."""
HEADER = ["varied", "policy", *(title for _, title in COLUMNS), "p99 each", "broken"]
LEFT_ALIGNED_COLUMNS = 2
"""Number of text columns; the columns after them hold numbers, aligned right."""


class Run(NamedTuple):
    """Arguments of one run."""

    varied: dict
    """The keys that the plan file varies, with their values in this run."""
    plan: Plan
    policy: str
    balancer_path: str | None = None
    """Python file whose Balancer replaces the one of the package."""


def run(job: Run) -> dict:
    """Executes one run; returns its summary with the policy and the varied values."""
    if job.balancer_path:
        summary = run_plan(job.plan, job.policy, load_balancer_class(job.balancer_path))
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
    """Yields the summaries in order: for each plan `balancer_path` first, then the policies."""
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
    """Returns the cells of a run: variation, policy, COLUMNS, request classes, rule violations."""
    varied = " ".join(
        f"{key_path.split('.')[-1]}={value}" for key_path, value in summary["varied"].items()
    )
    figures = {**summary, **summary["per_s"]}
    classes = summary["offerings"]
    class_p99s = " ".join(
        f"{name} {figures.get('p99_ms', '-')}" for name, figures in classes.items()
    )
    broken = "; ".join(f"rule {problem}: {count}" for problem, count in summary["broken"].items())
    return [
        varied,
        summary["policy"],
        *("-" if figures[key] is None else f"{figures[key]:g}" for key, _ in COLUMNS),
        class_p99s if len(classes) > 1 else "",
        broken,
    ]


def table(rows: Iterable[list[str]]) -> list[str]:
    """Returns the lines of a plain-text table with aligned columns."""
    rows = [HEADER, *rows]
    widths = [max(len(cells[column]) for cells in rows) for column in range(len(HEADER))]
    return [_line(cells, widths) for cells in rows]


def _line(cells, widths):
    padded = [
        cell.ljust(width) if column < LEFT_ALIGNED_COLUMNS else cell.rjust(width)
        for column, (cell, width) in enumerate(zip(cells, widths, strict=True))
    ]
    return "  ".join(padded).rstrip()
