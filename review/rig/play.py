"""Plays a case: prepares the record, ends what was started, gives the exit status."""

import os
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path

from rig.node import CaseCouldNotRunError
from rig.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110  # a case that takes longer is ended


def _stop(number, _):
    name = signal.Signals(number).name
    raise CaseCouldNotRunError(f"ended by {name}; SIGALRM comes after {LIMIT_S} s")


def play(folder: Path, case: Callable[[Record, bool, list], int]):
    """Runs `case(record, trouble, started)` and exits with its status.

    `started`: the case adds whatever has a `close` method; all of it is closed at the end.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record, started = Record(folder / "record.txt"), []
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _stop)
    signal.alarm(LIMIT_S)
    try:
        status = case(record, trouble, started)
    except CaseCouldNotRunError as error:
        record.note(f"could not run: {error}")
        status = COULD_NOT_RUN
    except Exception:
        record.note(f"could not run:\n{traceback.format_exc()}")
        status = COULD_NOT_RUN
    finally:
        signal.alarm(0)
        for each in reversed(started):
            each.close()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "could not run")
    record.note(f"verdict: {verdict}")
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
