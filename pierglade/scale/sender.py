"""`python -m pierglade.scale.sender SPEC`: the open-loop generator before one address, a process of its own.

SPEC is a JSON file: `plan`, `target`, `node`, `number`, `ledger`. It begins at the first line on standard
input, tells its tally once all is answered, and ends with its standard input.
"""

import gc
import os
import sys
import threading

import msgspec
import numpy as np

from pierglade.load import run as loads
from pierglade.load.plan import ArrivalPattern, RecordedRequest, moments
from pierglade.scale import child
from pierglade.scale.plan import REPEATS, Plan


def load_of(spec):
    """Requests of chance, each of one offering and one tenant; the same for the same plan and number."""
    plan, seed = msgspec.convert(spec["plan"], Plan), [spec["plan"]["seed"], spec["number"]]
    at = moments(
        [ArrivalPattern(seconds=plan.seconds(), rate=plan.load.rate)], plan.load.spacing, seed
    )
    chance = np.random.default_rng([*seed, 1])
    one_shot = chance.random(len(at)) < plan.load.one_shot
    tenants = chance.integers(plan.tenants.count, size=len(at))
    rows = [
        RecordedRequest(float(moment), "pay" if once else "look", f"tenant-{tenant}")
        for moment, once, tenant in zip(at, one_shot, tenants)
    ]
    return loads.Load(
        spec["target"],
        "/",
        at,
        timeout_s=plan.load.limit_ms / 1000,
        seed=sum(seed),
        rows=rows,
        repeats=REPEATS,
        node=spec["node"],
        ledger=spec["ledger"],
    )


def _end_with_input():
    while os.read(0, 1024):
        pass
    os._exit(0)


def main():
    with open(sys.argv[1], "rb") as file:
        load = load_of(msgspec.json.decode(file.read()))
    child.say({"planned": len(load.moments)})
    if not os.read(0, 1024):
        return
    threading.Thread(target=_end_with_input, daemon=True).start()
    gc.freeze()
    gc.disable()  # a collection is a stall of the sender; what it leaves is bounded by the plan
    tally = loads.play(load)
    child.say({"tally": tally.encoded().decode()})
    threading.Event().wait()


if __name__ == "__main__":
    main()
