"""Processes that a command starts: each ends with it, whatever way it ends itself."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

END_IN = 5.0  # s; a child that has not ended by then is killed
START_IN = 15.0  # s; one that logs to a file and has not said that it started by then is a failure


class ChildEnded(Exception):
    """A child has ended by itself; one line that says which and how."""


class Stopped(Exception):
    """SIGTERM or SIGINT has come."""


def free_port():
    """A port of loopback that nobody has now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Children:
    """A context: `start` starts a process, and the end of the context ends all of them and their folder.

    Each child is given a pipe as its standard input and told to end with it, so that none is left where this
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
        for again in (signal.SIGTERM, signal.SIGINT):
            signal.signal(again, signal.SIG_IGN)  # once is enough: the end must come to its own end
        raise Stopped(signal.Signals(number).name)

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def start(self, name, *args):
        """Starts `python -m ARGS` and returns its first line on standard output, decoded from JSON."""
        errors = open(self.path(name + ".err"), "wb+")
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
            raise ChildEnded(self._how(name)) from None

    def start_logged(self, name, words, log, env=(), cwd=None):
        """Starts `python WORDS` with its standard output in the file `log`; its line `started`, decoded."""
        errors = open(self.path(name + ".err"), "wb+")
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
        until = time.monotonic() + START_IN
        while time.monotonic() < until:
            with open(log, "rb") as file:
                for line in file.read().splitlines(keepends=True):
                    if (
                        line.endswith(b"\n")
                        and (told := json.loads(line)).get("event") == "started"
                    ):
                        return told
            if process.poll() is not None:
                raise ChildEnded(self._how(name))
            time.sleep(0.02)
        raise ChildEnded(f"{name} did not start within {START_IN:g} s")

    def look(self):
        """Raises ChildEnded if one has ended."""
        for name, (process, _) in self.running.items():
            if process.poll() is not None:
                raise ChildEnded(self._how(name))

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
            rest, _ = process.communicate(timeout=END_IN)
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
