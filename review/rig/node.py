"""Starts real nodes with the deploy file's `run` command, as separate processes."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 20.0  # a node that is not ready by then makes the case unusable


class CaseCouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_port() -> int:
    """Returns a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def run_command() -> str:
    """Returns the command with which operators start one node."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


class Node:
    """One node process, configured as the platform does: environment and one JSON file."""

    def __init__(self, config: dict):
        self.folder = Path(tempfile.mkdtemp(prefix="review-node-"))
        (self.folder / "tmp").mkdir()
        self.port = int(config["listen"].rpartition(":")[2])
        self.config_path = self.folder / "config.json"
        self.config_path.write_text(json.dumps(config))
        self.log_path = self.folder / "log.txt"
        self.process = None

    def start(self):
        """Starts the process and waits until it is ready to serve."""
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.folder / "tmp"),
            "BALANCER_CONFIG": str(self.config_path),
        }
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        give_up_at = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < give_up_at:
            if self.process.poll() is not None:
                raise CaseCouldNotRunError(f"the node ended at once: {self.log()}")
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CaseCouldNotRunError(f"the node was not ready in time: {self.log()}")

    def is_ready(self) -> bool:
        """Returns whether GET /health/ready answers 200."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), 1) as sock:
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                return sock.recv(200).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def terminate(self):
        """Sends SIGTERM, as at a planned restart."""
        self.process.send_signal(signal.SIGTERM)

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def log(self) -> str:
        """Returns what the node wrote to its output."""
        return self.log_path.read_text(errors="replace")

    def close(self):
        """Ends the process and removes its folder."""
        if self.is_running():
            self.process.kill()
            self.process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)
