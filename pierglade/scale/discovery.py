"""`python -m pierglade.scale.discovery SPEC`: the discovery service of all nodes of a scale run.

SPEC is a JSON file: `plan`, `port`, `port_of_backends`, `ledger`, and after a restart `index` and
`changed`, the entries that differ from the initial list. A restarted discovery has no history of
changes, so that every watch receives the whole list.
"""

import asyncio
import sys
import time
from types import SimpleNamespace

import msgspec

from pierglade.audit.ledger import Ledger
from pierglade.scale import child
from pierglade.scale.plan import Plan, endpoint_entries
from pierglade.testbed.discovery import DiscoveryServer

LEDGER_MB = 256.0


class ScaleDiscovery(DiscoveryServer):
    """The list of backends, and the commands that change it."""

    def __init__(self, spec):
        plan = msgspec.convert(spec["plan"], Plan)
        unix_offset_s = time.time() - time.monotonic()
        ledger = Ledger(
            spec["ledger"], LEDGER_MB, lambda: (unix_offset_s + time.monotonic()) * 1000
        )
        super().__init__(
            SimpleNamespace(
                clock=None, ledger=ledger, plan=SimpleNamespace(discovery=plan.discovery)
            )
        )
        self.ledger = ledger
        self.differences = {}  # name: [status, since_ms] of each entry that differs from the initial list
        self.initial_entries = {
            entry["name"]: entry for entry in endpoint_entries(plan, spec["port_of_backends"])
        }
        self.set_initial_entries(self.initial_entries.values())
        for name, (status, since_ms) in (spec.get("changed") or {}).items():
            self._change(name, status, since_ms)
        self.index, self.changes = spec.get("index") or 1, []

    def _change(self, name, status, since_ms):
        initial_entry = self.initial_entries[name]
        self.differences[name] = [status, since_ms]
        if (status, since_ms) == ("SERVING", 0):
            del self.differences[name]
        self._publish({**initial_entry, "status": status, "since_ms": since_ms})

    # Commands.

    def publish(self, changes):
        """Publishes [[name, status, since_ms], ...]; returns the last version, and the monotonic time."""
        published_at = time.monotonic()
        for name, status, since_ms in changes:
            self._change(name, status, since_ms)
        self.ledger.flush()
        return {"index": self.index, "at": published_at}

    def totals(self):
        """Returns the version, the bytes sent and received, and the number of open watches."""
        return {
            "index": self.index,
            "sent": self.sent_bytes,
            "heard": self.received_bytes,
            "watches": len(self.watches),
        }

    def state(self):
        """Returns the version and the entries that differ from the initial list."""
        return {"index": self.index, "changed": self.differences}


async def serve(spec):
    """Serves the list until standard input ends."""
    discovery = ScaleDiscovery(spec)
    try:
        await discovery.start(spec["port"])
    except OSError as error:
        child.exit_with_error(
            f"cannot listen on 127.0.0.1:{spec['port']} (discovery): {error.strerror}"
        )
    child.write_message({"address": discovery.address})
    await child.serve_commands(
        {"tell": discovery.publish, "figures": discovery.totals, "state": discovery.state}
    )
    await discovery.stop()


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        asyncio.run(serve(msgspec.json.decode(file.read())))
