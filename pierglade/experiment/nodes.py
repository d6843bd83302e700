"""Nodes of an experiment: pierglade nodes of any build, and reference balancers.

All of them follow the same discovery service and are started in the same way.
"""

import os
import shutil
import subprocess
import tempfile

import msgspec

from pierglade.config import structs
from pierglade.config.platform import to_platform
from pierglade.testbed.plain import POLICIES

PACKAGE_NAME = "pierglade"
ROOT_FOLDER = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Runs a node that ends when its standard input, a pipe from the parent process, is closed. A build
# itself has no such option.
NODE_PROGRAM = """
import os, runpy, signal, sys, threading
def end_with_parent():
    while os.read(0, 1024):
        pass
    os.kill(os.getpid(), signal.SIGTERM)
threading.Thread(target=end_with_parent, daemon=True).start()
sys.argv = ["pierglade"]
runpy.run_module("pierglade", run_name="__main__")
"""


class BuildError(Exception):
    """The text does not identify a build; the message is one line."""


class Build:
    """A build of pierglade, or a policy of the reference balancer.

    `text` is `pierglade` (this build), `turns`, `random`, `least`, `two`, a folder, or `@COMMIT` of
    the git checkout that contains this build. `label` is its name in tables. `root` is its folder,
    None for a reference balancer. The build is a context manager, which removes the folder of a
    commit on exit.
    """

    def __init__(self, text):
        self.label, self.root, self.folder = text, None, None
        if text in POLICIES:
            return
        if text == PACKAGE_NAME:
            self.root = ROOT_FOLDER
        elif text.startswith("@"):
            self._check_out(text[1:])
        else:
            self.root = os.path.abspath(text)
        if not os.path.isfile(os.path.join(self.root, "pierglade", "__main__.py")):
            raise BuildError(
                f"{text!r} is not a build; expected {PACKAGE_NAME}, {', '.join(POLICIES)}, "
                "a folder with pierglade/__main__.py, or @COMMIT"
            )

    def _check_out(self, commit):
        if shutil.which("git") is None or not os.path.isdir(os.path.join(ROOT_FOLDER, ".git")):
            raise BuildError(
                f"@{commit}: {ROOT_FOLDER} is not a git checkout, or git is not installed"
            )
        self.folder = tempfile.TemporaryDirectory(prefix="pierglade-build-")
        self.root = self.folder.name
        for args in (
            ["clone", "-q", "--no-checkout", ROOT_FOLDER, self.root],
            ["-C", self.root, "checkout", "-q", commit, "--"],
        ):
            completed = subprocess.run(["git", *args], capture_output=True, text=True)
            if completed.returncode:
                self.folder.cleanup()
                raise BuildError(f"@{commit}: no such commit in {ROOT_FOLDER}")

    @property
    def is_reference(self):
        """Whether it is a reference balancer."""
        return self.root is None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.folder is not None:
            self.folder.cleanup()


def document(plan, number, discovery, management):
    """Returns the platform's settings document for node `number` of an Experiment."""
    kind, nodes, rules = plan.fleet.kind[0], plan.nodes, plan.rules
    settings = structs.File(
        node=structs.Node(
            name=f"n{number}", seed=f"{plan.seed}-{number}", number=number, nodes=nodes.count
        ),
        listen=structs.Listen(address="127.0.0.1:0", management=management),
        discovery=structs.Discovery(address=discovery),
        request_classes=[
            structs.RequestClass(
                name=request_class.name,
                expected_ms=request_class.expected_ms,
                hard_limit_ms=request_class.hard_limit_ms,
                priority_weight=request_class.priority_weight,
                repeat=request_class.repeats.replace("-", "_"),
                group=request_class.group,
                window_ms=request_class.window_ms,
            )
            for request_class in plan.fleet.request_class
        ],
        members=[structs.Member(name=member.name, per_s=member.per_s) for member in plan.member],
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
    return to_platform(settings)


def start(children, build, plan, number, discovery, management, log):
    """Starts one node; returns (its process, the address that it listens on)."""
    name = f"node {number}"
    if build.is_reference:
        args = [
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
        started = children.start_logged(name, args, log)
    else:
        path = children.path(f"node-{number}.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(document(plan, number, discovery, management)))
        started = children.start_logged(
            name,
            ["-c", NODE_PROGRAM],
            log,
            cwd=build.root,
            env={"BALANCER_CONFIG": path, "PYTHONPATH": build.root},
        )
    return children.running[name][0], started["listen"]
