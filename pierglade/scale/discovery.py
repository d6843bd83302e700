"""`python -m pierglade.scale.discovery SPEC`: one discovery before all nodes of a scale run.

SPEC is a JSON file: `plan`, `port`, `port_of_backends`, `ledger`, and after a restart `index` and `changed`,
the entries that are not as at the start. It comes back without its history: every watch gets the whole list.
"""

import asyncio
import sys
import time
from types import SimpleNamespace

import msgspec

from pierglade.audit.ledger import Ledger
from pierglade.scale import child
from pierglade.scale.plan import Plan, entries
from pierglade.testbed.discovery import Agent

LEDGER_MB = 256.0


class Told(Agent):
    def __init__(self, spec):
        plan = msgspec.convert(spec["plan"], Plan)
        ahead = time.time() - time.monotonic()
        ledger = Ledger(spec["ledger"], LEDGER_MB, lambda: (ahead + time.monotonic()) * 1000)
        super().__init__(
            SimpleNamespace(
                clock=None, ledger=ledger, plan=SimpleNamespace(discovery=plan.discovery)
            )
        )
        self.ledger = ledger
        self.changed_since = {}  # name: [status, since_ms] where that is another one than at the start
        self.all = {entry["name"]: entry for entry in entries(plan, spec["port_of_backends"])}
        self.first(self.all.values())
        for name, (status, since_ms) in (spec.get("changed") or {}).items():
            self._change(name, status, since_ms)
        self.index, self.changes = spec.get("index") or 1, []

    def _change(self, name, status, since_ms):
        was = self.all[name]
        self.changed_since[name] = [status, since_ms]
        if (status, since_ms) == ("SERVING", 0):
            del self.changed_since[name]
        self._tell({**was, "status": status, "since_ms": since_ms})

    # Commands.

    def tell(self, changes):
        """[[name, status, since_ms], ...] at once; the version that holds them, and the moment."""
        at = time.monotonic()
        for name, status, since_ms in changes:
            self._change(name, status, since_ms)
        self.ledger.flush()
        return {"index": self.index, "at": at}

    def figures(self):
        return {
            "index": self.index,
            "sent": self.sent,
            "heard": self.heard,
            "watches": len(self.watches),
        }

    def state(self):
        return {"index": self.index, "changed": self.changed_since}


async def serve(spec):
    told = Told(spec)
    try:
        await told.start(spec["port"])
    except OSError as fault:
        child.fail(f"cannot listen on 127.0.0.1:{spec['port']} (discovery): {fault.strerror}")
    child.say({"address": told.address})
    await child.obey({"tell": told.tell, "figures": told.figures, "state": told.state})
    await told.stop()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(serve(msgspec.json.decode(file.read())))
