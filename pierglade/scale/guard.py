"""How much a run takes, looked at as it runs: it ends itself where that is over what it may.

`cpu_s` and `rss_mb` are of one process by its id, `pss_mb` shares what processes share.
"""

import os
import threading
import time

import psutil

LOOK_S = 0.25  # between two looks


class Over(Exception):
    """It took more than it may; one line."""


def cpu_s(pid):
    """(s of processor time, s that it waited for a processor) of all its threads that live."""
    used = waited = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{thread}/schedstat") as file:
                words = file.read().split()
        except (FileNotFoundError, ProcessLookupError):
            continue  # it has ended since the names were read
        used, waited = used + int(words[0]), waited + int(words[1])
    return used / 1e9, waited / 1e9


def rss_mb(pid):
    return psutil.Process(pid).memory_info().rss / (1 << 20)


def pss_mb(pid):
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("Pss:")) / 1024


class Guard:
    """`look()` compares what `processes()` takes, [(name, pid)], with what is allowed; raises Over."""

    def __init__(self, most_mb, most, processes, rss=rss_mb):
        self.most_mb, self.most, self.processes, self.rss = most_mb, most, processes, rss
        self.peak = {}  # name: MB, since the last `take`
        self.peak_mb = self.peak_count = 0

    def look(self):
        taken, count = {}, 0
        for name, pid in self.processes():
            try:
                taken[name] = taken.get(name, 0.0) + self.rss(pid)
                count += 1
            except (psutil.NoSuchProcess, ProcessLookupError, FileNotFoundError):
                continue  # whether it should have ended, others look
        for name, mb in taken.items():
            self.peak[name] = max(self.peak.get(name, 0.0), mb)
        total = sum(taken.values())
        self.peak_mb, self.peak_count = max(self.peak_mb, total), max(self.peak_count, count)
        if total > self.most_mb:
            raise Over(
                f"the run took {total:,.0f} MB, {self.most_mb:,.0f} are allowed; it was ended"
            )
        if count > self.most:
            raise Over(f"the run had {count} processes, {self.most} are allowed; it was ended")

    def take(self):
        """The highest of each since the last time, and from now on anew."""
        peak, self.peak = self.peak, {}
        return peak


class Watch(threading.Thread):
    """Looks again and again; what was over stands in `fault`."""

    def __init__(self, guard):
        super().__init__(daemon=True)
        self.guard, self.fault, self.ends = guard, None, threading.Event()

    def run(self):
        while not self.ends.wait(LOOK_S):
            try:
                self.guard.look()
            except Over as fault:
                self.fault = fault
                return


def wait(seconds, look, step=0.05):
    """Waits so long, `look()` called meanwhile."""
    until = time.monotonic() + seconds
    while (left := until - time.monotonic()) > 0:
        look()
        time.sleep(min(step, left))
    look()
