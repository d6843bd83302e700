"""Nodes of an experiment: ours of any build, and plain ones, each told the same and started the same way."""

import os
import shutil
import subprocess
import tempfile

import msgspec

from pierglade.config import structs
from pierglade.config.platform import to_platform
from pierglade.testbed.plain import POLICIES

OURS = "pierglade"
HERE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# A build knows nothing of parents; whoever started it ends it by the pipe that is its standard input.
START = """
import os, runpy, signal, sys, threading
def wait():
    while os.read(0, 1024):
        pass
    os.kill(os.getpid(), signal.SIGTERM)
threading.Thread(target=wait, daemon=True).start()
sys.argv = ["pierglade"]
runpy.run_module("pierglade", run_name="__main__")
"""


class NoBuild(Exception):
    """What was named is no build; one line."""


class Build:
    """A build of ours, or a plain policy. `label` names it in tables; `root` is its folder, None for plain.

    Made of `pierglade` (this one), `turns`, `random`, `least`, `two`, a folder, or `@COMMIT` of the checkout
    that this one stands in. Use it as a context: a commit's folder is gone afterwards.
    """

    def __init__(self, text):
        self.label, self.root, self.folder = text, None, None
        if text in POLICIES:
            return
        if text == OURS:
            self.root = HERE
        elif text.startswith("@"):
            self._check_out(text[1:])
        else:
            self.root = os.path.abspath(text)
        if not os.path.isfile(os.path.join(self.root, "pierglade", "__main__.py")):
            raise NoBuild(
                f"{text}: no build; allowed: {OURS}, {', '.join(POLICIES)}, a folder, @COMMIT"
            )

    def _check_out(self, commit):
        if shutil.which("git") is None or not os.path.isdir(os.path.join(HERE, ".git")):
            raise NoBuild(f"@{commit}: not in a git checkout")
        self.folder = tempfile.TemporaryDirectory(prefix="pierglade-build-")
        self.root = self.folder.name
        for words in (
            ["clone", "-q", "--no-checkout", HERE, self.root],
            ["-C", self.root, "checkout", "-q", commit, "--"],
        ):
            done = subprocess.run(["git", *words], capture_output=True, text=True)
            if done.returncode:
                self.folder.cleanup()
                raise NoBuild(f"@{commit}: no such commit here")

    @property
    def plain(self):
        return self.root is None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.folder is not None:
            self.folder.cleanup()


def document(plan, number, discovery, management):
    """The platform's document for node `number` of an Experiment."""
    kind, nodes, rules = plan.fleet.kind[0], plan.nodes, plan.rules
    file = structs.File(
        node=structs.Node(
            name=f"n{number}", seed=f"{plan.seed}-{number}", number=number, nodes=nodes.count
        ),
        listen=structs.Listen(address="127.0.0.1:0", management=management),
        discovery=structs.Discovery(address=discovery),
        request_classes=[
            structs.RequestClass(
                name=o.name,
                expected_ms=o.expected_ms,
                hard_limit_ms=o.hard_limit_ms,
                priority_weight=o.priority_weight,
                repeat=o.repeats.replace("-", "_"),
                group=o.group,
                window_ms=o.window_ms,
            )
            for o in plan.fleet.request_class
        ],
        members=[structs.Member(name=m.name, per_s=m.per_s) for m in plan.member],
        limits=structs.Limits(
            attempts=nodes.attempts,
            probes=nodes.probes and plan.fleet.probes,
            sockets=4096,
            retry_after_ms=nodes.retry_after_ms,
            idle_s=plan.fleet.idle_s,
        ),
        rules=structs.Rules(
            drain_grace_ms=rules.drain_grace_ms,
            cold_s=kind.cold_for_s if kind.cold_from < 1 else 0.0,
            cold_from=kind.cold_from,
            tip_multiple=max(1.0, kind.tip_multiple),
            further_span_s=rules.further_span_s,
            further_most=rules.further_most,
            further_share=rules.further_share,
        ),
        reports=structs.Reports(how=plan.fleet.report.how, fields=plan.fleet.report.fields),
    )
    return to_platform(file)


def start(children, build, plan, number, discovery, management, log):
    """Starts one node; (its process, the address that clients ask)."""
    name = f"node {number}"
    if build.plain:
        words = [
            "-m",
            "pierglade.testbed.plain",
            "--policy",
            build.label,
            "--seed",
            str(plan.seed + number),
            "--discovery",
            discovery,
            "--with-parent",
        ]
        told = children.start_logged(name, words, log)
    else:
        path = children.path(f"node-{number}.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(document(plan, number, discovery, management)))
        told = children.start_logged(
            name,
            ["-c", START],
            log,
            cwd=build.root,
            env={"BALANCER_CONFIG": path, "PYTHONPATH": build.root},
        )
    return children.running[name][0], told["listen"]
