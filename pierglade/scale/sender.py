"""`python -m pierglade.scale.sender SPEC`: an open-loop load generator for one address.

SPEC is a JSON file: `plan`, `target`, `node`, `number`, `ledger`. It starts at the first line on
standard input, writes its tally once all requests are done, and exits when standard input is closed.
"""

import gc
import os
import sys
import threading

import msgspec
import numpy as np

from pierglade.load import run as load_run
from pierglade.load.plan import ArrivalPattern, RecordedRequest, arrival_times
from pierglade.scale import child
from pierglade.scale.plan import REQUEST_CLASS_REPEATS, Plan


def load_from_spec(spec):
    """Returns the load: random requests, each with a request class and a tenant.

    It is the same for the same plan and sender number.
    """
    plan, seed = msgspec.convert(spec["plan"], Plan), [spec["plan"]["seed"], spec["number"]]
    planned_at = arrival_times(
        [ArrivalPattern(seconds=plan.seconds(), rate=plan.load.rate)], plan.load.spacing, seed
    )
    random = np.random.default_rng([*seed, 1])
    unsafe_flags = random.random(len(planned_at)) < plan.load.one_shot
    tenants = random.integers(plan.tenants.count, size=len(planned_at))
    rows = [
        RecordedRequest(float(moment), "pay" if is_unsafe else "look", f"tenant-{tenant}")
        for moment, is_unsafe, tenant in zip(planned_at, unsafe_flags, tenants)
    ]
    return load_run.Load(
        spec["target"],
        "/",
        planned_at,
        timeout_s=plan.load.limit_ms / 1000,
        seed=sum(seed),
        rows=rows,
        idempotency_by_class=REQUEST_CLASS_REPEATS,
        node=spec["node"],
        ledger=spec["ledger"],
    )


def _exit_at_end_of_input():
    while os.read(0, 1024):
        pass
    os._exit(0)


def main():
    """Sends the load of a SPEC file."""
    with open(sys.argv[1], "rb") as file:
        load = load_from_spec(msgspec.json.decode(file.read()))
    child.write_message({"planned": len(load.moments)})
    if not os.read(0, 1024):
        return
    threading.Thread(target=_exit_at_end_of_input, daemon=True).start()
    gc.freeze()
    # A garbage collection would stall the sender; the size of the plan bounds the garbage.
    gc.disable()
    tally = load_run.run_load(load)
    child.write_message({"tally": tally.encoded().decode()})
    threading.Event().wait()


if __name__ == "__main__":
    main()
