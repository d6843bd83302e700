"""Child processes of a command, which end with it, even if it is killed.

Start with `Children`.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Coroutine

from pierglade.errors import PiergladeError

END_TIMEOUT_S = 5.0
"""Time for a child to end after SIGTERM; then it is killed."""
START_TIMEOUT_S = 15.0
"""Time for a child that logs to a file to log the event `started`."""
FREE_PORTS = range(10000, 16000)
"""Ports that kernels do not assign by themselves: theirs begin at 16,000 or 32,768."""
MAX_PORT_TRIES = 100
POLL_INTERVAL_S = 0.02
"""Interval at which the log of a starting child is read."""


class ChildExitedError(PiergladeError):
    """A child has ended by itself or did not start; the message names it and the reason."""


class StoppedBySignalError(PiergladeError):
    """SIGTERM or SIGINT was received; the message is the name of the signal."""


def free_port() -> int:
    """Returns a loopback port that is free, and that the kernel assigns to no other socket.

    A child listens on it only later. Ephemeral ports are no use: the kernel assigns them to
    connections, and to sockets that are bound to port 0.

    Raises:
        OSError: no free port was found.
    """
    for _ in range(MAX_PORT_TRIES):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.choice(FREE_PORTS)))
            return sock.getsockname()[1]
    raise OSError(f"no free port found in {MAX_PORT_TRIES} tries")


class Children:
    """A context manager that owns child processes and a temporary folder, and removes them on exit.

    The standard input of each child is a pipe, and the child ends when it is closed, so that no
    child outlives this process when it is killed.
    """

    def __init__(self):
        self.running = {}  # name: (process, file with its standard error)
        self.folder = None
        self.task, self.stopped_by = None, None  # the asyncio task of `run`; the signal received

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="pierglade-")
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._raise_stopped)
        return self

    def _raise_stopped(self, number, frame):
        # Further signals are ignored, because they must not interrupt the clean-up.
        for ignored in (signal.SIGTERM, signal.SIGINT):
            signal.signal(ignored, signal.SIG_IGN)
        self.stopped_by = signal.Signals(number).name
        if self.task is None:
            raise StoppedBySignalError(self.stopped_by)
        # The event loop drops what is raised during one of its callbacks, so the task is cancelled.
        self.task.get_loop().call_soon_threadsafe(self.task.cancel)

    def run(self, main: Coroutine):
        """Runs a coroutine with asyncio and returns its result.

        Raises StoppedBySignalError at SIGTERM or SIGINT, whatever the event loop is doing.
        """
        return asyncio.run(self._run_until_signal(main))

    async def _run_until_signal(self, main):
        self.task = asyncio.current_task()
        try:
            return await main
        except asyncio.CancelledError:
            raise StoppedBySignalError(self.stopped_by) from None
        finally:
            self.task = None

    def path(self, name: str) -> str:
        """Returns the path of a file in the temporary folder."""
        return os.path.join(self.folder.name, name)

    def start(self, name, *args):
        """Starts `python -m ARGS`; returns its first line on standard output, decoded from JSON.

        Raises ChildExitedError if that line is not JSON.
        """
        errors = self._open_errors(name)
        process = subprocess.Popen(
            [sys.executable, "-m", *args],
            stdin=subprocess.PIPE,
            stderr=errors,
            stdout=subprocess.PIPE,
            env={**os.environ, "TMPDIR": self.folder.name},
        )
        self.running[name] = process, errors
        line = process.stdout.readline()
        try:
            return json.loads(line)
        except ValueError:
            process.wait()
            raise ChildExitedError(self.describe_exit(name)) from None

    def start_logged(self, name, args, log, env=(), cwd=None):
        """Starts `python ARGS` with standard output in the file `log`; returns its `started` event.

        Raises ChildExitedError if it ends or takes longer than START_TIMEOUT_S.
        """
        errors = self._open_errors(name)
        with open(log, "wb") as log_file:
            process = subprocess.Popen(
                [sys.executable, *args],
                stdin=subprocess.PIPE,
                stderr=errors,
                stdout=log_file,
                cwd=cwd,
                env={**os.environ, "TMPDIR": self.folder.name, **dict(env)},
            )
        self.running[name] = process, errors
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            started = _started_line(log)
            if started is not None:
                return started
            if process.poll() is not None:
                raise ChildExitedError(self.describe_exit(name))
            time.sleep(POLL_INTERVAL_S)
        raise ChildExitedError(f"{name} did not log `started` within {START_TIMEOUT_S:g} s")

    def _open_errors(self, name):
        """Opens the file for a child's standard error; `end` closes it."""
        return open(self.path(name + ".err"), "wb+")

    def raise_if_exited(self) -> None:
        """Raises ChildExitedError if a child has ended."""
        for name, (process, _) in self.running.items():
            if process.poll() is not None:
                raise ChildExitedError(self.describe_exit(name))

    def describe_exit(self, name):
        """Describes the end of a child: its exit status and last line of standard error."""
        process, errors = self.running[name]
        errors.seek(0)
        error_lines = errors.read().decode(errors="replace").strip().splitlines()
        return f"{name} ended with {process.returncode}" + (
            f": {error_lines[-1]}" if error_lines else ""
        )

    def end(self, name):
        """Ends a child; returns the lines that are left on its standard output."""
        process, errors = self.running.pop(name)
        if process.poll() is None:
            process.terminate()
        try:
            output, _ = process.communicate(timeout=END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            output, _ = process.communicate()
        errors.close()
        return (output or b"").decode(errors="replace").splitlines()

    def __exit__(self, *_):
        for process, _ in self.running.values():
            if process.poll() is None:
                process.terminate()
        for name in list(self.running):
            self.end(name)
        self.folder.cleanup()


def _started_line(log):
    """Returns the decoded event `started` of a log; None if it is not complete yet."""
    with open(log, "rb") as file:
        lines = file.read().splitlines(keepends=True)
    for line in lines:
        if line.endswith(b"\n"):
            fields = json.loads(line)
            if fields.get("event") == "started":
                return fields
    return None
