"""Resource use of a run, and the guard that stops a run which exceeds its limits.

`cpu_s` and `rss_mb` measure the process with a given ID; `pss_mb` divides shared memory among the
processes that share it.
"""

import os
import threading
import time

import psutil

CHECK_INTERVAL_S = 0.25


class ResourceLimitError(Exception):
    """A run exceeded its memory or process limit; the message is one line."""


def cpu_s(pid):
    """Returns (s of CPU time, s of waiting for a core) of all current threads of a process."""
    used_ns = waited_ns = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{thread}/schedstat") as file:
                fields = file.read().split()
        except (FileNotFoundError, ProcessLookupError):
            continue  # the thread has ended since the directory was listed
        used_ns, waited_ns = used_ns + int(fields[0]), waited_ns + int(fields[1])
    return used_ns / 1e9, waited_ns / 1e9


def rss_mb(pid):
    """Returns the resident memory of a process in MB."""
    return psutil.Process(pid).memory_info().rss / (1 << 20)


def pss_mb(pid):
    """Returns the proportional set size (PSS) of a process in MB."""
    with open(f"/proc/{pid}/smaps_rollup") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("Pss:")) / 1024


class ResourceGuard:
    """Compares the memory and the number of processes of a run with its limits.

    `list_processes()` returns [(name, pid)]; the peaks add up processes of the same name.
    """

    def __init__(self, max_mb, max_count, list_processes, rss=rss_mb):
        self.max_mb, self.max_count, self.list_processes, self.rss = (
            max_mb,
            max_count,
            list_processes,
            rss,
        )
        self.peak = {}  # name: MB, since the last `take_peaks`
        self.peak_mb = self.peak_count = 0

    def check(self):
        """Measures all processes; raises ResourceLimitError if a limit is exceeded."""
        used_mb, count = {}, 0
        for name, pid in self.list_processes():
            try:
                used_mb[name] = used_mb.get(name, 0.0) + self.rss(pid)
                count += 1
            except (psutil.NoSuchProcess, ProcessLookupError, FileNotFoundError):
                continue  # unexpected exits are detected elsewhere
        for name, mb in used_mb.items():
            self.peak[name] = max(self.peak.get(name, 0.0), mb)
        total_mb = sum(used_mb.values())
        self.peak_mb, self.peak_count = max(self.peak_mb, total_mb), max(self.peak_count, count)
        if total_mb > self.max_mb:
            raise ResourceLimitError(
                f"the run used {total_mb:,.0f} MB, at most {self.max_mb:,.0f} MB are allowed; "
                f"it was stopped"
            )
        if count > self.max_count:
            raise ResourceLimitError(
                f"the run had {count} processes, at most {self.max_count} are allowed; "
                f"it was stopped"
            )

    def take_peaks(self):
        """Returns the peak MB by process name since the last call, and resets the peaks."""
        peak, self.peak = self.peak, {}
        return peak


class GuardThread(threading.Thread):
    """Checks a guard at regular intervals; `error` is the ResourceLimitError that it raised, if any."""

    def __init__(self, guard):
        super().__init__(daemon=True)
        self.guard, self.error, self.stop_requested = guard, None, threading.Event()

    def run(self):
        """Checks until a limit is exceeded or a stop is requested."""
        while not self.stop_requested.wait(CHECK_INTERVAL_S):
            try:
                self.guard.check()
            except ResourceLimitError as error:
                self.error = error
                return


def wait(seconds, check, interval_s=0.05):
    """Waits for `seconds` and calls `check()` every `interval_s` during the wait."""
    deadline = time.monotonic() + seconds
    while (remaining_s := deadline - time.monotonic()) > 0:
        check()
        time.sleep(min(interval_s, remaining_s))
    check()
