"""Child processes of a command: each ends with it, whatever way it ends itself.

Start with `Children`.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

from pierglade.errors import PiergladeError

END_TIMEOUT_S = 5.0
"""A child that has not ended by then is killed."""
START_TIMEOUT_S = 15.0
"""A child that logs to a file and has not logged `started` by then has failed."""
LOOK_INTERVAL_S = 0.02


class ChildExitedError(PiergladeError):
    """A child has ended by itself; its text says which and how."""


class StoppedBySignalError(PiergladeError):
    """SIGTERM or SIGINT has come; its text is the signal's name."""


def free_port() -> int:
    """A port of loopback that nobody has now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Children:
    """A context that owns child processes and a folder; its end ends all of them.

    Each child has a pipe as its standard input and ends with it, so that none is left where this
    process is killed outright.
    """

    def __init__(self):
        self.running = {}  # name: (process, file of its standard error)
        self.folder = None

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="pierglade-")
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._stop)
        return self

    def _stop(self, number, frame):
        # Once is enough: the clean-up must not be interrupted.
        for each in (signal.SIGTERM, signal.SIGINT):
            signal.signal(each, signal.SIG_IGN)
        raise StoppedBySignalError(signal.Signals(number).name)

    def path(self, name: str) -> str:
        """A file of that name in the folder of this context."""
        return os.path.join(self.folder.name, name)

    def start(self, name, *args):
        """Starts `python -m ARGS`; returns its first line on standard output, decoded from JSON."""
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
            raise ChildExitedError(self._how(name)) from None

    def start_logged(self, name, words, log, env=(), cwd=None):
        """Starts `python WORDS` with standard output in the file `log`; returns its line."""
        errors = self._open_errors(name)
        with open(log, "wb") as out:
            process = subprocess.Popen(
                [sys.executable, *words],
                stdin=subprocess.PIPE,
                stderr=errors,
                stdout=out,
                cwd=cwd,
                env={**os.environ, "TMPDIR": self.folder.name, **dict(env)},
            )
        self.running[name] = process, errors
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            started = _started_line(log)
            if started is not None:
                return started
            if process.poll() is not None:
                raise ChildExitedError(self._how(name))
            time.sleep(LOOK_INTERVAL_S)
        raise ChildExitedError(f"{name} did not start within {START_TIMEOUT_S:g} s")

    def _open_errors(self, name):
        """The file of a child's standard error; `end` closes it."""
        return open(self.path(name + ".err"), "wb+")

    def look(self) -> None:
        """Raises ChildExitedError if one has ended."""
        for name, (process, _) in self.running.items():
            if process.poll() is not None:
                raise ChildExitedError(self._how(name))

    def _how(self, name):
        process, errors = self.running[name]
        errors.seek(0)
        last = errors.read().decode(errors="replace").strip().splitlines()
        return f"{name} ended with {process.returncode}" + (f": {last[-1]}" if last else "")

    def end(self, name):
        """Ends one child; what it still wrote on standard output, as lines."""
        process, errors = self.running.pop(name)
        if process.poll() is None:
            process.terminate()
        try:
            rest, _ = process.communicate(timeout=END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            rest, _ = process.communicate()
        errors.close()
        return (rest or b"").decode(errors="replace").splitlines()

    def __exit__(self, *_):
        for process, _ in self.running.values():
            if process.poll() is None:
                process.terminate()
        for name in list(self.running):
            self.end(name)
        self.folder.cleanup()


def _started_line(log):
    """The whole line `started` of a log so far, decoded; None if there is none."""
    with open(log, "rb") as file:
        lines = file.read().splitlines(keepends=True)
    for line in lines:
        if line.endswith(b"\n"):
            fields = json.loads(line)
            if fields.get("event") == "started":
                return fields
    return None
