"""Drives the deploy file's `sim` command on the simulator's wire."""

import json
import os
import subprocess
import tomllib

from rig.node import ROOT, CaseCouldNotRunError


class Simulator:
    """One adapter process with one instance, `node_0`."""

    def __init__(self):
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["sim"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env={"PATH": os.environ["PATH"]},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.wall_us = 1000000

    def batch(self, after_us: int, *events: dict) -> list[dict] | None:
        """Sends a batch of events; returns the actions, or None if the process has ended."""
        self.wall_us += after_us
        lines = [{"Sync": {"wallUs": self.wall_us}}, *events, {"OverToYou": {}}]
        try:
            self.process.stdin.write(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
            self.process.stdin.flush()
        except BrokenPipeError:
            return None
        actions = []
        while line := self.process.stdout.readline():
            action = json.loads(line)
            if "Done" in action:
                return actions
            actions.append(action)
        return None

    def send_request(self, call: int, grade: str, left_us: int) -> dict:
        """Sends a request and returns the fields of the attempt that is made for it."""
        fields = {"who": "node_0", "call": call, "marks": 0, "leftUs": left_us, "item": None}
        fields |= {"grade": grade, "party": "parish-schools", "hintUs": 0}
        for action in self.batch(1000, {"Incoming": fields}) or ():
            if "SubmitTo" in action:
                return action["SubmitTo"]
        raise CaseCouldNotRunError("no attempt was made on the simulator's wire")

    def complete(self, call: int, backend: str, duration_us: int) -> list[dict] | None:
        """Reports that the first attempt of a request was served."""
        fields = {"who": "node_0", "call": call, "sendNo": 0, "backend": backend}
        fields |= {"reason": "success", "durationUs": duration_us, "doneFlag": True, "gauge": None}
        return self.batch(duration_us, {"Completed": fields})

    def list_backend(self, ref: int, backend: str, status: str, scope: str, *first: dict):
        """Tells the instance of one backend; `first`: events that come before."""
        entry = {"sinceUs": None, "backend": backend, "status": status, "cluster": 0}
        entry |= {"zone": "a", "powerHint": 1, "familyType": "std"}
        discovery = {"who": "node_0", "ref": ref, "gen": ref + 1, "scope": scope}
        return self.batch(
            1000,
            *first,
            {"Census": {"ref": ref, "entries": [entry]}},
            {"Discovery": discovery},
        )

    def close(self):
        """Ends the process."""
        self.process.stdin.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)
