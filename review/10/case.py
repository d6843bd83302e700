"""A discovery that answers 0.3 s late after a move is never heard; drains are not followed."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import rig

LATE_S = 0.3
TOLD_AFTER_S = 6.0  # the latest of the pages, after discovery had the change
GRACE_S = 0.5 + 0.05 + 0.15  # of drains, the sockets' slack, and a node that is held up
WATCHED_S = 16.0


class SlowDiscovery(rig.Discovery):
    """Answers each call some time after it came."""

    def before_answer(self, target: str):
        """Waits if the disruption is on."""
        time.sleep(LATE_S if rig.TROUBLE else 0.0)


def case(stage: rig.Stage) -> str | None:
    """Moves discovery by SIGHUP, then lets a backend drain."""
    backends = [stage.backend(name, kind=rig.Drainable) for name in ("s-1", "s-2", "s-3")]
    entries = [each.entry() for each in backends]
    old = stage.discovery(entries)
    new = stage.discovery(entries, kind=SlowDiscovery, name="discovery-2")
    config = stage.config(old, rig.settings(list(rig.KINGSTON)))
    node = stage.node(config)
    node.wait_ready()
    time.sleep(1.2)
    node.write_config(config | {"discovery": new.address})
    node.signal(signal.SIGHUP)
    old.listener.close()
    time.sleep(1.5)
    old.close()
    time.sleep(2.5)
    drained = backends[0]
    drained.is_draining = True
    new.tell(drained.entry("DRAINING"))
    told = rig.seconds()
    bound = told + TOLD_AFTER_S + GRACE_S
    number = served = 0
    while rig.seconds() < bound + WATCHED_S:
        number += 1
        client = stage.client(node)
        trace_id = f"check-{number}"
        client.send(rig.request_bytes("/balance-check", trace_id), trace_id)
        answer = client.answer(trace_id)
        served += answer is not None and answer.status == 200
        client.close()
        time.sleep(0.05)
    if served < 20:
        raise rig.NotRunError(f"only {served} answers")
    late = [at for at in drained.turned_away if at > bound]
    stage.record.add("check", "sent to the draining backend after the bound", count=len(late))
    if not late:
        return None
    last = max(late) - told
    return f"{len(late)} requests went to a backend up to {last:.1f} s after its drain was told"


rig.play(__file__, case)
